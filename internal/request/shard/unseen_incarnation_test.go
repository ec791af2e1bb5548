package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unseenStory is a start that a server may have carried out in an incarnation which the leader doesn't know. All calls after it get no answer.
type unseenStory struct {
	// incarnation is what the server has told; 0 for servers that get another ID when they start again.
	incarnation Incarnation
	// answer plays what becomes of the start.
	answer func(har *harness, str StartRun)
	// gaveUp is when calls without an answer are given up.
	gaveUp time.Duration
	// foreign is set if the lease that was taken may be the longest that the server grants, counted from when the last call that extends it may have been
	// carried out; else it is the lease that was meant, counted from when that call was sent.
	foreign bool
}

// Guards against a task that runs twice: a start has reached an incarnation of a server that the leader doesn't know, where its lease is as long as the
// server grants one, and the leader takes the run for over after the lease that it meant.
func TestStartInAnUnseenIncarnation(t *testing.T) {
	cfg := DefaultConfig()
	lost := func(*harness, StartRun) {}
	answered := func(clock time.Duration) func(har *harness, str StartRun) {
		return func(har *harness, str StartRun) {
			har.record(har.ldr.HandleStartResult(har.now, "s", str.Run, Accepted, clock))
		}
	}
	cases := map[string]unseenStory{
		"no answer, calls last 40 ms":       {incarnation: firstIncarnation, answer: lost, gaveUp: 40 * time.Millisecond, foreign: true},
		"no answer, calls last 180 ms":      {incarnation: firstIncarnation, answer: lost, gaveUp: 180 * time.Millisecond, foreign: true},
		"no answer, calls last 300 ms":      {incarnation: firstIncarnation, answer: lost, gaveUp: 300 * time.Millisecond, foreign: true},
		"the clock in the answer went back": {incarnation: firstIncarnation, answer: answered(time.Second), gaveUp: 40 * time.Millisecond, foreign: true},
		"the clock in the answer stood still": {
			incarnation: firstIncarnation, answer: answered(time.Minute), gaveUp: 40 * time.Millisecond, foreign: true,
		},
		"the clock in the answer went on": {
			incarnation: firstIncarnation, answer: answered(time.Minute + 500*time.Millisecond), gaveUp: 40 * time.Millisecond,
		},
		"servers have other IDs when they start again": {answer: lost, gaveUp: 40 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newUnseenHarness(t, cse.incarnation)
			har.place(0, "j.0")
			cse.answer(har, har.startOf("j.0"))
			sent, carriedOut, returned := har.playWithoutAnswers("s", cse.gaveUp)
			over := sent.Add(time.Duration(float64(cfg.Lease)*clockSkew) + killTime)
			if cse.foreign {
				over = carriedOut.Add(time.Duration(float64(cfg.LongestLease)*clockSkew) + killTime)
			}
			chk.True(!returned.Before(over))
			chk.True(returned.Before(over.Add(50 * time.Millisecond)))
		})
	}
}

// newUnseenHarness returns a harness with a server "s" that has told an incarnation and whose clock was read 500 ms ago.
func newUnseenHarness(t *testing.T, inc Incarnation) *harness {
	har := &harness{t: t, now: time.Unix(1000, 0)}
	har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
	har.list(inc, "s")
	har.answerRenewal("s", RenewResult{Incarnation: inc, Clock: time.Minute})
	har.advance(DefaultConfig().AdoptWait)
	har.answerRenewal("s", RenewResult{Incarnation: inc, Clock: time.Minute})
	har.advance(500 * time.Millisecond)
	har.acts = nil
	return har
}

// playWithoutAnswers gives up each call to a server after a time. It returns when a call that may extend the server's leases was last sent and given up, until
// when it may have been carried out, and when an order was returned.
func (har *harness) playWithoutAnswers(id ServerID, gaveUp time.Duration) (sent, carriedOut, returned time.Time) {
	type call struct {
		at     time.Time
		finish func() []Action
	}
	var calls []call
	seen := 0
	for end := har.now.Add(20 * time.Second); returned.IsZero() && har.now.Before(end); {
		for ; seen < len(har.acts); seen++ {
			switch act := har.acts[seen].(type) {
			case StartRun:
				sent = har.now
				calls = append(calls, call{at: har.now, finish: func() []Action {
					carriedOut = har.now
					return har.ldr.HandleStartResult(har.now, id, act.Run, Unknown, 0)
				}})
			case StopRun:
				calls = append(calls, call{at: har.now, finish: func() []Action { return har.ldr.HandleStopResult(har.now, act, Unknown) }})
			case Renew:
				began := har.now
				if act.LeaseUntil > 0 {
					sent = began
				}
				calls = append(calls, call{at: began.Add(act.WaitForEnd), finish: func() []Action {
					if act.LeaseUntil > 0 {
						carriedOut = har.now
					}
					return har.ldr.HandleRenewResult(har.now, began, act, RenewResult{}, Unknown)
				}})
			case SendReport:
				if act.Report.Outcome == NotRun {
					returned = har.now
				}
			}
		}
		har.advance(10 * time.Millisecond)
		kept := calls[:0:0]
		for _, cal := range calls {
			if har.now.Sub(cal.at) < gaveUp {
				kept = append(kept, cal)
				continue
			}
			har.record(cal.finish())
		}
		calls = kept
	}
	return sent, carriedOut, returned
}

// Guards against a task that runs twice: a renewal that was meant for the former incarnation is carried out late by the next one, whose runs then have leases
// as long as the server grants one, and the leader takes them for over after the lease that it meant.
func TestRenewalForTheFormerIncarnation(t *testing.T) {
	const gaveUp = 480 * time.Millisecond
	cfg := DefaultConfig()
	cases := map[string]struct {
		// extends is set if the renewal extends the leases.
		extends bool
		foreign bool
	}{
		"it extends the leases": {extends: true, foreign: true},
		"it extends none":       {},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s")
			former := har.newestRenewal("s")
			sent := har.now
			if cse.extends {
				har.place(0, "j1.0")
				har.answerStart("j1.0", Accepted)
				har.advance(10 * time.Millisecond)
				har.answer("s", firstIncarnation, RenewResult{Clock: time.Minute, Running: []Progress{{Run: har.startOf("j1.0").Run}}})
				sent = har.now
				former = lastRenewal(har)
			}
			chk.Equal(former.LeaseUntil > 0, cse.extends)
			// The server starts again, and an answer to a call that extends no lease tells so.
			har.advance(50 * time.Millisecond)
			har.list(secondIncarnation, "s")
			chk.Equal(lastRenewal(har).LeaseUntil, time.Duration(0))
			har.advance(10 * time.Millisecond)
			har.answer("s", secondIncarnation, RenewResult{Clock: 20 * time.Millisecond})
			har.advance(10 * time.Millisecond)
			chk.Equal(har.ldr.servers["s"].foreignLeaseAt.IsZero(), true) // It began after the renewal was sent.
			har.place(0, "j2.0")
			str := har.startOf("j2.0")
			chk.Equal(str.Run.Task, "j2.0")
			began := har.now
			clock := func() time.Duration { return 30*time.Millisecond + har.now.Sub(began) }
			har.record(har.ldr.HandleStartResult(har.now, "s", str.Run, Accepted, clock()))
			for har.now.Sub(sent) < gaveUp {
				har.advance(10 * time.Millisecond)
				har.answer("s", secondIncarnation, RenewResult{Clock: clock(), Running: []Progress{{Run: str.Run}}})
			}
			// The server has just carried the renewal out. The call is given up, and all later ones get no answer.
			carriedOut := har.now
			har.record(har.ldr.HandleRenewResult(har.now, sent, former, RenewResult{}, Unknown))
			har.acts = []Action{lastRenewal(har)}
			extended, _, returned := har.playWithoutAnswers("s", 40*time.Millisecond)
			over := extended.Add(time.Duration(float64(cfg.Lease)*clockSkew) + killTime)
			if cse.foreign {
				over = carriedOut.Add(time.Duration(float64(cfg.LongestLease)*clockSkew) + killTime)
			}
			t.Logf("returned %v after the former renewal was given up; the lease may last %v", returned.Sub(carriedOut), over.Sub(carriedOut))
			chk.True(!returned.Before(over))
		})
	}
}

// lastRenewal returns the newest renewal that was sent.
func lastRenewal(har *harness) Renew {
	var last Renew
	for _, act := range har.acts {
		if rnw, ok := act.(Renew); ok {
			last = rnw
		}
	}
	return last
}
