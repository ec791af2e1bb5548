package dispatch_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// outcome is the result of one policy for a workload.
type outcome struct {
	policy string
	// jobs and tasks hold response ratios: the response time, from the job's due arrival, divided by the run time of
	// the task or of the job's longest task.
	jobs         []float64
	tasks        []float64
	useful       int
	wasted       map[string]int
	refused      int
	failed       int
	doubleStarts int
	openJobs     int
}

// waste returns the number of messages beyond submissions, starts and answers, as a share of these.
func (out *outcome) waste() float64 {
	tot := 0
	for _, num := range out.wasted {
		tot += num
	}
	return float64(tot) / float64(max(out.useful, 1))
}

// quantile returns the value below which the given share of the sorted values lies; 0 if there are none.
func quantile(vals []float64, share float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	return vals[min(int(share*float64(len(vals))), len(vals)-1)]
}

// add records the end of a job and the messages of its submission and answer.
func (out *outcome) add(sjb *simJob, now time.Time) {
	sjb.ended = now
	out.jobs = append(out.jobs, float64(now.Sub(sjb.due))/float64(sjb.longest))
	out.useful += 2
}

// addTask records the end of a task and the messages of its start and answer.
func (out *outcome) addTask(sjb *simJob, idx int, now time.Time) {
	out.tasks = append(out.tasks, float64(now.Sub(sjb.due))/float64(sjb.times[idx]))
	out.useful += 2
}

// sort sorts the response ratios, as quantile needs them.
func (out *outcome) sort() {
	slices.Sort(out.jobs)
	slices.Sort(out.tasks)
}

// runDispatchers runs the workload on a cluster of Dispatchers; injectFaults, if set, schedules faults.
func runDispatchers(shp shape, cfg dispatch.Config, trf traffic, wkl *workload, seed uint64, injectFaults func(*cluster)) *outcome {
	out := &outcome{policy: "Dispatcher", wasted: map[string]int{}}
	cls := newCluster(shp, cfg, seed)
	cls.runTime = func(tid job.TaskID) (time.Duration, bool) {
		sjb := wkl.bySub[tid.Submission()]
		return sjb.times[tid.Index()], sjb.fails
	}
	cls.ended = func(_ *simEntry, jb *job.Job) {
		sjb := wkl.bySub[jb.Spec().Submission]
		sjb.verdict = "done"
		if err := jb.Err(); err != nil {
			sjb.verdict = err.Verdict().String() + " " + err.Reason()
			out.failed++
			return
		}
		out.add(sjb, cls.now)
	}
	if injectFaults != nil {
		injectFaults(cls)
	}
	for _, sjb := range wkl.jobs {
		cls.at(sjb.due, func() { submit(cls, sjb, out) })
	}
	cls.watchTasks(wkl, out)
	cls.run(simStart.Add(trf.duration + 60*time.Second))
	cls.countWaste(out)
	out.doubleStarts = cls.doubleStarts
	for _, sjb := range wkl.jobs {
		if sjb.verdict == "" {
			out.openJobs++
		}
	}
	out.sort()
	return out
}

// submit submits the job to its entry, or to a random live one if that is dead.
func submit(cls *cluster, sjb *simJob, out *outcome) {
	ent := cls.entries[sjb.entry]
	for ent.dead {
		ent = cls.entries[cls.rnd.IntN(len(cls.entries))]
	}
	ent.event(func(now time.Time) {
		if err := ent.dsp.Submit(now, sjb.job(now)); err != nil {
			sjb.verdict = err.Verdict().String() + " " + err.Reason()
			out.refused++
		}
	})
}

// watchTasks records when the answer of each task reaches its entry instance.
func (cls *cluster) watchTasks(wkl *workload, out *outcome) {
	cls.answered = func(tid job.TaskID) {
		sjb := wkl.bySub[tid.Submission()]
		out.addTask(sjb, int(tid.Index()), cls.now)
	}
}

// countWaste adds up by kind the messages of all entries beyond submissions, starts and answers.
func (cls *cluster) countWaste(out *outcome) {
	for _, ent := range cls.entries {
		sta := ent.dsp.Snapshot()
		out.wasted["refusal"] += int(2 * sta.Refusals)
		out.wasted["loan"] += int(sta.Borrows + sta.BorrowsReceived + sta.Offers + sta.Returns)
		out.wasted["ask"] += int(sta.Queries + sta.Statuses + sta.Revokes)
		out.wasted["stop"] += int(sta.Stops)
		out.wasted["renew"] += int(sta.Renewals)
	}
}

// ideal simulates one queue with full knowledge of free slots and run times and no network latency. It takes the
// shortest remaining job first, and the longest task of a job first.
func ideal(shp shape, trf traffic, wkl *workload) *outcome {
	out := &outcome{policy: "omniscient queue", wasted: map[string]int{}}
	smn := &sim{now: simStart}
	que := &idealQueue{}
	free := shp.servers * int(shp.slots)
	var place func()
	place = func() {
		for free > 0 && que.Len() > 0 {
			ijb := (*que)[0]
			idx := ijb.order[ijb.next]
			ijb.next++
			ijb.remaining -= ijb.sjb.times[idx]
			if ijb.next == len(ijb.order) {
				heap.Pop(que)
			} else {
				heap.Fix(que, 0)
			}
			free--
			smn.after(ijb.sjb.times[idx], func() {
				free++
				out.addTask(ijb.sjb, idx, smn.now)
				ijb.done++
				if ijb.done == len(ijb.order) {
					out.add(ijb.sjb, smn.now)
				}
				place()
			})
		}
	}
	for _, sjb := range wkl.jobs {
		smn.at(sjb.due, func() {
			heap.Push(que, newIdealJob(sjb))
			place()
		})
	}
	smn.run(simStart.Add(trf.duration + 60*time.Second))
	out.sort()
	return out
}

// idealJob is a job in idealQueue. order holds the indexes of its tasks, the longest first, next the position in
// order of the task to start next, done the number of ended tasks, remaining the run time not yet started.
type idealJob struct {
	sjb       *simJob
	order     []int
	next      int
	done      int
	remaining time.Duration
}

// newIdealJob returns the job with none of its tasks started.
func newIdealJob(sjb *simJob) *idealJob {
	ijb := &idealJob{sjb: sjb}
	for idx, dur := range sjb.times {
		ijb.order = append(ijb.order, idx)
		ijb.remaining += dur
	}
	slices.SortStableFunc(ijb.order, func(one, two int) int { return cmp.Compare(sjb.times[two], sjb.times[one]) })
	return ijb
}

// idealQueue is a heap of jobs, that with the shortest remaining run time first.
type idealQueue []*idealJob

func (que idealQueue) Len() int           { return len(que) }
func (que idealQueue) Less(o, t int) bool { return que[o].remaining < que[t].remaining }
func (que idealQueue) Swap(o, t int)      { que[o], que[t] = que[t], que[o] }
func (que *idealQueue) Push(val any)      { *que = append(*que, val.(*idealJob)) }
func (que *idealQueue) Pop() any {
	last := len(*que) - 1
	val := (*que)[last]
	*que = (*que)[:last]
	return val
}

// serverChoice is the choice of a simple policy: it returns the server for a task, given the estimated free slots.
type serverChoice func(rnd *rand.Rand, estimate []int) int

// randomServer returns a random server.
func randomServer(rnd *rand.Rand, estimate []int) int { return rnd.IntN(len(estimate)) }

// twoChoices returns the one of two random servers that has more free slots by the last answers.
func twoChoices(rnd *rand.Rand, estimate []int) int {
	one, two := rnd.IntN(len(estimate)), rnd.IntN(len(estimate))
	if estimate[two] > estimate[one] {
		return two
	}
	return one
}

// mostFree returns the server with the most free slots by estimate.
func mostFree(rnd *rand.Rand, estimate []int) int {
	best := rnd.IntN(len(estimate))
	for num := range estimate {
		idx := (best + num) % len(estimate)
		if estimate[idx] > estimate[best] {
			best = idx
		}
	}
	return best
}

// runServerChoice simulates a policy without homes: each entry sends tasks at once to the server that gss returns, first
// in first out. After a refusal it chooses again, from the fifth refusal of a task on after a delay that doubles.
func runServerChoice(name string, gss serverChoice, shp shape, trf traffic, wkl *workload, seed uint64) *outcome {
	out := &outcome{policy: name, wasted: map[string]int{}}
	smn := &sim{now: simStart, rnd: rand.New(rand.NewPCG(seed, 5))}
	free := make([]int, shp.servers)
	estimate := make([][]int, shp.entries)
	for idx := range free {
		free[idx] = int(shp.slots)
	}
	for idx := range estimate {
		estimate[idx] = slices.Clone(free)
	}
	done := map[*simJob]int{}
	var send func(sjb *simJob, idx, tries int)
	send = func(sjb *simJob, idx, tries int) {
		est := estimate[sjb.entry]
		srv := gss(smn.rnd, est)
		est[srv]--
		lat := shp.far
		if srv%shp.domains == sjb.entry%shp.domains {
			lat = shp.near
		}
		smn.after(lat, func() {
			if free[srv] == 0 {
				out.wasted["refusal"] += 2
				smn.after(lat, func() {
					est[srv] = 0
					pause := time.Duration(0)
					if tries > 3 {
						pause = time.Millisecond << min(tries-3, 6)
					}
					smn.after(pause, func() { send(sjb, idx, tries+1) })
				})
				return
			}
			free[srv]--
			smn.after(sjb.times[idx], func() {
				free[srv]++
				seen := free[srv]
				smn.after(lat, func() {
					est[srv] = seen
					out.addTask(sjb, idx, smn.now)
					done[sjb]++
					if done[sjb] == len(sjb.times) {
						out.add(sjb, smn.now)
					}
				})
			})
		})
	}
	for _, sjb := range wkl.jobs {
		smn.at(sjb.due, func() {
			for idx := range sjb.times {
				send(sjb, idx, 0)
			}
		})
	}
	smn.run(simStart.Add(trf.duration + 60*time.Second))
	out.sort()
	return out
}
