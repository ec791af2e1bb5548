package submission_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// playParams are the parameters of one play: real Coordinators and Leaders in virtual time, with simulated backend servers and callers.
type playParams struct {
	Features   shard.Features
	Deployment *playDeployment
	Load       playLoad
	Seed       uint64
	// Duration is the time during which jobs arrive, at least until the end of what Load does.
	Duration time.Duration
	// FullSize plays the whole deployment, otherwise 12 instances and 108 servers with the same load per server.
	FullSize bool
}

// playLoad is what happens to the load during a play: nothing, more of the least urgent jobs (burst...), or a time without instances (outage...).
type playLoad int

const (
	usualLoad playLoad = iota
	burstLoad
	outageLoad
)

const (
	burstFrom, burstTo   = 2 * time.Second, 7 * time.Second
	burstFactor          = 2.5
	outageFrom, outageTo = 2 * time.Second, 3 * time.Second
	resendDelay          = 1300 * time.Millisecond // From the loss of a caller's connection.
	callerPatience       = 1500 * time.Millisecond // Beyond the late limit.
	callerDelay          = 3 * time.Millisecond
	nearDelay, farDelay  = 500 * time.Microsecond, 1500 * time.Microsecond
	beat, tick           = 100 * time.Millisecond, 20 * time.Millisecond
	nearPause, farPause  = 6 * beat, 9 * beat    // Between loads where no orders are open, a half less to a half more.
	loadShare            = 4 * time.Millisecond  // Between loads of an instance's leaders to its own Coordinator.
	eventCost            = 70 * time.Microsecond // Of a core; whole processes take more, but also give the smallest instances less to do.
	wavePeriod           = 20 * time.Second
	drainTime            = 4 * time.Second // After the last arrival: longer than callers wait for the usual job.
	lateFactor           = 3
	callersPerInstance   = 8     // Some instances get twice the jobs of others.
	workFactor           = 1.083 // From the median of a spread of 0.4 to the mean.
	taskMemory           = 64    // MB; it never binds.
)

// playStream describes the jobs of one priority. The values are those of an answer in time and of a late one.
type playStream struct {
	perSecond, width, value, late float64
	work                          time.Duration
}

// playDeployment describes a deployment of playServers backend servers. Processor is in cores and memory in GB, of the smaller servers; wave is the
// share by which the demand of a failure domain varies.
type playDeployment struct {
	domains, instances       int
	processor, memory, cores float64
	speeds                   [3]float64
	wave                     float64
	streams                  [shard.Priorities]playStream
}

const playServers, playShards = 350, 39

var (
	firstDeployment = &playDeployment{
		domains: 3, instances: 35, processor: 64, memory: 128, cores: 32, speeds: [...]float64{1, 1, 1.3}, wave: 0.15,
		streams: [...]playStream{
			{206, 8, 0.00485, 0.00097, 60 * time.Millisecond}, {600, 2, 0.00167, 0.000333, 200 * time.Millisecond}, {37.5, 4, 0.0267, 0.00533, 900 * time.Millisecond},
		},
	}
	secondDeployment = &playDeployment{
		domains: 4, instances: 45, processor: 16, memory: 64, cores: 8, speeds: [...]float64{0.6, 1, 1.6}, wave: 0.55,
		streams: [...]playStream{
			{181, 8, 0.00485, 0.00097, 51 * time.Millisecond}, {529, 2, 0.00167, 0.000333, 170 * time.Millisecond}, {33, 4, 0.0267, 0.00533, 760 * time.Millisecond},
		},
	}
)

// playJob is a job of a caller. coreSeconds is the work of its runs that ended as done, longest the time of the longest.
type playJob struct {
	id               string
	priority, domain int
	caller           int
	processor        int64
	estimate, limit  time.Duration
	tasks            []playTask
	// arrived is when the job was first sent, sentAt when it was last; call is the last sending.
	arrived, sentAt time.Time
	call            submission.CallID
	outcome         playOutcome
	coreSeconds     float64
	longest         time.Duration
	// started is set once a task has started since the last sending; begun and ended are the bound's counts of tasks.
	started      bool
	begun, ended int
}

// playTask is a task with its run time on a server of speed 1. If fails is set, the next run fails. done is set if a run ended as done since the job
// was last sent.
type playTask struct {
	work        time.Duration
	live        int
	fails, done bool
}

// on returns the task's run time on a server of a speed.
func (tsk *playTask) on(speed float64) time.Duration { return time.Duration(float64(tsk.work) / speed) }

// simulation is the state of a play. evs has the events to come, the last one first.
type simulation struct {
	prm       playParams
	rnd       *rand.Rand
	now, from time.Time
	evs       []playEvent
	jobs      map[string]*playJob
	order     []*playJob
	instances []*playInstance
	byID      map[shard.InstanceID]*playInstance
	servers   []*playServer
	shards    []playShard
	calls     submission.CallID
	down      bool
	rep       *playReport
}

// playShard is a shard with the instance that leads it.
type playShard struct {
	name           shard.Name
	domain, leader int
	token          int64
	servers        []shard.ServerEntry
}

type playEvent struct {
	at time.Time
	do func()
}

// after has something done after a time. Events that are due at one time happen in the order in which they were added.
func (sim *simulation) after(dur time.Duration, do func()) {
	evt := playEvent{sim.now.Add(dur), do}
	idx, _ := slices.BinarySearchFunc(sim.evs, evt.at, func(oth playEvent, at time.Time) int { return at.Compare(oth.at) })
	sim.evs = slices.Insert(sim.evs, idx, evt)
}

// run handles events until a time since the start.
func (sim *simulation) run(until time.Duration) {
	for num := len(sim.evs) - 1; num >= 0 && !sim.evs[num].at.After(sim.from.Add(until)); num = len(sim.evs) - 1 {
		evt := sim.evs[num]
		sim.evs, sim.now = sim.evs[:num], evt.at
		evt.do()
	}
}

// play plays a deployment and returns the report, with the bound for the same jobs; of several plays, the sums.
func play(prms ...playParams) *playReport {
	rep := &playReport{reasons: map[string]int{}, bound: &playReport{}}
	for _, prm := range prms {
		sim := newSimulation(prm, rep)
		sim.beginAll()
		for _, jb := range slices.Backward(sim.order) {
			sim.after(jb.arrived.Sub(sim.from), func() { sim.submit(jb) })
		}
		if prm.Load == outageLoad {
			sim.after(outageFrom, sim.loseAll)
			sim.after(outageTo, sim.beginAll)
		}
		sim.sampleRoom()
		sim.run(prm.Duration + drainTime)
		playBound(prm, rep.bound)
	}
	return rep
}

// playSeeds returns the sums of plays with three seeds.
func playSeeds(prm playParams) *playReport {
	two, three := prm, prm
	two.Seed, three.Seed = prm.Seed+1, prm.Seed+2
	return play(prm, two, three)
}

// newSimulation returns a play with its servers, shards and jobs, which follow from the seed alone, and with instances that have not begun.
func newSimulation(prm playParams, rep *playReport) *simulation {
	dep, from := prm.Deployment, time.Unix(1000, 0)
	sim := &simulation{
		prm: prm, rnd: rand.New(rand.NewPCG(prm.Seed, 1)), now: from, from: from, jobs: map[string]*playJob{}, byID: map[shard.InstanceID]*playInstance{}, rep: rep,
	}
	instances, shards, servers := dep.instances, playShards, playServers
	if !prm.FullSize {
		instances, shards, servers = 12, 12, 108
	}
	rep.begin(sim)
	for num := range instances {
		sim.instances = append(sim.instances, &playInstance{sim: sim, num: num, domain: num % dep.domains})
	}
	for num := range shards {
		dom := num % dep.domains
		sim.shards = append(sim.shards, playShard{name: shard.Name(fmt.Sprintf("domain-%d.%d", dom, num)), domain: dom, leader: sim.instance(dom, num/dep.domains).num})
	}
	for num := range servers {
		sim.addServer(num, &sim.shards[sim.rnd.IntN(shards)])
	}
	sim.addJobs(float64(servers) / playServers)
	return sim
}

// instance returns one of the instances of a failure domain.
func (sim *simulation) instance(domain, num int) *playInstance {
	dms := sim.prm.Deployment.domains
	return sim.instances[domain+dms*(num%((len(sim.instances)-domain+dms-1)/dms))]
}

func (sim *simulation) addServer(num int, shd *playShard) {
	dep, size := sim.prm.Deployment, []float64{1, 1, 1.5}[num%3]
	ent := shard.ServerEntry{
		ID: shard.ServerID(fmt.Sprintf("s%d", num)), Incarnation: 1, FailureDomain: fmt.Sprint(shd.domain), Service: "render",
		Processor: int64(1000 * size * dep.processor), Memory: int64(1000 * size * dep.memory),
		Labels: []string{"kind=" + string("aab"[num%3]), fmt.Sprintf("rack=%d", num/8)},
	}
	sim.servers = append(sim.servers, &playServer{sim: sim, ent: ent, speed: dep.speeds[num/3%3], free: ent.Processor})
	shd.servers = append(shd.servers, ent)
}

// addJobs adds the jobs of all priorities, a share of those of the whole deployment.
func (sim *simulation) addJobs(share float64) {
	dep := sim.prm.Deployment
	for pri, stm := range dep.streams {
		rnd := rand.New(rand.NewPCG(sim.prm.Seed, uint64(2+pri)))
		for at := time.Duration(0); ; {
			at += time.Duration(rnd.ExpFloat64() / (burstFactor * share * stm.perSecond) * float64(time.Second))
			if at >= sim.prm.Duration {
				break
			}
			jb := sim.newJob(rnd, pri, at)
			burst := sim.prm.Load == burstLoad && pri == shard.Priorities-1 && at >= burstFrom && at < burstTo
			if kept := rnd.Float64() < 1/burstFactor; kept || burst {
				jb.id = fmt.Sprintf("p%d-%d", pri, len(sim.order))
				sim.jobs[jb.id], sim.order = jb, append(sim.order, jb)
			}
		}
	}
	slices.SortStableFunc(sim.order, func(one, two *playJob) int { return one.arrived.Compare(two.arrived) })
}

// newJob returns a random job of a priority.
func (sim *simulation) newJob(rnd *rand.Rand, pri int, at time.Duration) *playJob {
	dep, stm := sim.prm.Deployment, sim.prm.Deployment.streams[pri]
	spread := func(mean, sgm float64) float64 { return mean * math.Exp(sgm*rnd.NormFloat64()-sgm*sgm/2) }
	jb := &playJob{priority: pri, arrived: sim.from.Add(at), caller: rnd.IntN(callersPerInstance * len(sim.instances))}
	for jb.domain = rnd.IntN(dep.domains); ; jb.domain = rnd.IntN(dep.domains) {
		phase := at.Seconds()/wavePeriod.Seconds() + float64(jb.domain)/float64(dep.domains)
		if rnd.Float64()*(1+dep.wave) < 1+dep.wave*math.Sin(2*math.Pi*phase) {
			break
		}
	}
	jb.processor = int64(1000 * min(spread(dep.cores, 0.2), 1.5*dep.cores))
	wid := int(math.Round(max(1, min(spread(stm.width, 0.4), 4*stm.width))))
	work := spread(workFactor*float64(stm.work), 0.4)
	jb.estimate = time.Duration(spread(work, 0.4))
	for range wid {
		wrk := spread(work, 0.15)
		if rnd.Float64() < 0.03 {
			wrk = min(7*wrk, 9.5*float64(stm.work))
		}
		jb.tasks = append(jb.tasks, playTask{work: time.Duration(wrk), fails: rnd.Float64() < 0.002})
		jb.limit = max(jb.limit, objective(time.Duration(wrk)))
	}
	return jb
}

// objective returns the time within which an answer is in time; up to lateFactor times that it is late.
func objective(work time.Duration) time.Duration { return 60*time.Millisecond + work*16/10 }

// until returns when the caller of a job gives up.
func (jb *playJob) until() time.Time { return jb.arrived.Add(lateFactor*jb.limit + callerPatience) }

// submit sends a job to the instance that the hash of its caller chooses, or again later while there is none.
func (sim *simulation) submit(jb *playJob) {
	sim.calls++
	jb.call, jb.sentAt, jb.started = sim.calls, sim.now, false
	for num := range jb.tasks {
		jb.tasks[num].done = false
	}
	if sim.down {
		sim.resend(jb)
		return
	}
	hsh := fnv.New32a()
	_, _ = fmt.Fprint(hsh, jb.caller) // Write of a hash returns no error.
	ins := sim.instance(jb.domain, int(hsh.Sum32()>>8))
	cal, left := jb.call, jb.until().Sub(sim.now)
	ins.later(callerDelay, func() {
		ins.runCoordinator(ins.crd.HandleSubmit(sim.now, cal, submission.Submission{
			ID: jb.id, Route: fmt.Sprint(jb.priority), Service: "render", Priority: jb.priority, MaxAttempts: 3, Objective: objective,
			CallerTimeout: left, RouteTimeout: callerPatience,
			Steps: []submission.Step{{Count: len(jb.tasks), Processor: jb.processor, Memory: taskMemory, ExpectedRunTime: jb.estimate}},
		}))
	})
	ins.later(left, func() { sim.finish(jb, cal, gaveUp) })
	ins.later(left+callerDelay, func() { ins.runCoordinator(ins.crd.HandleCallerGone(cal)) })
}

// resend has a caller that has lost its connection send its job again, if it still waits then.
func (sim *simulation) resend(jb *playJob) {
	if sim.now.Add(resendDelay).Before(jb.until()) {
		sim.after(resendDelay, func() { sim.submit(jb) })
	} else {
		sim.finish(jb, jb.call, gaveUp)
	}
}

func (sim *simulation) beginAll() {
	sim.down = false
	for _, ins := range sim.instances {
		ins.begin()
	}
}

// loseAll ends all instances at once.
func (sim *simulation) loseAll() {
	sim.down = true
	for _, ins := range sim.instances {
		ins.life++
	}
	for _, jb := range sim.order {
		if jb.call > 0 && jb.outcome == open {
			sim.resend(jb)
		}
	}
}
