package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/limit"
)

const (
	methodHello             = "hello"
	methodHeartbeat         = "heartbeat"
	methodBorrow            = "borrow"
	methodGrant             = "grant"
	methodReturn            = "return"
	methodBorrowUnits       = "borrow-units"
	methodGrantUnits        = "grant-units"
	methodReturnUnits       = "return-units"
	methodHandOver          = "hand-over"
	methodJobGet            = "job-get"
	methodJobCancel         = "job-cancel"
	methodJobAwait          = "job-await"
	methodFindSubmission    = "find-submission"
	methodCatalogueSince    = "catalogue-since"
	methodCatalogueSnapshot = "catalogue-snapshot"
)

type wireHello struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	Token       string `json:"token,omitempty"`
}

type wireEmpty struct{}

type wireFact struct {
	ID            string `json:"id"`
	Kind          int    `json:"k"`
	Incarnation   string `json:"inc"`
	Replaces      string `json:"rep,omitempty"`
	Epoch         uint32 `json:"e,omitempty"`
	State         int    `json:"s"`
	AgeMillis     int64  `json:"age,omitempty"`
	PeerAddress   string `json:"addr,omitempty"`
	FailureDomain string `json:"fd,omitempty"`
}

// wireHeartbeat keeps digests as text: JSON numbers lose the low bits of 64-bit values elsewhere.
type wireHeartbeat struct {
	From            string     `json:"id"`
	Incarnation     string     `json:"inc"`
	CatalogueOffset uint64     `json:"cat,omitempty"`
	Digest          uint64     `json:"dig,string"`
	Buckets         []uint32   `json:"bkt,omitempty"`
	Want            []uint32   `json:"want,omitempty"`
	Facts           []wireFact `json:"facts,omitempty"`
}

type wireSlots struct {
	Server string `json:"srv"`
	Slots  uint32 `json:"n"`
}

// wireBorrow is a dispatch.Borrow; the server takes the asking peer from the hello.
type wireBorrow struct {
	Slots uint32 `json:"n"`
	Free  uint32 `json:"free,omitempty"`
	// RunMillis is the run time of the tasks that wait.
	RunMillis int64 `json:"run,omitempty"`
	Once      bool  `json:"once,omitempty"`
}

type wireLoans struct {
	Loans     []wireSlots `json:"loans,omitempty"`
	ForMillis int64       `json:"for,omitempty"`
	Free      uint32      `json:"free,omitempty"`
}

type wireUnits struct {
	Class      string `json:"c"`
	Kind       int    `json:"k"`
	Team       string `json:"t,omitempty"`
	Units      uint32 `json:"n,omitempty"`
	Renew      uint32 `json:"r,omitempty"`
	Drain      bool   `json:"d,omitempty"`
	Starts     uint32 `json:"st,omitempty"`
	Again      uint32 `json:"again,omitempty"`
	WaitMillis int64  `json:"w,omitempty"`
}

type wireUnitLoans struct {
	Units      []wireUnits `json:"u,omitempty"`
	AskedNanos int64       `json:"asked,omitempty"`
	ForMillis  int64       `json:"for,omitempty"`
	Peers      []string    `json:"peers,omitempty"`
	HoldMillis int64       `json:"hold,omitempty"`
	Please     bool        `json:"please,omitempty"`
}

type wireJob struct {
	Job       string `json:"job"`
	Forwarded bool   `json:"forwarded"`
}

type wireProgress struct {
	Progress []byte `json:"progress"`
}

type wireSubmission struct {
	Submission string `json:"submission"`
}

type wireFound struct {
	Job string `json:"job,omitempty"`
}

type wireSince struct {
	Offset uint64 `json:"offset"`
}

type wireRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type wireRecords struct {
	Records  []wireRecord `json:"records,omitempty"`
	Next     uint64       `json:"next"`
	Earliest uint64       `json:"earliest"`
}

func fromHeartbeat(hb member.Heartbeat) wireHeartbeat {
	wir := wireHeartbeat{
		From: string(hb.From), Incarnation: hb.Incarnation, CatalogueOffset: hb.CatalogueOffset,
		Digest: hb.Digest, Buckets: hb.Buckets, Want: hb.Want,
	}
	for _, fct := range hb.Facts {
		wir.Facts = append(wir.Facts, wireFact{
			ID: fct.ID, Kind: int(fct.Kind), Incarnation: fct.Incarnation, Replaces: fct.Replaces,
			Epoch: fct.Epoch, State: int(fct.State), AgeMillis: fct.Age.Milliseconds(),
			PeerAddress: fct.PeerAddress, FailureDomain: fct.FailureDomain,
		})
	}
	return wir
}

func toHeartbeat(wir wireHeartbeat) member.Heartbeat {
	hb := member.Heartbeat{
		From: dispatch.PeerID(wir.From), Incarnation: wir.Incarnation, CatalogueOffset: wir.CatalogueOffset,
		Digest: wir.Digest, Buckets: wir.Buckets, Want: wir.Want,
	}
	for _, fct := range wir.Facts {
		hb.Facts = append(hb.Facts, member.Fact{
			ID: fct.ID, Kind: member.Kind(fct.Kind), Incarnation: fct.Incarnation, Replaces: fct.Replaces,
			Epoch: fct.Epoch, State: member.State(fct.State), Age: millis(fct.AgeMillis),
			PeerAddress: fct.PeerAddress, FailureDomain: fct.FailureDomain,
		})
	}
	return hb
}

func fromLoans(lns []dispatch.Loan) []wireSlots {
	wir := make([]wireSlots, len(lns))
	for idx, ln := range lns {
		wir[idx] = wireSlots{Server: string(ln.Server), Slots: ln.Slots}
	}
	return wir
}

func toLoans(wir []wireSlots) []dispatch.Loan {
	lns := make([]dispatch.Loan, len(wir))
	for idx, ln := range wir {
		lns[idx] = dispatch.Loan{Server: dispatch.ServerID(ln.Server), Slots: ln.Slots}
	}
	return lns
}

func fromKey(key limit.Key) wireUnits {
	return wireUnits{Class: key.Class, Kind: int(key.Kind), Team: key.Team}
}

func toKey(wir wireUnits) limit.Key {
	return limit.Key{Class: wir.Class, Kind: limit.Kind(wir.Kind), Team: wir.Team}
}

func fromWants(wts []limit.Want) []wireUnits {
	units := make([]wireUnits, len(wts))
	for idx, wnt := range wts {
		units[idx] = fromKey(wnt.Key)
		units[idx].Units = wnt.Units
		units[idx].Renew = wnt.Renew
		units[idx].WaitMillis = wnt.WaitFor.Milliseconds()
	}
	return units
}

func toWants(wir []wireUnits) []limit.Want {
	wts := make([]limit.Want, len(wir))
	for idx, unt := range wir {
		wts[idx] = limit.Want{Key: toKey(unt), Units: unt.Units, Renew: unt.Renew, WaitFor: millis(unt.WaitMillis)}
	}
	return wts
}

func fromUnitLoans(lns []limit.Loan) []wireUnits {
	units := make([]wireUnits, len(lns))
	for idx, ln := range lns {
		units[idx] = fromKey(ln.Key)
		units[idx].Units = ln.Units
		units[idx].Renew = ln.Renewed
		units[idx].Drain = ln.Drain
		units[idx].Starts = ln.Starts
		units[idx].Again = ln.Again
	}
	return units
}

func toUnitLoans(wir []wireUnits) []limit.Loan {
	lns := make([]limit.Loan, len(wir))
	for idx, unt := range wir {
		lns[idx] = limit.Loan{Key: toKey(unt), Units: unt.Units, Renewed: unt.Renew, Drain: unt.Drain, Starts: unt.Starts, Again: unt.Again}
	}
	return lns
}

func fromPeers(ids []dispatch.PeerID) []string {
	wir := make([]string, len(ids))
	for idx, id := range ids {
		wir[idx] = string(id)
	}
	return wir
}

func toPeers(wir []string) []dispatch.PeerID {
	ids := make([]dispatch.PeerID, len(wir))
	for idx, id := range wir {
		ids[idx] = dispatch.PeerID(id)
	}
	return ids
}

func fromGrant(grt limit.Grant) wireUnitLoans {
	return wireUnitLoans{
		Units: fromUnitLoans(grt.Loans), AskedNanos: int64(grt.Asked), ForMillis: grt.For.Milliseconds(),
	}
}

func toGrant(peer dispatch.PeerID, wir wireUnitLoans) limit.Grant {
	return limit.Grant{
		Peer: peer, Asked: time.Duration(wir.AskedNanos), Loans: toUnitLoans(wir.Units), For: millis(wir.ForMillis),
	}
}

func fromProgress(prg *callerpb.Progress) (wireProgress, error) {
	data, err := proto.Marshal(prg)
	return wireProgress{Progress: data}, err
}

func toProgress(wir wireProgress) (*callerpb.Progress, error) {
	prg := &callerpb.Progress{}
	err := proto.Unmarshal(wir.Progress, prg)
	return prg, err
}

func millis(cnt int64) time.Duration { return time.Duration(cnt) * time.Millisecond }
