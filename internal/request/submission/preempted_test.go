package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// lastOrder returns the last order that was sent for a task.
func (hrn *harness) lastOrder(task string) (last SendOrder) {
	for _, act := range hrn.acts {
		if snd, ok := act.(SendOrder); ok && snd.Order.Task == task && !snd.Order.Recall {
			last = snd
		}
	}
	return last
}

// Guards against a task that is preempted again and again as its mark is lost when its order goes to another leader, and against a preempted run
// that counts as a failed attempt.
func TestMarkOfPreemptionGoesWithTheTask(t *testing.T) {
	const leader, next = shard.InstanceID("first/1"), shard.InstanceID("second/2")
	cases := map[string]func(hrn *harness){
		"returned by its leader": func(hrn *harness) {
			hrn.record(hrn.crd.HandleReport(hrn.now, leader, shard.Report{Task: "j.0.0.0", Token: 10, Outcome: shard.NotRun, MayHaveRun: true, Preempted: true}))
		},
		"its leader has a successor": func(hrn *harness) {
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0", Leader: next, Token: 11}, otherDomain))
		},
	}
	for name, happen := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0", Leader: leader, Token: 10}, otherDomain))
			hrn.submit(1, "j", 1)
			hrn.report(leader, 10, "j.0.0.0", shard.Started)
			chk.True(!hrn.lastOrder("j.0.0.0").Order.Preempted)
			hrn.acts = nil
			hrn.record(hrn.crd.HandleReport(hrn.now, leader, shard.Report{
				Task: "j.0.0.0", Token: 10, Outcome: shard.Started, Preempted: true, WorkLost: time.Millisecond,
			}))
			chk.Equal(len(hrn.acts), 0)
			happen(hrn)
			chk.True(hrn.lastOrder("j.0.0.0").Order.Preempted)
			chk.Equal(hrn.crd.tasks["j.0.0.0"].failures, 0)
		})
	}
}

// Guards against less urgent tasks sent for room that is kept, and against urgent ones that don't use it.
func TestOwnersLeaveHeadroom(t *testing.T) {
	cases := map[string]struct {
		priority int
		returned bool
		want     shard.Name
	}{
		"the most urgent tasks use it":                 {0, false, "a.0"},
		"others go where none is kept":                 {2, false, "b.0"},
		"a return for headroom leaves it to the first": {0, true, "a.0"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			for num, name := range []shard.Name{"a.0", "b.0"} {
				hrn.record(hrn.crd.HandleLeader(Target{Shard: name, Leader: shard.InstanceID(name), Token: 10}, otherDomain))
				lod := shard.Load{Number: 1, ServiceRate: 1_000_000, Free: []int64{90000}, FreeMemory: []int64{900}, LinkWindow: 1 << 20}
				if num == 0 && !cas.returned {
					lod.Free, lod.FreeMemory = []int64{95000}, []int64{950}
					lod.Kept[2] = shard.ServerRoom{Processor: []int64{95000}, Memory: []int64{950}}
				}
				hrn.record(hrn.crd.HandleLoad(name, lod))
			}
			if cas.returned {
				tsk := &task{shard: "b.0", job: &job{sub: Submission{Priority: 1}}}
				hrn.crd.noteNoRoom(tsk, shard.KeptForUrgent)
				tsk.shard = "a.0"
				hrn.crd.noteNoRoom(tsk, shard.KeptForUrgent)
			}
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, Submission{
				ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: time.Minute, Priority: cas.priority,
				Objective: func(time.Duration) time.Duration { return time.Minute },
				Steps:     []Step{{Count: 1, Processor: 14000, Memory: 64, ExpectedRunTime: 100 * time.Millisecond}},
			}))
			last := hrn.lastOrder("j.0.0.0")
			is.New(t).Equal(last.Target.Shard, cas.want)
			is.New(t).True(last.Order.ReturnIfBusy) // It is sent for free room.
		})
	}
}
