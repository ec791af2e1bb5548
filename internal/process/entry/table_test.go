package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
)

var morning = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func specOf(id string, notAfter time.Duration) job.Spec {
	return job.Spec{
		Submission: job.SubmissionID("riga/" + id), Class: &job.Class{Name: "riga/export", Owner: "riga"},
		NotAfter: morning.Add(notAfter), Tasks: []job.TaskSpec{{Payload: []byte("slide")}},
	}
}

// run takes a submission through the table to its end with the given error.
func run(t *testing.T, tab *table, spc job.Spec, end *verdict.Error) *record {
	t.Helper()
	rec, first := tab.reserve(spc, 1, false, nil)
	if !first {
		t.Fatal("not the first arrival")
	}
	jb := job.New(job.NewPartnerID("entry-1~a", "riga", string(spc.Submission)), spc)
	tab.index(rec, jb)
	close(rec.decided)
	if end == nil {
		jb.Task(0).MarkSent(morning, "b1")
		jb.Task(0).MarkAnswered([]byte("answer"))
	}
	jb.End(end)
	rec.finish(caller.Progress(jb))
	tab.retire(morning, rec, jb.ID())
	return rec
}

// A balancer delivers a copy of a submission late. As long as the copy may start tasks, which is until
// its not-after time, something of the first must be known; else the export runs and is billed twice.
func TestLateCopiesAreKnownUntilNotAfter(t *testing.T) {
	tests := map[string]struct {
		notAfter time.Duration
		at       time.Duration
		known    bool
		verdict  callerpb.Verdict
	}{
		"answer is still kept":         {time.Minute, time.Minute, true, callerpb.Verdict_VERDICT_DONE},
		"answer forgotten, copy known": {time.Hour, 10 * time.Minute, true, callerpb.Verdict_VERDICT_MAY_HAVE_RUN},
		"past not-after":               {5 * time.Minute, 10 * time.Minute, false, 0},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			run(t, tab, specOf("deck-1", tst.notAfter), nil)
			tab.expire(morning.Add(tst.at))
			rec := tab.bySubmission("riga/deck-1")
			is.Equal(rec != nil, tst.known)
			if tst.known {
				is.Equal(rec.Progress().GetAnswer().GetVerdict(), tst.verdict)
			}
		})
	}
}

// A caller is told that its export did not run and when to come back. It comes back with the same id:
// the export must run then, with attempts that no backend server has refused before. One that was
// cancelled stays cancelled.
func TestWhatDidNotRunMayBeSentAgain(t *testing.T) {
	tests := map[string]struct {
		end   *verdict.Error
		again bool
	}{
		"done":         {nil, false},
		"not run":      {verdict.New(verdict.NotRun, "not-after-passed"), true},
		"cancelled":    {verdict.New(verdict.NotRun, job.ReasonCancelled), false},
		"may have run": {verdict.New(verdict.MayHaveRun, "backend-server-silent"), false},
		"failed":       {verdict.New(verdict.Failed, "task-failed"), false},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			spc := specOf("deck-1", time.Minute)
			old := run(t, tab, spc, tst.end)
			rec, first := tab.reserve(spc, 1, false, nil)
			is.Equal(first, tst.again)
			is.Equal(rec != old, tst.again)
			if tst.again {
				is.Equal(rec.firstAttempt, uint32(2))
			}
		})
	}
}

// Partners submit without end. What is kept of ended jobs stays within its bounds, shown on the shard
// of one of them.
func TestEndedJobsAreBounded(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	full := tab.shard("riga/deck-0")
	for idx, ran := 0, 0; ran < 2*(maxEndedPerShard+trimSlack+maxTombstonesPerShard); idx++ {
		spc := specOf(fmt.Sprint("deck-", idx), time.Minute)
		if tab.shard(spc.Submission) == full {
			run(t, tab, spc, nil)
			ran++
		}
	}
	is.True(len(full.ended) <= maxEndedPerShard+trimSlack)
	is.True(len(full.tombstones) <= maxTombstonesPerShard)
	is.Equal(len(full.bySub), len(full.ended)+len(full.tombstones))
}

// A process was paused for an hour between its claim and its start. Another instance may have been
// granted the submission since, and the van must not be ordered twice.
func TestLapsedClaimStartsNothing(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":     {time.Millisecond, true},
		"paused long": {time.Hour, false},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rec := &record{}
			is.True(!rec.mayStart(morning)) // no claim at all
			rec.setClaim(&claim.Grant{Claim: claim.Claim{NotAfter: morning.Add(time.Minute)}, At: morning}, nil)
			is.Equal(rec.mayStart(morning.Add(tst.after)), tst.want)
		})
	}
}
