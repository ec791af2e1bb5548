package entry

import (
	"context"
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
	"chestnutstack/internal/version/platform"
)

const (
	claimStreams = 1
	// claimWindow is short: appends share records by waiting for their turn anyway, and a claim took
	// 6 ms at the median with 1 ms, 10 ms with 5 ms (docs/measurements/version.md).
	claimWindow  = time.Millisecond
	claimTimeout = 2 * time.Second
	// claimRest is how long an instance without claims leaves those of others unread.
	claimRest = 4 * time.Second
	// claimWait bounds how long a read on a connection gone silent goes unnoticed.
	claimWait = 5 * time.Second
)

// newClaimer returns what lets at most one instance run a submission that is not repeatable.
func newClaimer(ins *Instance, log platform.Log, bud *platform.Budget) *platform.Claimer {
	return platform.NewClaimer(platform.ClaimerConfig{
		Log:     log,
		Streams: platform.ClaimStreams(claimStreams),
		Author:  ins.name,
		Rules:   claim.DefaultRules(),
		Budget:  bud,
		Window:  claimWindow,
		Timeout: claimTimeout,
		Wait:    claimWait,
		Rest:    claimRest,
		Seed:    ins.cfg.Seed,
	})
}

// claim gets the right to start the job, if it must run at most once, and notes it in the record.
func (ins *Instance) claim(ctx context.Context, rec *record, jb *job.Job, resubmission bool) *verdict.Error {
	spc := jb.Spec()
	if spc.Repeatable || jb.Complete() {
		// A job that was taken over with all its answers starts nothing.
		return nil
	}
	grt, claimErr := ins.claims.Claim(ctx, platform.ClaimRequest{
		Claim: claim.Claim{
			Key:      claim.Key{Partner: spc.Class.Owner, Submission: spc.Submission},
			Holder:   jb.ID().String(),
			NotAfter: spc.NotAfter,
		},
		Resubmission: resubmission,
	})
	if claimErr != nil {
		return asVerdict(claimErr)
	}
	rec.setClaim(&grt, func() { ins.claims.Release(grt) })
	return nil
}
