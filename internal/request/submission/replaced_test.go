package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// reportReplaced passes a leader's report that another owner's order has replaced the one of a submission, which is named by its first call.
func (hrn *harness) reportReplaced(from shard.InstanceID, token int64, task string, cal CallID) {
	hrn.record(hrn.crd.HandleReport(hrn.now, from, shard.Report{
		Task: task, Token: token, Outcome: shard.OrderReplaced, NewOwner: "second/9", SubmissionNumber: int64(cal),
	}))
}

// Guards against owners that wait until the deadline, or order anew, though another owner has ordered a task of theirs, and against jobs that are given
// up because of a report on an order that the task no longer has.
func TestReplacedOrders(t *testing.T) {
	// Two tasks are ordered at two leaders.
	submit := func(hrn *harness) {
		hrn.setLeader("a.0", true, self, 1, 1)
		hrn.setLeader("b.0", false, other, 2, 1)
		hrn.submit(1, "j", 2)
		hrn.takeTexts()
	}
	cases := map[string]struct {
		scenario func(hrn *harness)
		want     []string
	}{
		"waiting, this owner leads": {
			scenario: func(hrn *harness) { hrn.reportReplaced(self, 1, "j.0.0.0", 1) },
			want:     []string{"reply 1 unfinished", "cancel j.0.0.1 at other/2"},
		},
		"waiting, another instance leads": {
			scenario: func(hrn *harness) { hrn.reportReplaced(other, 2, "j.0.0.1", 1) },
			want:     []string{"reply 1 unfinished", "cancel j.0.0.0 at self/1"},
		},
		"running": {
			scenario: func(hrn *harness) {
				hrn.report(other, 2, "j.0.0.1", shard.Started)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
			want: []string{"reply 1 unfinished", "cancel j.0.0.0 at self/1"},
		},
		"both tasks": {
			scenario: func(hrn *harness) {
				hrn.reportReplaced(self, 1, "j.0.0.0", 1)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
			want: []string{"reply 1 unfinished", "cancel j.0.0.1 at other/2"},
		},
		"the other task is done": {
			scenario: func(hrn *harness) {
				hrn.report(self, 1, "j.0.0.0", shard.Done)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
			want: []string{"reply 1 unfinished"},
		},
		"the other task is orphaned": {
			scenario: func(hrn *harness) {
				hrn.report(self, 1, "j.0.0.0", shard.Lost)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
				hrn.now = hrn.now.Add(2 * orphanExpiry)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"reply 1 unfinished"},
		},
		"two calls wait": {
			scenario: func(hrn *harness) {
				hrn.submit(2, "j", 2)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
			want: []string{"reply 1 unfinished", "reply 2 unfinished", "cancel j.0.0.0 at self/1"},
		},
		"the order was reassigned since": {
			scenario: func(hrn *harness) {
				hrn.setLeader("b.0", false, "third/3", 3, 1)
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
			want: []string{"cancel j.0.0.1 at other/2", "order j.0.0.1 at third/3 reassigned"},
		},
		"the reassigned order": {
			scenario: func(hrn *harness) {
				hrn.setLeader("b.0", false, "third/3", 3, 1)
				hrn.takeTexts()
				hrn.reportReplaced("third/3", 3, "j.0.0.1", 1)
			},
			want: []string{"reply 1 unfinished", "cancel j.0.0.0 at self/1"},
		},
		"the report crosses the cancel": {
			scenario: func(hrn *harness) {
				hrn.record(hrn.crd.HandleCallerGone(1))
				hrn.takeTexts()
				hrn.reportReplaced(other, 2, "j.0.0.1", 1)
			},
		},
		"the report crosses the cancel, and the job was submitted here again": {
			scenario: func(hrn *harness) {
				hrn.record(hrn.crd.HandleCallerGone(1))
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(3, "j", 2)
				hrn.takeTexts()
				for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
					tsk := hrn.crd.tasks[task]
					hrn.reportReplaced(tsk.leader, tsk.token, task, 1)
				}
			},
		},
		"an outcome of a later version": {
			scenario: func(hrn *harness) { hrn.report(other, 2, "j.0.0.1", shard.OrderReplaced+1) },
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			submit(hrn)
			cse.scenario(hrn)
			is.New(t).Equal(hrn.takeTexts(), cse.want)
		})
	}
}

// Guards against a job that is answered as not run though another owner runs it, and against callers that retry before that owner can be done, whose
// retries would stop its runs.
func TestAnswerToAReplacedJob(t *testing.T) {
	cases := map[string]struct {
		refusing bool
		runTime  time.Duration
		least    time.Duration
	}{
		"short":         {runTime: 100 * time.Millisecond, least: time.Second},
		"long":          {runTime: 3 * time.Second, least: 3 * time.Second},
		"to be refused": {runTime: 100 * time.Millisecond, least: time.Second, refusing: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 1)
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, Submission{
				ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
				Steps:     []Step{{Count: 1, Processor: 14000, ExpectedRunTime: cse.runTime}},
				Objective: func(work time.Duration) time.Duration { return 2 * work },
			}))
			if cse.refusing {
				hrn.crd.recallJob(hrn.crd.jobs["j"])
			}
			hrn.crd.takeActions()
			hrn.acts = nil
			hrn.reportReplaced(self, 1, "j.0.0.0", 1)
			chk.Equal(len(hrn.acts), 1)
			rep, ok := hrn.acts[0].(Reply)
			chk.True(ok)
			chk.Equal(rep.Answer.Result, Unfinished)
			chk.Equal(rep.Answer.Reason, "the job was also submitted to instance second/9, which has ordered its tasks")
			chk.True(rep.Answer.RetryAfter >= cse.least && rep.Answer.RetryAfter <= 2*cse.least)
			chk.Equal(hrn.crd.OpenCount(), 0)
		})
	}
}
