package submission

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/speed"
)

// CallID identifies one request of a caller that waits for an answer.
type CallID int64

// Action is a decision of a Coordinator that its caller carries out: SendOrder, CancelOrder, Reply, RecordAdmission, CorrectionChange or
// FeatureChange.
type Action interface{ action() }

// SendOrder sends an order, or the recall of one, to the leader of a shard.
type SendOrder struct {
	Target Target
	Order  shard.Order
	Cause  OrderCause
}

// CancelOrder asks the leader of a shard to end the order of a task. One that has Followed is sent to a newer leader.
type CancelOrder struct {
	Target   Target
	Task     string
	Followed bool
}

// Reply answers one call of a submission.
type Reply struct {
	Call   CallID
	ID     string
	Answer Answer
}

// RecordAdmission has the numbers by which a submission was admitted or refused, for logs and metrics.
type RecordAdmission struct {
	ID string
	// Correction is the factor by which the caller's estimates were corrected, 1 if they were not.
	Correction float64
	// ExpectedRunTime is the estimated run time of the job. DueIn is the time left until its answer is due, UsefulFor until it is
	// useless.
	ExpectedRunTime, DueIn, UsefulFor time.Duration
	// HasFreeCapacity is set if a server was believed to have free capacity, or if no server answers. ExpectedWaits has the expected
	// wait in each rank that was tried.
	HasFreeCapacity bool
	ExpectedWaits   []time.Duration
	Refused         bool
}

func (SendOrder) action()       {}
func (CancelOrder) action()     {}
func (Reply) action()           {}
func (RecordAdmission) action() {}

// Config has the identity and the delays of a Coordinator.
type Config struct {
	// Self is the owner instance.
	Self shard.InstanceID
	// FailureDomain is the owner instance's failure domain.
	FailureDomain string
	// OrphanExpiry is the time after the loss of a leader at which everything that it ran for this instance is surely over: it misses
	// this instance's heartbeats, its calls to stop the runs stay unanswered, and the leases expire.
	OrphanExpiry time.Duration
	// RetryAfter is the least delay before a retry that refused callers are told: a shard is without leader for about half a second, and
	// another instance accepts the jobs of one that stops.
	RetryAfter time.Duration
	// LeaderlessTimeout is how long all shards may lack a leader or a server that answers before submissions are refused at once.
	LeaderlessTimeout time.Duration
	// Link is the instance's link to other instances.
	Link Link
	// Features are the optional decisions that may act.
	Features shard.Features
}

// Link decides whether an order with a payload may be sent to another instance now.
type Link interface {
	// Fits reports whether an order with that payload may be sent now.
	Fits(payload string) bool
	// Sends records an order that is about to be sent.
	Sends(payload string)
	// Delay returns how long that many bytes would wait for the link.
	Delay(bytes int64) time.Duration
}

// Coordinator decides for the submissions of one owner instance. Its methods are called with the events and return the actions to carry
// out. It is not safe for concurrent use.
type Coordinator struct {
	cfg    Config
	jobs   map[string]*job
	calls  map[CallID]*job
	tasks  map[string]*task
	shards map[shard.Name]*shardView
	// shardsByName has the shards sorted by name.
	shardsByName []*shardView
	// kindsComplete is set if the shards' kinds are those of all servers that may live.
	kindsComplete bool
	// stopping is set by Shutdown.
	stopping bool
	// closedDomains has the failure domains that are closed to new work.
	closedDomains map[string]bool
	// fullTimeoutShare is, by route, the average share of calls whose caller waits for the route's timeout or longer.
	fullTimeoutShare map[string]float64
	// servingAt is when a shard was last known to have a leader and a server that answers; until then, when the Coordinator was created.
	servingAt time.Time
	// noOrdersUntil is when orders are sent again after a pause of this process.
	noOrdersUntil time.Time
	// now is the time of the last HandleSubmit, HandleReport, HandleTick or HandleClosedDomains, at most one tick interval ago.
	now time.Time
	// heldBytes is the sum of the bytes (shard.StartBytes) of the orders held back by the link since the last resume; a task held back
	// several times counts each time, also if its job was answered since.
	heldBytes int64
	sharing   sharing
	acts      []Action
	// routes has what was learned of the estimates of each route.
	routes map[string]*speed.Route
}

// job is a submission that is not answered yet.
type job struct {
	sub   Submission
	calls []CallID
	// firstCall is the number of the submission in its orders.
	firstCall CallID
	arrived   time.Time
	// deadline is when the caller of the newest call gives up.
	deadline time.Time
	// due is when the answer is due, usefulUntil until when it is useful.
	due, usefulUntil time.Time
	// refusing is set once the job is recalled because it can't be done in time any more.
	refusing bool
	// correction is the logarithm of the factor by which the caller's estimates were corrected.
	correction float64
	tasks      [][]*task
	// remaining is the number of tasks of each step that are not done.
	remaining []int
	// started is set once a task may have started.
	started bool
}

// task is one task of a job.
type task struct {
	name string
	job  *job
	step int
	// shard, leader and token identify the leadership that has the order; leader is empty while none has it.
	shard  shard.Name
	leader shard.InstanceID
	token  int64
	// started is set while the task is known to run.
	started bool
	// orphanedUntil is set while a leader that was lost, or has lost the task's server, may run the task, which is then not ordered
	// until that time or until its shard has a new leader.
	orphanedUntil time.Time
	done          bool
	failures      int
	// returns is the number of NotRun reports on its orders since a recall for free capacity elsewhere last reset it; those on reassigned
	// orders are not counted.
	returns int
	// moves is the number of such reports since the task last started. The task is not recalled before movableAt.
	moves     int
	movableAt time.Time
	// heldUntil is set while the task is not ordered, as leaders returned it again and again or this process was paused.
	heldUntil time.Time
	// avoid has the servers where the task failed.
	avoid []shard.ServerID
	// server is where the task was last reported to run.
	server shard.ServerID
	// queued is set if the order, not a reassigned one, was sent without ReturnIfBusy, so that the task waits in its leader's queue until
	// it starts; recalled is set once the order was recalled.
	queued, recalled bool
	// claims is set while the order is one for free capacity of another instance's leader and has no known outcome.
	claims bool
	// reassigned is set while the order is one that was with an earlier leader.
	reassigned bool
	// leastShards is the least number of shards into which the failure domain was divided by a leader that has got the order since the task was
	// last known to run nowhere; 0 if that is not known.
	leastShards int
	// preempted is set once a run of the task was stopped for a more urgent one.
	preempted bool
	history   history
}

// NewCoordinator returns a Coordinator without submissions.
func NewCoordinator(cfg Config, now time.Time) *Coordinator {
	return &Coordinator{
		cfg: cfg, servingAt: now, jobs: map[string]*job{}, calls: map[CallID]*job{}, tasks: map[string]*task{},
		shards: map[shard.Name]*shardView{}, fullTimeoutShare: map[string]float64{}, routes: map[string]*speed.Route{}, now: now,
	}
}

// OpenCount returns the number of submissions that are not answered yet.
func (crd *Coordinator) OpenCount() int { return len(crd.jobs) }

// takeActions returns the actions emitted since the last call.
func (crd *Coordinator) takeActions() []Action {
	acts := crd.acts
	crd.acts = nil
	return acts
}

// emit adds an action to those that the current event returns.
func (crd *Coordinator) emit(act Action) { crd.acts = append(crd.acts, act) }

// orderReady orders the tasks of a job that are ready and neither done, with a leader nor orphaned. It orders none of a job that is to be
// refused and has not started.
func (crd *Coordinator) orderReady(jb *job) {
	if jb.refusing && !jb.started {
		return
	}
	for num, tks := range jb.tasks {
		if !jb.ready(num) {
			continue
		}
		for _, tsk := range tks {
			if !tsk.done && tsk.leader == "" && tsk.orphanedUntil.IsZero() {
				crd.orderTask(tsk)
			}
		}
	}
}

// ready reports whether all steps that a step depends on are done.
func (jb *job) ready(step int) bool {
	for _, num := range jb.sub.Steps[step].DependsOn {
		if jb.remaining[num] > 0 {
			return false
		}
	}
	return true
}

// target returns the leadership that has a task's order.
func (tsk *task) target() Target {
	return Target{Shard: tsk.shard, Leader: tsk.leader, Token: tsk.token}
}

// send sends an order for a task, or its recall, to the leader that has the task. Only the fields ReturnIfBusy, Recall, Reassigned,
// LastServer, MayRunFor and FormerShards of how are used.
func (crd *Coordinator) send(tsk *task, how shard.Order) {
	jb := tsk.job
	stp := &jb.sub.Steps[tsk.step]
	cau := tsk.history.cause(crd.now, tsk.target(), &how)
	if how.Recall {
		crd.emit(SendOrder{Target: tsk.target(), Cause: cau, Order: shard.Order{Task: tsk.name, Owner: crd.cfg.Self, Recall: true, SubmissionNumber: int64(jb.firstCall)}})
		return
	}
	payload := jb.sub.Payload
	if how.Reassigned {
		payload = ""
	}
	crd.emit(SendOrder{Target: tsk.target(), Cause: cau, Order: shard.Order{
		Task: tsk.name, Owner: crd.cfg.Self, Service: jb.sub.Service, Payload: payload,
		Processor: stp.Processor, Memory: stp.Memory, Priority: jb.sub.Priority,
		Arrived: jb.arrived, Due: jb.due, UsefulUntil: jb.usefulUntil,
		ExpectedRunTime: stp.ExpectedRunTime, Label: stp.Label, Rack: stp.Rack,
		MaxPerServer: stp.PerServer, Step: fmt.Sprintf("%s.%d", jb.sub.ID, tsk.step),
		Avoid: slices.Clone(tsk.avoid), JobStarted: jb.started, ReturnIfBusy: how.ReturnIfBusy, Reassigned: how.Reassigned, LastServer: how.LastServer, MayRunFor: how.MayRunFor,
		FormerShards: how.FormerShards, Preempted: tsk.preempted, SubmissionNumber: int64(jb.firstCall),
	}})
}

// HandleReport records a leader's report on an order.
func (crd *Coordinator) HandleReport(now time.Time, from shard.InstanceID, rep shard.Report) []Action {
	crd.now = now
	tsk := crd.tasks[rep.Task]
	if tsk == nil || tsk.done {
		return crd.takeActions()
	}
	current := tsk.isCurrent(from, &rep)
	if current {
		crd.noteOutcome(tsk, &rep)
	}
	if rep.Outcome == shard.Done {
		crd.learnEstimate(tsk, &rep)
		crd.taskDone(tsk, from)
		return crd.takeActions()
	}
	if !current {
		return crd.takeActions() // The order was sent to another leader since, or belongs to an earlier submission.
	}
	tsk.preempted = tsk.preempted || rep.Preempted
	tsk.history.noteReport(&rep, tsk.recalled)
	switch rep.Outcome {
	case shard.Started:
		if rep.WorkLost > 0 {
			crd.notePreempted(tsk)
			break
		}
		tsk.started, tsk.job.started, tsk.server, tsk.moves = true, true, rep.Server, 0
		if tsk.job.refusing {
			crd.completeRefusal(tsk.job)
		}
	case shard.Failed:
		crd.taskFailed(tsk, rep)
	case shard.NotRun:
		tsk.leader = ""
		tsk.job.started = tsk.job.started || rep.MayHaveRun
		if !tsk.reassigned && !rep.MayHaveRun {
			crd.noteReturn(tsk, rep.Reason)
		}
		if rep.TooLate && crd.shouldRefuse(tsk) {
			crd.recallJob(tsk.job)
			return crd.takeActions()
		}
		if tsk.job.refusing {
			crd.completeRefusal(tsk.job)
			return crd.takeActions()
		}
		crd.orderTask(tsk)
	case shard.Lost:
		if rep.Server != "" {
			tsk.server = rep.Server
		}
		crd.markOrphaned(now, tsk, ReportedLost, "")
	case shard.OrderReplaced:
		crd.endReplaced(tsk, rep.NewOwner)
	case shard.Done:
		// Handled above.
	}
	return crd.takeActions()
}

// taskDone records that a task is done, orders the tasks that became ready, and answers the job with its last task.
func (crd *Coordinator) taskDone(tsk *task, from shard.InstanceID) {
	jb := tsk.job
	if tsk.leader != "" && tsk.leader != from {
		crd.emit(CancelOrder{Target: tsk.target(), Task: tsk.name})
	}
	tsk.done, tsk.leader, tsk.orphanedUntil = true, "", time.Time{}
	jb.started = true
	jb.remaining[tsk.step]--
	if jb.remaining[tsk.step] > 0 {
		return
	}
	for _, num := range jb.remaining {
		if num > 0 {
			crd.orderReady(jb)
			return
		}
	}
	crd.answer(jb, Answer{Result: Succeeded})
}

// taskFailed records a failed run, and orders the task again, to avoid that server, or fails the job after MaxAttempts.
func (crd *Coordinator) taskFailed(tsk *task, rep shard.Report) {
	jb := tsk.job
	jb.started = true
	tsk.leader, tsk.started = "", false
	tsk.failures++
	if tsk.failures >= jb.sub.MaxAttempts {
		crd.answer(jb, Answer{Result: Failed, Reason: "task " + tsk.name + " failed in all its attempts"})
		return
	}
	tsk.avoid = append(tsk.avoid, rep.Server)
	crd.orderTask(tsk)
}
