package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	fenceTimeout  = 2 * time.Second
	fenceParallel = 32
	// fenceInterval is how often backend servers are asked about tasks that still run there.
	fenceInterval = 250 * time.Millisecond
	// firstFence is above every attempt that an ordinary job comes to.
	firstFence  = 1 << 16
	fenceSpread = 1 << 16

	reasonNotReached   = "peer-not-reached"
	reasonServerSilent = "backend-server-not-reached"
	reasonEntryLost    = "entry-instance-lost"
)

// findEarlier finds out what became of a submission that the caller says was sent before. It returns
// a ticket if another instance has it, an error with the honest verdict if it can't be settled, and
// else the job that is to go on here, with the answers that are there already.
//
// The failure: the entry instance that had the job died, and nobody else knows which of its tasks
// were started. Starting them again would run some twice. So peers are asked first, then every
// backend server is fenced: it says which tasks it knows and starts none of the earlier attempts from
// then on. What no backend server knows has not run and never will by those attempts.
func (ins *Instance) findEarlier(ctx context.Context, jb *job.Job) (caller.Ticket, *job.Job, error) {
	sub := jb.Spec().Submission
	for _, tgt := range ins.peerTargets() {
		ins.metrics.Count(metrics.Resubmission, 2)
		id, found, err := ins.peers.FindSubmission(ctx, tgt, sub)
		ins.peerEvidence(tgt.ID, err)
		if err != nil && !peer.Refused(err) {
			// The peer may have the job and be out of reach: starting it here could start it twice.
			return nil, nil, verdict.New(verdict.MayHaveRun, reasonNotReached).WithRetryAfter(time.Second).WithCause(err)
		}
		if found {
			tic, err := ins.findAtPeer(ctx, id)
			return tic, nil, err
		}
	}
	taken, err := ins.takeOver(ctx, jb)
	return nil, taken, err
}

// takeOver fences the earlier attempts at every backend server, waits for the tasks that still run,
// and returns the job with what is left to do.
func (ins *Instance) takeOver(ctx context.Context, jb *job.Job) (*job.Job, error) {
	below := firstFence + rand.Uint32N(fenceSpread)
	known := make([]*backendpb.Status, jb.TaskCount())
	servers := ins.view.allAddresses()
	for len(servers) > 0 {
		rpls, err := ins.fenceAll(ctx, servers, &backendpb.Fence{Submission: string(jb.Spec().Submission), BelowAttempt: below})
		if err != nil {
			return nil, verdict.New(verdict.MayHaveRun, reasonServerSilent).WithRetryAfter(time.Second).WithCause(err)
		}
		if higher := highest(rpls); higher >= below && !allGranted(rpls) {
			// Another instance is at the same: let it finish, and ask again with a higher number.
			sleep(ctx, fenceInterval+rand.N(fenceInterval))
			below = higher + 1 + rand.Uint32N(fenceSpread)
			servers = ins.view.allAddresses()
			if !ins.now().Before(jb.Spec().NotAfter) {
				return nil, verdict.New(verdict.MayHaveRun, dispatch.ReasonTakenOver)
			}
			continue
		}
		servers = ins.stillRunning(known, rpls)
		if len(servers) > 0 {
			sleep(ctx, fenceInterval)
		}
	}
	return goOn(jb, known, below)
}

func highest(rpls map[dispatch.ServerID]*backendpb.FenceReply) uint32 {
	var top uint32
	for _, rpl := range rpls {
		top = max(top, rpl.GetBelowAttempt())
	}
	return top
}

func allGranted(rpls map[dispatch.ServerID]*backendpb.FenceReply) bool {
	for _, rpl := range rpls {
		if !rpl.GetGranted() {
			return false
		}
	}
	return true
}

// stillRunning notes what the backend servers know of the tasks, and returns those where one runs.
func (ins *Instance) stillRunning(known []*backendpb.Status, rpls map[dispatch.ServerID]*backendpb.FenceReply) map[dispatch.ServerID]string {
	running := make(map[dispatch.ServerID]string)
	for srv, rpl := range rpls {
		for _, sta := range rpl.GetKnown() {
			idx := sta.GetId().GetIndex()
			if int(idx) >= len(known) {
				continue
			}
			switch sta.GetState() {
			case backendpb.TaskState_TASK_STATE_RUNNING:
				if adr, ok := ins.view.address(srv); ok {
					running[srv] = adr
				}
			case backendpb.TaskState_TASK_STATE_ENDED:
				known[idx] = sta
			default:
			}
		}
	}
	return running
}

// goOn returns the job with the answers that are known; its other tasks never started, and their next
// attempts are past the fence. A task that ran and failed fails the job.
func goOn(jb *job.Job, known []*backendpb.Status, below uint32) (*job.Job, error) {
	spc := *jb.Spec()
	spc.FirstAttempt = below
	next := job.New(jb.ID(), spc)
	for idx, sta := range known {
		if sta == nil {
			continue
		}
		if sta.GetResult().GetOutcome() != backendpb.Outcome_OUTCOME_OK {
			return nil, verdict.New(verdict.Failed, reasonEntryLost)
		}
		next.Task(uint32(idx)).MarkRecovered(sta.GetResult().GetPayload())
	}
	return next, nil
}

// fenceAll fences the submission at the backend servers; an error means that one did not reply, so
// that it may still start a task.
func (ins *Instance) fenceAll(ctx context.Context, servers map[dispatch.ServerID]string, fnc *backendpb.Fence) (map[dispatch.ServerID]*backendpb.FenceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	tpt := newTransport(ins.cfg)
	// The end of a session gets through to its connection only after the call has returned, so that
	// closing idle connections here misses most; without a limit they would stay open for good.
	tpt.IdleConnTimeout = fenceTimeout
	// net/http holds a closed connection with its buffers until the time of its next ping, a minute.
	tpt.HTTP2.SendPingTimeout = 0
	defer tpt.CloseIdleConnections()
	cli := &http.Client{Transport: tpt}
	type reply struct {
		server dispatch.ServerID
		reply  *backendpb.FenceReply
	}
	replies := make(chan reply, len(servers))
	grp, ctx := errgroup.WithContext(ctx)
	grp.SetLimit(fenceParallel)
	for id, adr := range servers {
		grp.Go(func() error {
			ins.metrics.Count(metrics.Fence, 2)
			rpl, err := fence(ctx, cli, http2.URL(adr, ins.cfg.BackendTLS), ins.name, fnc)
			if err == nil {
				replies <- reply{server: id, reply: rpl}
			}
			return err
		})
	}
	if err := grp.Wait(); err != nil {
		return nil, err
	}
	close(replies)
	out := make(map[dispatch.ServerID]*backendpb.FenceReply, len(servers))
	for rpl := range replies {
		out[rpl.server] = rpl.reply
	}
	return out, nil
}

// fence asks one backend server over a session of its own, under a holder's name of its own: results
// of running tasks must go on to the session of the instance.
func fence(ctx context.Context, cli *http.Client, url, name string, fnc *backendpb.Fence) (*backendpb.FenceReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ses := backendpb.NewBackendServiceClient(cli, url).Session(ctx)
	defer func() { _ = ses.CloseRequest() }()
	bat := &backendpb.Batch{Holder: fmt.Sprintf("%s/fence-%d", name, fnc.GetBelowAttempt()), Fences: []*backendpb.Fence{fnc}}
	if err := ses.Send(bat); err != nil {
		return nil, err
	}
	for {
		rep, err := ses.Receive()
		if err != nil {
			return nil, err
		}
		for _, rpl := range rep.GetFences() {
			if rpl.GetSubmission() == fnc.GetSubmission() {
				return rpl, nil
			}
		}
	}
}
