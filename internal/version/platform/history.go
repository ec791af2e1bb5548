package platform

import (
	"time"

	"chestnutstack/internal/version/catalogue"
)

// Logged is a record with what the rule made of it.
type Logged struct {
	Record  catalogue.Record
	Outcome catalogue.Outcome
	// Applied is when this instance took it in.
	Applied time.Time
}

const (
	historyRecords = 2048
	historyBytes   = 4 << 20
)

// history keeps the newest records for peers that are behind, for edits that wait for their
// outcome, and for operators.
type history struct {
	// base is the offset that the oldest kept record follows.
	base   uint64
	kept   []keptRecord
	bytes  int
	newest uint64
}

type keptRecord struct {
	raw    Record
	logged Logged
}

// restart forgets everything up to an offset that was reached without records.
func (his *history) restart(offset uint64) { *his = history{base: offset, newest: offset} }

func (his *history) add(raw Record, lgd Logged) {
	if lgd.Record.Chunk != nil {
		// A chunk changes nothing, and a few would push every edit out. Peers get its offset with
		// no data, which their rule makes nothing of either.
		raw.Data = nil
		lgd.Record.Chunk = nil
	}
	his.kept = append(his.kept, keptRecord{raw: raw, logged: lgd})
	his.bytes += len(raw.Data)
	his.newest = raw.Offset
	cut := 0
	for len(his.kept)-cut > historyRecords || his.bytes > historyBytes && cut < len(his.kept)-1 {
		his.base = his.kept[cut].raw.Offset
		his.bytes -= len(his.kept[cut].raw.Data)
		his.kept[cut] = keptRecord{}
		cut++
	}
	his.kept = his.kept[cut:]
}

// since returns up to limit records after an offset; false if some of them are no longer kept.
func (his *history) since(offset uint64, limit int) ([]Record, bool) {
	if offset < his.base {
		return nil, false
	}
	var rcs []Record
	for _, kpt := range his.kept {
		if kpt.raw.Offset > offset && len(rcs) < limit {
			rcs = append(rcs, kpt.raw)
		}
	}
	return rcs, true
}

// outcome returns what the rule made of the first record with an id.
func (his *history) outcome(idn catalogue.RecordID) (catalogue.Outcome, bool) {
	for _, kpt := range his.kept {
		if kpt.logged.Outcome.Record == idn {
			return kpt.logged.Outcome, true
		}
	}
	return catalogue.Outcome{}, false
}

// edits returns up to limit edits from an offset on.
func (his *history) edits(from uint64, limit int) []Logged {
	var lgs []Logged
	for _, kpt := range his.kept {
		if kpt.logged.Record.Edit != nil && kpt.raw.Offset >= from && len(lgs) < limit {
			lgs = append(lgs, kpt.logged)
		}
	}
	return lgs
}
