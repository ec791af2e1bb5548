package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs twice as "all other servers that answer follow this leader" is true of none: a leader that was succeeded without
// knowing it reaches none of its servers any more, and starts a task on one that was just added. Its successor has not read of that one yet, and
// proves by its own servers that the task runs nowhere.
func TestAddedServerWhereNoOtherAnswers(t *testing.T) {
	cases := map[string]struct {
		// answers is what the old server answers the former leader.
		answers CallResult
	}{
		"the other server refuses the former leader":    {answers: Fenced},
		"the other server gives the former leader none": {answers: Unknown},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			s1, s2 := serverEntry("s1", size), serverEntry("s2", size)
			former := newHarness(t, s1)
			next := &harness{t: t, now: former.now}
			next.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 10, next.now)
			next.record(next.ldr.SetServers(next.now, Listing{Listed: []ServerEntry{s1}, ReadAt: next.now, Shards: 1}))
			next.answerRenewal("s1", RenewResult{Clock: time.Minute})
			next.now = next.now.Add(time.Millisecond)
			next.record(next.ldr.SetServers(next.now, Listing{Listed: []ServerEntry{s1}, ReadAt: next.now, Shards: 1}))

			// The server is added now, and the former leader reads of it first.
			former.now = next.now.Add(time.Millisecond)
			for range minMissed {
				former.answerRenewalSentAt("s1", former.now, RenewResult{}, Unknown)
			}
			former.record(former.ldr.SetServers(former.now, Listing{Listed: []ServerEntry{s1, s2}, ReadAt: former.now, Shards: 1}))
			former.answerRenewal("s2", RenewResult{Clock: time.Minute})
			former.answerRenewalSentAt("s1", former.now, RenewResult{}, cse.answers)
			runs := len(former.place(0, "j.0"))

			next.advance(DefaultConfig().AdoptWait)
			ord := next.order(0, "j.0")
			ord.Reassigned, ord.MayRunFor, ord.FormerShards = true, 1300*time.Millisecond, 1
			next.record(next.ldr.HandleOrder(next.now, ord))
			next.answerRenewal("s1", RenewResult{Clock: time.Minute})
			chk.True(runs == 0 || next.reports(NotRun) == 0)
		})
	}
}
