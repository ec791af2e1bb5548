package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Fails if a job waits on after a leader reported that a task of it can't start while useful and nothing of it has started, or if a job is
// given up of which a task has started.
func TestTooLateJob(t *testing.T) {
	reportTooLate := func(hrn *harness, task string) {
		hrn.record(hrn.crd.HandleReport(hrn.now, self, shard.Report{Task: task, Token: 1, Outcome: shard.NotRun, TooLate: true}))
	}
	cases := map[string]struct {
		scenario func(hrn *harness)
		want     []string
	}{
		"nothing has started": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.submit(1, "j", 2)
				reportTooLate(hrn, "j.0.0.0")
				hrn.report(self, 1, "j.0.0.1", shard.NotRun)
			},
			want: []string{"order j.0.0.0 at self/1", "order j.0.0.1 at self/1", "order j.0.0.1 at self/1 recall", "reply 1 not-run"},
		},
		"the other task has started meanwhile": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.submit(1, "j", 2)
				reportTooLate(hrn, "j.0.0.0")
				hrn.report(self, 1, "j.0.0.1", shard.Started)
			},
			want: []string{"order j.0.0.0 at self/1", "order j.0.0.1 at self/1", "order j.0.0.1 at self/1 recall", "order j.0.0.0 at self/1"},
		},
		"the other task has started before": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 2)
				hrn.report(self, 1, "j.0.0.0", shard.Started)
				reportTooLate(hrn, "j.0.0.1")
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1", "order j.0.0.1 at self/1"},
		},
		"there is free capacity elsewhere": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.submit(1, "j", 1)
				hrn.setLeader("b.0", true, other, 2, 1)
				hrn.takeTexts()
				reportTooLate(hrn, "j.0.0.0")
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { checkScenario(t, cse.scenario, cse.want) })
	}
}

// Fails if all callers whose jobs are refused as too late in a burst retry in the same second.
func TestTooLateRetryTimesAreSpread(t *testing.T) {
	chk := is.New(t)
	hrn := newHarness()
	hrn.setLeader("a.0", true, self, 1, 0)
	least, most := time.Hour, time.Duration(0)
	for num := range 50 {
		id := fmt.Sprint("j", num)
		hrn.setWaits(0, 0, 0)
		hrn.submit(CallID(num), id, 1)
		hrn.record(hrn.crd.HandleLoad("a.0", busyLoad(int64(100+num))))
		hrn.record(hrn.crd.HandleReport(hrn.now, self, shard.Report{Task: id + ".0.0.0", Token: 1, Outcome: shard.NotRun, TooLate: true}))
		rep, ok := hrn.acts[len(hrn.acts)-1].(Reply)
		chk.True(ok)
		chk.Equal(rep.Answer.Result, NotRun)
		least, most = min(least, rep.Answer.RetryAfter), max(most, rep.Answer.RetryAfter)
	}
	chk.True(least >= 4*time.Second)
	chk.True(most-least > 2*time.Second)
}

// busyLoad returns the load of a shard in which tasks of the first rank wait for four seconds.
func busyLoad(number int64) shard.Load {
	lod := shard.Load{Number: number, ServiceRate: 1_000_000, LinkWindow: 1 << 20}
	lod.RankWaits[0] = 4 * time.Second
	return lod
}
