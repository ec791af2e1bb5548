package entry

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// The reasons that an entry instance gives besides those of dispatch.
const (
	reasonLeaving      = "entry-leaving"
	reasonReused       = "submission-id-reused"
	reasonNotReady     = "not-ready"
	reasonUnknownJob   = caller.ReasonNotFound
	reasonEndedWhole   = "job-already-done"
	reasonStillRunning = "job-still-running"
	reasonClaimLapsed  = "claim-lapsed"
	reasonMayHaveRun   = "not-repeatable-may-have-run"
)

// errUnknownJob is what is said of a job that is not known, or that is the other partner's: the two
// must look alike. A job that was forgotten may have run.
var errUnknownJob = verdict.New(verdict.MayHaveRun, reasonUnknownJob)

const leavingRetry = 100 * time.Millisecond

// Submit implements caller.Jobs.
func (ins *Instance) Submit(ctx context.Context, spc job.Spec, resubmission bool) (caller.Ticket, error) {
	if err := ins.accepting(); err != nil {
		return nil, err
	}
	if err := ins.checkCaller(ctx, resubmission); err != nil {
		return nil, err
	}
	dig := digest(&spc)
	rec, first := ins.table.reserve(spc, dig, resubmission, ins.progress)
	if first {
		return ins.take(ctx, rec, spc, resubmission)
	}
	if rec.digest != dig {
		return nil, verdict.New(verdict.NotRun, reasonReused)
	}
	select {
	case <-rec.decided:
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, "caller-gave-up").WithCause(ctx.Err())
	}
	if id, ok := rec.movedTo(); ok {
		return ins.findAtPeer(ctx, id)
	}
	if rec.refusal != nil {
		return nil, rec.refusal
	}
	return rec, nil
}

// take decides on a submission that this call reserved.
func (ins *Instance) take(ctx context.Context, rec *record, spc job.Spec, resubmission bool) (caller.Ticket, error) {
	spc.FirstAttempt = rec.firstAttempt
	jb := job.New(job.NewPartnerID(ins.name, spc.Class.Owner, newULID(spc.Admitted)), spc)
	// The decision outlives its caller: others may have joined the submission by then.
	ctx = context.WithoutCancel(ctx)
	if resubmission {
		tic, taken, err := ins.search(ctx, rec, jb)
		if taken == nil {
			ins.settleElsewhere(rec, jb, tic, err)
			return tic, err
		}
		jb = taken
	}
	if err := ins.admit(ctx, rec, jb, resubmission); err != nil {
		ins.table.refuse(rec, jb, err)
		return nil, err
	}
	close(rec.decided)
	return rec, nil
}

// search looks for an earlier arrival until no peer went first meanwhile.
func (ins *Instance) search(ctx context.Context, rec *record, jb *job.Job) (caller.Ticket, *job.Job, error) {
	for {
		rec.startSearch()
		tic, taken, err := ins.findEarlier(ctx, jb)
		if rec.endSearch() || taken == nil {
			return tic, taken, err
		}
	}
}

// admit claims what must run at most once and hands the job to dispatch.
func (ins *Instance) admit(ctx context.Context, rec *record, jb *job.Job, resubmission bool) *verdict.Error {
	if err := ins.claim(ctx, rec, jb, resubmission); err != nil {
		return err
	}
	ins.table.index(rec, jb)
	var refusal *verdict.Error
	ins.decide(func(now time.Time) { refusal = ins.dsp.Submit(now, jb) })
	if refusal != nil {
		rec.releaseClaim()
	}
	return refusal
}

// settleElsewhere ends a resubmission that does not go on here; others who joined it are told the
// same.
func (ins *Instance) settleElsewhere(rec *record, jb *job.Job, tic caller.Ticket, err error) {
	if err != nil {
		ins.table.refuse(rec, jb, asVerdict(err))
		return
	}
	refusal := verdict.New(verdict.MayHaveRun, "known-to-a-peer").WithRetryAfter(leavingRetry)
	id, parseErr := job.ParseID(tic.Progress().GetJobId())
	if parseErr != nil {
		ins.table.refuse(rec, jb, refusal)
		return
	}
	ins.table.moved(rec, jb, refusal, id)
}

// Find implements caller.Jobs.
func (ins *Instance) Find(ctx context.Context, who job.Partner, id job.ID) (caller.Ticket, error) {
	ins.metrics.Count(metrics.Query, 2)
	if id.Partner() != who {
		return nil, errUnknownJob
	}
	if id.Instance() != ins.name {
		return ins.findAtPeer(ctx, id)
	}
	rec := ins.table.byJob(id)
	if rec == nil {
		return nil, errUnknownJob
	}
	return rec, nil
}

// Cancel implements caller.Jobs.
func (ins *Instance) Cancel(ctx context.Context, who job.Partner, id job.ID) (*callerpb.Progress, error) {
	ins.metrics.Count(metrics.Cancel, 2)
	if id.Partner() != who {
		return nil, errUnknownJob
	}
	if id.Instance() != ins.name {
		return ins.cancelAtPeer(ctx, id)
	}
	return ins.cancelOwn(id)
}

func (ins *Instance) cancelOwn(id job.ID) (*callerpb.Progress, error) {
	rec := ins.table.byJob(id)
	if rec == nil {
		return nil, errUnknownJob
	}
	if jb := rec.running(); jb != nil {
		ins.decide(func(now time.Time) { ins.dsp.Cancel(now, jb) })
	}
	return rec.Progress(), nil
}

// Again implements caller.Jobs. Whatever is said of the old job, nothing of the new submission has run
// when it can't be had.
func (ins *Instance) Again(ctx context.Context, who job.Partner, id job.ID) (job.Spec, error) {
	spc, err := ins.again(ctx, who, id)
	if err != nil {
		return job.Spec{}, verdict.New(verdict.NotRun, asVerdict(err).Reason()).WithCause(err)
	}
	return spc, nil
}

func (ins *Instance) again(ctx context.Context, who job.Partner, id job.ID) (job.Spec, error) {
	if id.Partner() != who {
		return job.Spec{}, errUnknownJob
	}
	if id.Instance() == ins.name {
		return ins.againOwn(id)
	}
	tgt, err := ins.holder(ctx, id)
	if err != nil {
		return job.Spec{}, err
	}
	ins.metrics.Count(metrics.Forward, 2)
	req, err := ins.peers.JobAgain(ctx, tgt, id)
	if err != nil {
		return job.Spec{}, err
	}
	cls, ok := ins.catalogue.Class(req.GetCatalogueEntry())
	if !ok {
		return job.Spec{}, verdict.New(verdict.NotRun, caller.ReasonUnknownEntry)
	}
	return caller.ToSpec(ins.now(), req, cls), nil
}

// againOwn returns what a job of this instance had asked for. Work that must run at most once may only
// be asked for again if the first attempt is proved not to have run.
func (ins *Instance) againOwn(id job.ID) (job.Spec, error) {
	rec := ins.table.byJob(id)
	if rec == nil {
		return job.Spec{}, errUnknownJob
	}
	ans := rec.Progress().GetAnswer()
	if ans == nil {
		return job.Spec{}, verdict.New(verdict.NotRun, reasonStillRunning)
	}
	vdt := caller.ToVerdict(ans.GetVerdict())
	if vdt == verdict.Done {
		return job.Spec{}, verdict.New(verdict.NotRun, reasonEndedWhole)
	}
	spc := rec.asked()
	if len(spc.Tasks) == 0 {
		return job.Spec{}, verdict.New(verdict.MayHaveRun, reasonForgotten)
	}
	if !spc.Repeatable && vdt != verdict.NotRun {
		return job.Spec{}, verdict.New(verdict.NotRun, reasonMayHaveRun)
	}
	return spc, nil
}

// ended stores a job's final answer; it runs under the decision lock, after which nobody changes
// the job any more.
func (ins *Instance) ended(now time.Time, jb *job.Job) {
	fin := caller.Progress(jb)
	ins.observe(now, jb)
	rec := ins.table.byJob(jb.ID())
	if rec == nil {
		return
	}
	rec.finish(fin)
	ins.table.retire(now, rec, jb.ID())
}

// progress maps a running job under the decision lock.
func (ins *Instance) progress(jb *job.Job) *callerpb.Progress {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	return caller.Progress(jb)
}

// digest tells two requests apart that carry the same submission id.
func digest(spc *job.Spec) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	var num [8]byte
	put := func(data []byte) {
		binary.LittleEndian.PutUint64(num[:], uint64(len(data)))
		_, _ = dig.Write(num[:])
		_, _ = dig.Write(data)
	}
	put([]byte(spc.Class.Name))
	put([]byte(spc.Team))
	for idx := range spc.Tasks {
		put(spc.Tasks[idx].Payload)
	}
	return dig.Sum64()
}

func newULID(now time.Time) string {
	var ent [10]byte
	binary.LittleEndian.PutUint64(ent[:8], rand.Uint64())
	binary.LittleEndian.PutUint16(ent[8:], uint16(rand.Uint32()))
	var uid ulid.ULID
	_ = uid.SetTime(ulid.Timestamp(now))
	_ = uid.SetEntropy(ent[:])
	return uid.String()
}
