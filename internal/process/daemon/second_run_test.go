package daemon

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logLine is one log line of an instance.
type logLine map[string]any

// linesOf returns the lines about a task that all instances have logged, in order, with some messages only.
func (sys *system) linesOf(task string, messages ...string) []logLine {
	var lins []logLine
	for text := range strings.Lines(sys.logText()) {
		_, text, _ = strings.Cut(text, " ")
		var lin logLine
		if err := json.Unmarshal([]byte(text), &lin); err != nil {
			sys.t.Errorf("log line: %v", err)
			continue
		}
		msg, _ := lin["message"].(string)
		if lin["task"] == task && slices.Contains(messages, msg) {
			lins = append(lins, lin)
		}
	}
	return lins
}

// Guards against a task that ran twice, one run after the other, and whose logs don't lead from the second start back to what became of the first one.
func TestLogsOfASecondRun(t *testing.T) {
	task := jobID(2) + ".0.0.0"
	const lead, own, server = "entry-1-1", "entry-2-1", "server-1-1"
	cases := map[string]struct {
		lose func(sys *system)
		// over is what the first leader says of the first run, nil if it can't say anything.
		over logLine
		// order is what the last order of the task must have.
		order logLine
	}{
		"its server is cut off": {
			lose: func(sys *system) {
				sys.net.Separate(sys.instances[lead].host, server)
				sys.net.Separate(sys.instances[own].host, server)
			},
			over:  logLine{"instance": lead, "evidence": "lease-over", "server": server},
			order: logLine{"instance": own, "reason": "returned", "returned": "lease-expired"},
		},
		"its leader has no power and its server is cut off": {
			lose: func(sys *system) {
				sys.net.Separate(sys.instances[own].host, server)
				sys.powerOff(lead)
			},
			order: logLine{"instance": own, "reason": "former-run-over", "orphaned-by": "instance-lost", "cause": "not heard"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				time.Sleep(maxUnlisted)
				// The owner's failure domain is full when the job comes, and free when it comes back.
				sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 500}})
				time.Sleep(20 * time.Millisecond)
				snt := sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 1500}})
				time.Sleep(250 * time.Millisecond)
				cse.lose(sys)
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
				chk.Equal(sys.ldg.Starts(task), 2)

				starts := sys.linesOf(task, "start")
				chk.Equal(len(starts), 2)
				chk.Equal(starts[0]["server"], server)
				chk.True(starts[1]["server"] != server)
				for _, str := range starts {
					chk.Equal(str["attempt"], 1.0) // Each leader starts it once.
				}
				ords := sys.linesOf(task, "order")
				chk.Equal(len(ords), 2)
				checkLine(chk, ords[0], logLine{"level": "debug", "reason": "first"})
				checkLine(chk, ords[1], logLine{"level": "info", "former-token": starts[0]["token"], "former-shard": starts[0]["shard"], "number": 2.0})
				checkLine(chk, ords[1], cse.order)
				checkLine(chk, ords[1], logLine{"last-server": server})
				if cse.over == nil {
					return
				}
				over := sys.linesOf(task, "run is over")
				chk.Equal(len(over), 1)
				checkLine(chk, over[0], cse.over)
				checkLine(chk, over[0], logLine{"run": starts[0]["run"], "token": starts[0]["token"]})
			})
		})
	}
}

// Guards against a run that goes on under a new leader and whose logs look like those of a second run.
func TestLogsOfAnAdoptedRun(t *testing.T) {
	task := jobID(2) + ".0.0.0"
	job := jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 1500}}
	inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
		chk := is.NewRelaxed(t)
		two.takeOver()
		<-two.sent.done
		chk.Equal(two.sent.status, http.StatusOK)
		starts, adopted, ords := two.linesOf(task, "start"), two.linesOf(task, "order adopts a run"), two.linesOf(task, "order")
		chk.Equal(len(starts), 1)
		chk.Equal(len(adopted), 1)
		checkLine(chk, adopted[0], logLine{
			"instance": two.second.name, "server": two.busy[0], "run": starts[0]["run"], "owner": starts[0]["owner"], "ended": false, "stopped": false,
		})
		checkLine(chk, ords[len(ords)-1], logLine{"reason": "new-leader", "former-token": starts[0]["token"], "token": adopted[0]["token"]})
		all := strings.Count(two.logText(), `"message":"order adopts a run"`) // A task of another job runs there, too.
		chk.Equal(two.second.dmn.cnt.causes.adopted.Load(), int64(all))
	})
}

// checkLine checks that a line has some fields.
func checkLine(chk *is.I, lin, want logLine) {
	chk.Helper()
	for key, val := range want {
		chk.Equal([2]any{key, lin[key]}, [2]any{key, val})
	}
}
