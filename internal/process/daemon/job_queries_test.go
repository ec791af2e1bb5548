package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// The instances that the queries of TestJobQueries ask.
const (
	one = shard.InstanceID("one/1")
	two = shard.InstanceID("two/2")
)

// answerNone has both instances answer that they don't have the job.
func answerNone(jqs *jobQueries, num int64) {
	jqs.handleAnswer(one, mesh.JobAnswer{Number: num})
	jqs.handleAnswer(two, mesh.JobAnswer{Number: num})
}

// Guards against the answer that nobody has a job, while an instance that may have it can't be asked or hasn't answered, and against queries that are kept.
func TestJobQueries(t *testing.T) {
	now := time.Unix(1000, 0)
	none, running := submission.Finding{Complete: true}, submission.Finding{State: submission.JobRunning, Complete: true}
	cases := map[string]struct {
		// before comes before the query, meanwhile once both instances were asked.
		before    func(jqs *jobQueries)
		meanwhile func(jqs *jobQueries, num int64)
		want      submission.Finding
		// waits says that the query is not settled by then.
		waits bool
	}{
		"both don't have it": {meanwhile: answerNone, want: none},
		"one has it": {
			meanwhile: func(jqs *jobQueries, num int64) {
				jqs.handleAnswer(one, mesh.JobAnswer{Number: num, State: submission.JobRunning})
			},
			want: running,
		},
		"one doesn't answer": {
			meanwhile: func(jqs *jobQueries, num int64) { jqs.handleAnswer(one, mesh.JobAnswer{Number: num}) },
			waits:     true,
		},
		"one answers twice": {
			meanwhile: func(jqs *jobQueries, num int64) {
				jqs.handleAnswer(one, mesh.JobAnswer{Number: num})
				jqs.handleAnswer(one, mesh.JobAnswer{Number: num})
			},
			waits: true,
		},
		"the answer is to another query": {
			meanwhile: func(jqs *jobQueries, num int64) {
				jqs.handleAnswer(one, mesh.JobAnswer{Number: num + 1, State: submission.JobRunning})
			},
			waits: true,
		},
		"one is lost and may live": {
			meanwhile: func(jqs *jobQueries, num int64) {
				jqs.handleLoss(now, one, true)
				jqs.handleAnswer(two, mesh.JobAnswer{Number: num})
			},
		},
		"the process of one has ended": {
			meanwhile: func(jqs *jobQueries, num int64) {
				jqs.handleLoss(now, one, false)
				jqs.handleAnswer(two, mesh.JobAnswer{Number: num})
			},
			want: none,
		},
		"a third one was lost and may live": {
			before:    func(jqs *jobQueries) { jqs.handleLoss(now.Add(-unheardMemory), "three/3", true) },
			meanwhile: answerNone,
		},
		"a third one was lost long before": {
			before:    func(jqs *jobQueries) { jqs.handleLoss(now.Add(-unheardMemory-time.Millisecond), "three/3", true) },
			meanwhile: answerNone, want: none,
		},
		"a third one was lost and is heard again": {
			before: func(jqs *jobQueries) {
				jqs.handleLoss(now, "three/3", true)
				jqs.handleHeard("three/3")
			},
			meanwhile: answerNone, want: none,
		},
		"a third one was lost, and its next incarnation is heard": {
			before: func(jqs *jobQueries) {
				jqs.handleLoss(now, "three/3", true)
				jqs.handleHeard("three/9")
			},
			meanwhile: answerNone, want: none,
		},
		"a third one was lost, and another one is heard": {
			before: func(jqs *jobQueries) {
				jqs.handleLoss(now, "three/3", true)
				jqs.handleHeard("four/3")
			},
			meanwhile: answerNone,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			jqs := newJobQueries()
			if cse.before != nil {
				cse.before(&jqs)
			}
			num, qry := jqs.begin(submission.Finding{Complete: jqs.knowsAll(now)}, map[shard.InstanceID]bool{one: true, two: true})
			cse.meanwhile(&jqs, num)
			chk.Equal(len(qry.done) == 0, cse.waits)
			if cse.waits {
				chk.Equal(jqs.end(num, qry), cse.want)
			} else {
				chk.Equal(<-qry.done, cse.want)
			}
			chk.Equal(len(jqs.open), 0)
		})
	}
}

// Guards against a memory that grows with the instances that come and go while nobody asks for a job.
func TestLostInstancesAreForgotten(t *testing.T) {
	jqs, now := newJobQueries(), time.Unix(1000, 0)
	for num := range 100 {
		jqs.handleLoss(now.Add(time.Duration(num)*unheardMemory/4), mesh.ID("one", int64(num)), true)
	}
	is.New(t).True(len(jqs.unheard) <= 5)
}
