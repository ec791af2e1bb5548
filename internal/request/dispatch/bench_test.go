package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"chestnutstack/internal/request/job"
)

const benchTeams = 980

// teamQuotas is a Limits that bounds the running tasks of each team.
type teamQuotas map[string]int

func (tqs teamQuotas) Take(_ time.Time, _ *job.Class, team string) bool {
	if tqs[team] == 0 {
		return false
	}
	tqs[team]--
	return true
}

func (tqs teamQuotas) Release(_ time.Time, _ *job.Class, team string) { tqs[team]++ }

func benchDispatcher(servers, own, teams int) (*Dispatcher, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cfg := DefaultConfig()
	cfg.Self, cfg.FailureDomain = "self", "domain"
	// The backlog of all teams, which is there from the start, exceeds the default MaxWait.
	cfg.MaxWait = time.Hour
	quotas := teamQuotas{}
	dsp := New(cfg, quotas, rand.New(rand.NewPCG(1, 1)))
	var list []Server
	var homes []Home
	for idx := range servers {
		sid := ServerID(fmt.Sprint("server-", idx))
		list = append(list, Server{ID: sid, FailureDomain: "domain", Rack: fmt.Sprint("rack-", idx/8), Slots: 8})
		peer := PeerID("self")
		if idx >= own {
			peer = "other"
		}
		homes = append(homes, Home{Server: sid, Peer: peer})
	}
	dsp.SetMembership(now, list, homes, nil)
	for _, srv := range list {
		dsp.HandleSessionUp(now, srv.ID, Report{Server: srv.ID, Incarnation: "one", Slots: 8, FreeSlots: 8})
	}
	for team := range teams {
		name := fmt.Sprint("team-", team)
		quotas[name] = 20
		cls := &job.Class{Name: fmt.Sprint("class-", team%40), Owner: job.Partner(fmt.Sprint("partner-", team%2))}
		spc := job.Spec{
			Submission: job.SubmissionID(name), Class: cls, Team: name, Admitted: now, Tasks: make([]job.TaskSpec, 100),
		}
		if err := dsp.Submit(now, job.New(job.NewID("bench", name), spc)); err != nil {
			panic(err)
		}
	}
	dsp.Actions().Reset()
	return dsp, now
}

// Measures one decision: a slot comes free, and the next task of the job that is first in the fair queue takes it.
// The time must not grow with the number of known backend servers. It grows with the number of own ones, since the
// tasks in flight then exceed the processor's cache.
func BenchmarkDecision(bch *testing.B) {
	for _, size := range []struct{ servers, own int }{{50, 50}, {500, 50}, {3700, 50}, {3700, 3700}} {
		bch.Run(fmt.Sprintf("servers-%d-own-%d-teams-%d", size.servers, size.own, benchTeams), func(bch *testing.B) {
			dsp, now := benchDispatcher(size.servers, size.own, benchTeams)
			var inFlight []*attempt
			for _, srv := range dsp.serverList {
				srv.each(func(att *attempt) { inFlight = append(inFlight, att) })
			}
			if len(inFlight) == 0 {
				bch.Fatal("nothing in flight")
			}
			number := 0
			bch.ReportAllocs()
			for bch.Loop() {
				att := inFlight[number%len(inFlight)]
				number++
				dsp.recordNotRun(now, att)
				dsp.requeue(att.jst, att.idx)
				dsp.startWaiting(now)
				if sts := dsp.act.Starts; len(sts) > 0 {
					inFlight[(number-1)%len(inFlight)] = dsp.attemptOf(dsp.servers[sts[0].Server], sts[0].Task)
				}
				dsp.act.Reset()
				dsp.NextTick()
			}
		})
	}
}

// Measures a job of ten tasks from its submission to its answer, without messages and encoding.
func BenchmarkJob(bch *testing.B) {
	const tasks = 10
	for _, servers := range []int{50, 500, 3700} {
		bch.Run(fmt.Sprint("servers-", servers), func(bch *testing.B) {
			dsp, now := benchDispatcher(servers, servers, 0)
			cls := &job.Class{Name: "class", Owner: "partner-0", RunTime: time.Second}
			dsp.lim.(teamQuotas)["team"] = tasks
			num := 0
			bch.ReportAllocs()
			for bch.Loop() {
				num++
				now = now.Add(time.Millisecond)
				sub := job.SubmissionID(strconv.Itoa(num))
				spc := job.Spec{Submission: sub, Class: cls, Team: "team", Admitted: now, Tasks: make([]job.TaskSpec, tasks)}
				jb := job.New(job.NewID("bench", string(sub)), spc)
				if err := dsp.Submit(now, jb); err != nil {
					bch.Fatal(err)
				}
				answerAll(dsp, now, jb)
				if !jb.Complete() {
					bch.Fatal("the job is incomplete")
				}
				dsp.act.Reset()
			}
		})
	}
}

func answerAll(dsp *Dispatcher, now time.Time, jb *job.Job) {
	for idx := range jb.TaskCount() {
		tsk := jb.Task(uint32(idx))
		srv := dsp.servers[ServerID(tsk.Server())]
		if srv == nil {
			return
		}
		res := Result{Task: tsk.ID(), Outcome: OutcomeOK, RunTime: time.Millisecond}
		free := srv.acct.Slots() - srv.acct.InUse()
		dsp.HandleReport(now, Report{Server: srv.id, Incarnation: "one", Slots: 8, FreeSlots: free, Results: []Result{res}})
	}
}
