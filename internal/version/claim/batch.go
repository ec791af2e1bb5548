package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/recordpb"
)

// RuleVersion is the version of the rule in Table.Apply; see catalogue.RuleVersion.
const RuleVersion = 1

// Key names a submission in the whole pool; two partners may choose the same id.
type Key struct {
	Partner    job.Partner
	Submission job.SubmissionID
}

// Claim asks for the right to start a submission.
type Claim struct {
	Key
	// Holder is the job that the submission would become; never used for two jobs.
	Holder string
	// NotAfter bounds the start of every task of the submission.
	NotAfter time.Time
}

// Release says that a holder did not start a submission and never will.
type Release struct {
	Key
	Holder string
}

// Batch is what one entry instance claims and releases in one record.
type Batch struct {
	// ID is unique to the record.
	ID string
	// Author is the entry instance that wrote the record.
	Author string
	// Time is the author's clock when it wrote the record.
	Time     time.Time
	Claims   []Claim
	Releases []Release
}

// ErrUnreadable means that a record holds no claims that this instance can read.
var ErrUnreadable = errors.New("record holds no readable claims")

// ErrNewerRule means that a record was written for a later RuleVersion.
var ErrNewerRule = errors.New("claims need a newer rule")

// StreamOf returns which of a number of streams a submission is claimed in. Every claim of a
// submission goes to the same stream, whoever makes it: two streams would let two claims win.
func StreamOf(key Key, streams int) int {
	dig := xxhash.New()
	_, _ = dig.WriteString(string(key.Partner))
	_, _ = dig.WriteString("/")
	_, _ = dig.WriteString(string(key.Submission))
	return int(dig.Sum64() % uint64(streams))
}

// Collector returns which live entry instance collects the claims of a stream, by rendezvous hash.
// Where views of the list differ two instances collect, which costs appends and is else harmless.
func Collector(stream string, live []string) string {
	var best string
	var top uint64
	for _, ins := range live {
		sum := xxhash.Sum64String(ins + "\x00" + stream)
		if best == "" || sum > top || sum == top && ins < best {
			best, top = ins, sum
		}
	}
	return best
}

// Encode returns the bytes that the log keeps of a batch.
func Encode(bat Batch) ([]byte, error) {
	bdy := &recordpb.ClaimBatch{}
	for _, clm := range bat.Claims {
		bdy.Claims = append(bdy.Claims, &recordpb.Claim{
			Partner:    string(clm.Partner),
			Submission: string(clm.Submission),
			Holder:     clm.Holder,
			NotAfter:   timestamppb.New(clm.NotAfter),
		})
	}
	for _, rel := range bat.Releases {
		bdy.Releases = append(bdy.Releases, &recordpb.Release{
			Partner:    string(rel.Partner),
			Submission: string(rel.Submission),
			Holder:     rel.Holder,
		})
	}
	dat, err := proto.Marshal(&recordpb.Record{
		Id:     bat.ID,
		Rule:   RuleVersion,
		Author: bat.Author,
		Time:   timestamppb.New(bat.Time),
		Body:   &recordpb.Record_Claims{Claims: bdy},
	})
	return dat, errors.Wrap(err, "encode claims")
}

// Decode reads what Encode wrote. The error is ErrNewerRule or ErrUnreadable.
func Decode(data []byte) (Batch, error) {
	var msg recordpb.Record
	if err := proto.Unmarshal(data, &msg); err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "decode claims"), ErrUnreadable)
	}
	if msg.GetRule() > RuleVersion {
		return Batch{}, errors.Wrapf(ErrNewerRule, "rule %d, this instance knows %d", msg.GetRule(), RuleVersion)
	}
	if msg.GetClaims() == nil || msg.GetTime().CheckValid() != nil {
		return Batch{}, ErrUnreadable
	}
	bat := Batch{ID: msg.GetId(), Author: msg.GetAuthor(), Time: msg.GetTime().AsTime()}
	for _, clm := range msg.GetClaims().GetClaims() {
		bat.Claims = append(bat.Claims, Claim{
			Key:      keyOf(clm.GetPartner(), clm.GetSubmission()),
			Holder:   clm.GetHolder(),
			NotAfter: timeOf(clm.GetNotAfter()),
		})
	}
	for _, rel := range msg.GetClaims().GetReleases() {
		bat.Releases = append(bat.Releases, Release{
			Key:    keyOf(rel.GetPartner(), rel.GetSubmission()),
			Holder: rel.GetHolder(),
		})
	}
	return bat, nil
}

func keyOf(partner, submission string) Key {
	return Key{Partner: job.Partner(partner), Submission: job.SubmissionID(submission)}
}

// timeOf returns the zero time, which no claim is granted for, for a message that is no time.
func timeOf(msg *timestamppb.Timestamp) time.Time {
	if msg == nil || msg.CheckValid() != nil {
		return time.Time{}
	}
	return msg.AsTime()
}
