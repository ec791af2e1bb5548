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

// Guards against a leader that admits servers which a successor may not have read of, and against one that waits though a server vouches for it.
func TestWhenAddedServersGetTasks(t *testing.T) {
	cfg := DefaultConfig()
	cases := map[string]struct {
		before, added []string
		// answering are the servers that answer, restarting one that starts again a second after it was added.
		answering  []string
		restarting string
		least      time.Duration
	}{
		"another server answers":               {before: []string{"s1"}, added: []string{"s2"}, answering: []string{"s1", "s2"}},
		"no other server answers":              {before: []string{"s1"}, added: []string{"s2"}, answering: []string{"s2"}, least: cfg.ListAge + cfg.OwnerTimeout},
		"only another added one answers":       {before: []string{"s1"}, added: []string{"s2", "s3"}, answering: []string{"s2", "s3"}, least: cfg.ListAge + cfg.OwnerTimeout},
		"it starts again and no other answers": {before: []string{"s1"}, added: []string{"s2"}, answering: []string{"s2"}, restarting: "s2", least: time.Second + cfg.ListAge + cfg.OwnerTimeout},
		"the leader had none":                  {added: []string{"s2"}, answering: []string{"s2"}},
		"the leader had none, two are added":   {added: []string{"s2", "s3"}, answering: []string{"s2", "s3"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(cfg, NewUplink(0), "a.0", 9, har.now)
			har.list(firstIncarnation, cse.before...)
			for _, id := range cse.before {
				har.answer(ServerID(id), firstIncarnation, RenewResult{})
			}
			har.advance(cfg.AdoptWait)
			for _, id := range cse.before {
				for range minMissed {
					har.answerRenewalSentAt(ServerID(id), har.now, RenewResult{}, Unknown)
				}
			}
			har.list(firstIncarnation, append(cse.before, cse.added...)...)
			began := har.now
			for har.now.Sub(began) < 2*(cfg.ListAge+cfg.OwnerTimeout) && len(har.starts()) == 0 {
				for _, id := range cse.answering {
					inc, clock := firstIncarnation, time.Minute+har.now.Sub(began)
					if id == cse.restarting && har.now.Sub(began) >= time.Second {
						inc, clock = secondIncarnation, har.now.Sub(began)-time.Second+time.Millisecond
					}
					har.answer(ServerID(id), inc, RenewResult{Clock: clock})
					if inc == secondIncarnation {
						lst := Listing{Listed: []ServerEntry{incarnationEntry("s1", firstIncarnation), incarnationEntry(id, inc)}, Shards: 1}
						har.record(har.ldr.SetServers(har.now, lst))
					}
				}
				har.record(har.ldr.HandleOrder(har.now, har.order(0, "j.0")))
				har.advance(10 * time.Millisecond)
			}
			took := har.now.Sub(began)
			t.Logf("started after %v", took)
			chk.Equal(len(har.starts()), 1)
			chk.True(took >= cse.least && took <= cse.least+50*time.Millisecond)
		})
	}
}
