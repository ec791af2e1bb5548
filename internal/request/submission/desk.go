package submission

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
)

// CallID names one request of a caller that waits for an answer.
type CallID int64

// Action is something that the shell does for a Desk: Place, Withdraw or Reply.
type Action interface{ action() }

// SendOrder passes an order to the leader of a shard.
type SendOrder struct {
	Target Target
	Order  shard.Order
}

// CancelOrder has the leader of a shard end an order.
type CancelOrder struct {
	Target Target
	Task   string
}

// Reply answers a caller.
type Reply struct {
	Call   CallID
	ID     string
	Answer Answer
}

// RecordAdmission tells with which numbers a submission was admitted or refused.
type RecordAdmission struct {
	ID string
	// ExpectedRunTime is the expected run time; DueIn and UsefulFor are how long the answer is in time and of use, from now on.
	ExpectedRunTime, DueIn, UsefulFor time.Duration
	// HasRoom says that a server was believed to have room; Waits are the expected waits in the ranks that were tried.
	HasRoom    bool
	ExpectedWaits   []time.Duration
	Refused bool
}

func (SendOrder) action()    {}
func (CancelOrder) action() {}
func (Reply) action()    {}
func (RecordAdmission) action()    {}

// Config has the times that a Desk works with.
type Config struct {
	Self shard.InstanceID
	// FailureDomain is the instance's failure domain.
	FailureDomain string
	// OrphanExpiry is how long after the loss of a leader everything that it ran for this instance is surely over:
	// it misses this instance, its stops stay without an answer, and the leases lapse.
	OrphanExpiry time.Duration
	// RetryAfter is what callers are told to wait: a shard is without a leader for about half a second, and another
	// instance takes the jobs of one that stops.
	RetryAfter time.Duration
	// LeaderlessTimeout is how long all shards may be without a leader before submissions are refused at once.
	LeaderlessTimeout time.Duration
	// Link is the instance's.
	Link Link
}

// Link tells whether an order with a payload may be sent to another instance now.
type Link interface {
	Fits(payload string) bool
	// Sends notes an order that is about to be sent.
	Sends(payload string)
	// Delay is how long so many bytes would wait.
	Delay(bytes int64) time.Duration
}

// Coordinator decides for the submissions of one entry instance. It is not safe for concurrent use.
type Coordinator struct {
	cfg    Config
	jobs   map[string]*job
	calls  map[CallID]*job
	tasks  map[string]*task
	shards map[shard.Name]*view
	// ordered has the shards by name.
	ordered []*view
	// closing is set once the instance is about to end.
	closing bool
	// closed are the failure domains that take no new work.
	closed map[string]bool
	// usual is, by route, the share of calls that wait for the route's timeout or longer.
	usual map[string]float64
	// servingAt is when a shard was last known to have a leader and a server that answers, or the desk was made.
	servingAt time.Time
	// now is the time of the newest event that came with one, a tick's interval ago at most.
	now time.Time
	// heldBytes are those of tasks that wait for the link.
	heldBytes int64
	acts      []Action
}

// job is a submission that is not answered yet.
type job struct {
	sub      Submission
	calls    []CallID
	arrived  time.Time
	deadline time.Time
	// aim is when the answer is due, useful until when it is of use.
	aim, useful time.Time
	// doomed is set once the job is called back, as it can't be done any more.
	doomed bool
	tasks  [][]*task
	// left is how many tasks of each step are not done.
	left []int
	// begun is set once a task may have started.
	begun bool
}

// task is one task of a job.
type task struct {
	name string
	job  *job
	step int
	// shard and leader are where the order lies; leader is empty while it lies nowhere.
	shard  shard.Name
	leader shard.InstanceID
	token  int64
	// begun is set while the task is known to run.
	begun bool
	// limbo is set while a leader that is not heard any more may run the task; it ends by time or when the
	// shard has a new leader.
	limbo    time.Time
	done     bool
	failures int
	bounces  int
	avoid    []shard.ServerID
	// server is where the task was last heard to run.
	server shard.ServerID
	// queued is set while the task is believed to wait with its leader; recalled once it was called back from there.
	queued, recalled bool
	// followed is set while the order is one that lay with an earlier leader.
	followed bool
}

// NewCoordinator returns a desk without submissions.
func NewCoordinator(cfg Config, now time.Time) *Coordinator {
	return &Coordinator{
		cfg: cfg, servingAt: now, jobs: map[string]*job{}, calls: map[CallID]*job{}, tasks: map[string]*task{},
		shards: map[shard.Name]*view{}, usual: map[string]float64{},
	}
}

// OpenCount returns how many submissions wait for their answer.
func (dsk *Coordinator) OpenCount() int { return len(dsk.jobs) }

func (dsk *Coordinator) take() []Action {
	acts := dsk.acts
	dsk.acts = nil
	return acts
}

func (dsk *Coordinator) do(act Action) { dsk.acts = append(dsk.acts, act) }

// HandleSubmit takes in a submission or refuses it at once.
func (dsk *Coordinator) HandleSubmit(now time.Time, cal CallID, sub Submission) []Action {
	dsk.now = now
	if old := dsk.jobs[sub.ID]; old != nil {
		// The caller lost its connection and sent the job again; both calls get the one answer.
		old.calls = append(old.calls, cal)
		old.deadline = now.Add(sub.CallerTimeout)
		dsk.calls[cal] = old
		return dsk.take()
	}
	jb := newJob(now, cal, sub)
	if ans, refused := dsk.refusal(now, jb); refused {
		dsk.do(Reply{Call: cal, ID: sub.ID, Answer: ans})
		return dsk.take()
	}
	dsk.appraise(now, jb)
	if ans, refused := dsk.admit(now, jb); refused {
		dsk.do(Reply{Call: cal, ID: sub.ID, Answer: ans})
		return dsk.take()
	}
	dsk.jobs[sub.ID] = jb
	dsk.calls[cal] = jb
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			dsk.tasks[tsk.name] = tsk
		}
	}
	dsk.advance(jb)
	return dsk.take()
}

func newJob(now time.Time, cal CallID, sub Submission) *job {
	jb := &job{sub: sub, calls: []CallID{cal}, arrived: now, deadline: now.Add(sub.CallerTimeout)}
	for num, stp := range sub.Steps {
		tks := make([]*task, stp.Count)
		for idx := range tks {
			// The first 0 counts the occurrence of a repeated job; these jobs have one.
			tks[idx] = &task{name: fmt.Sprintf("%s.0.%d.%d", sub.ID, num, idx), job: jb, step: num}
		}
		jb.tasks = append(jb.tasks, tks)
		jb.left = append(jb.left, stp.Count)
	}
	return jb
}

// advance places what is ready to run.
func (dsk *Coordinator) advance(jb *job) {
	if jb.doomed && !jb.begun {
		return
	}
	for num, tks := range jb.tasks {
		if !jb.ready(num) {
			continue
		}
		for _, tsk := range tks {
			if !tsk.done && tsk.leader == "" && tsk.limbo.IsZero() {
				dsk.place(tsk)
			}
		}
	}
}

// ready reports whether all steps that a step follows are done.
func (jb *job) ready(step int) bool {
	for _, num := range jb.sub.Steps[step].DependsOn {
		if jb.left[num] > 0 {
			return false
		}
	}
	return true
}

func (dsk *Coordinator) place(tsk *task) {
	stp := &tsk.job.sub.Steps[tsk.step]
	viw, fits := dsk.choose(tsk, stp)
	if viw == nil {
		return // No shard has a leader; the next one that appears gets the task.
	}
	if viw.leader != dsk.cfg.Self && !dsk.cfg.Link.Fits(tsk.job.sub.Payload) {
		// What is not sent has not run, and does not keep heartbeats waiting.
		dsk.heldBytes += shard.StartBytes(tsk.job.sub.Payload)
		return
	}
	tsk.shard, tsk.leader, tsk.token = viw.name, viw.leader, viw.token
	bounce := fits && tsk.bounces < maxBounces
	tsk.begun, tsk.recalled, tsk.followed, tsk.queued, tsk.server = false, false, false, !bounce, ""
	dsk.send(tsk, shard.Order{Bounce: bounce})
	if viw.leader != dsk.cfg.Self && viw.payload != tsk.job.sub.ID {
		dsk.cfg.Link.Sends(tsk.job.sub.Payload)
		viw.payload = tsk.job.sub.ID
	}
	viw.placed(stp, shard.StartBytes(tsk.job.sub.Payload), fits)
}

// maxBounces is how often a task tries for a free place elsewhere before it waits in a queue: each try
// costs a message and its answer.
const maxBounces = 2

// target returns where a task's order lies.
func (tsk *task) target() Target {
	return Target{Shard: tsk.shard, Leader: tsk.leader, Token: tsk.token}
}

// send sends a task's order to its leader, in the manner that how says: Bounce, Recall or Followed.
func (dsk *Coordinator) send(tsk *task, how shard.Order) {
	jb := tsk.job
	stp := &jb.sub.Steps[tsk.step]
	if how.Recall {
		dsk.do(SendOrder{Target: tsk.target(), Order: shard.Order{Task: tsk.name, Owner: dsk.cfg.Self, Recall: true}})
		return
	}
	payload := jb.sub.Payload
	if how.Followed {
		payload = ""
	}
	dsk.do(SendOrder{Target: tsk.target(), Order: shard.Order{
		Task: tsk.name, Owner: dsk.cfg.Self, Service: jb.sub.Service, Payload: payload,
		Processor: stp.Processor, Memory: stp.Memory, Priority: jb.sub.Priority,
		Arrived: jb.arrived, Aim: jb.aim, Useful: jb.useful,
		Expected: stp.Expected, Label: stp.Label, Rack: stp.Rack,
		PerServer: stp.PerServer, Step: fmt.Sprintf("%s.%d", jb.sub.ID, tsk.step),
		Avoid: slices.Clone(tsk.avoid), JobBegun: jb.begun, Bounce: how.Bounce, Followed: how.Followed, At: how.At, RunsFor: how.RunsFor,
	}})
}

// HandleReport takes in what a leader says of an order.
func (dsk *Coordinator) HandleReport(now time.Time, from shard.InstanceID, rep shard.Report) []Action {
	dsk.now = now
	tsk := dsk.tasks[rep.Task]
	if tsk == nil || tsk.done {
		return dsk.take()
	}
	if rep.Outcome == shard.Done {
		dsk.taskDone(tsk, from)
		return dsk.take()
	}
	if tsk.leader != from || tsk.token != rep.Token {
		return dsk.take() // The order has gone to another leader since.
	}
	switch rep.Outcome {
	case shard.Begun:
		tsk.begun, tsk.job.begun, tsk.server = true, true, rep.Server
		if tsk.job.doomed {
			dsk.endDoomed(tsk.job)
		}
	case shard.Failed:
		dsk.taskFailed(tsk, rep)
	case shard.NotRun:
		tsk.leader = ""
		tsk.job.begun = tsk.job.begun || rep.MayHaveRun
		if !tsk.followed {
			tsk.bounces++
			dsk.full(tsk.shard)
		}
		if rep.Hopeless && dsk.hopeless(tsk) {
			dsk.callBack(tsk.job)
			return dsk.take()
		}
		if tsk.job.doomed {
			dsk.endDoomed(tsk.job)
			return dsk.take()
		}
		dsk.place(tsk)
	case shard.Lost:
		if rep.Server != "" {
			tsk.server = rep.Server
		}
		dsk.toLimbo(now, tsk)
	case shard.Done:
		// Dealt with above.
	}
	return dsk.take()
}

func (dsk *Coordinator) taskDone(tsk *task, from shard.InstanceID) {
	jb := tsk.job
	if tsk.leader != "" && tsk.leader != from {
		dsk.do(CancelOrder{Target: tsk.target(), Task: tsk.name})
	}
	tsk.done, tsk.leader, tsk.limbo = true, "", time.Time{}
	jb.begun = true
	jb.left[tsk.step]--
	if jb.left[tsk.step] > 0 {
		return
	}
	for _, num := range jb.left {
		if num > 0 {
			dsk.advance(jb)
			return
		}
	}
	dsk.answer(jb, Answer{Result: Succeeded})
}

func (dsk *Coordinator) taskFailed(tsk *task, rep shard.Report) {
	jb := tsk.job
	jb.begun = true
	tsk.leader, tsk.begun = "", false
	tsk.failures++
	if tsk.failures >= jb.sub.MaxAttempts {
		dsk.answer(jb, Answer{Result: Failed, Reason: "task " + tsk.name + " failed as often as it may"})
		return
	}
	tsk.avoid = append(tsk.avoid, rep.Server)
	dsk.place(tsk)
}

// toLimbo notes that a task may still run, at a leader that is not heard or holds its server no more.
func (dsk *Coordinator) toLimbo(now time.Time, tsk *task) {
	tsk.job.begun = true
	tsk.leader, tsk.begun = "", false
	tsk.limbo = now.Add(dsk.cfg.OrphanExpiry)
}
