package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
)

// Reasons of the errors of a Claimer, besides those of package claim.
const (
	ReasonClaimLogDown   = "claim-log-down"
	ReasonClaimSlow      = "claim-log-slow"
	ReasonClaimWindow    = "claim-window-not-read"
	ReasonClaimClock     = "claim-clock-suspect"
	ReasonClaimQueueFull = "claim-queue-full"
	ReasonClaimGaveUp    = "claim-gave-up"
	ReasonClaimsFull     = "claims-full"
)

const (
	claimQueue   = 4096
	claimPage    = 256
	claimBackoff = 100 * time.Millisecond
	// windowRetry is when to come back to an instance that still reads the claims of others.
	windowRetry = time.Second
)

// ClaimedError says which job has a submission.
type ClaimedError struct {
	Winner string
}

// Error implements error.
func (err *ClaimedError) Error() string { return "claimed by " + err.Winner }

// ClaimerConfig is what a Claimer works with.
type ClaimerConfig struct {
	Log Log
	// Streams are the same, in the same order, for all entry instances.
	Streams []string
	// Author is this instance with its incarnation; no two may share it.
	Author string
	Rules  claim.Rules
	Budget *Budget
	// Window is how long the first claim waits for others to share its record.
	Window time.Duration
	// Timeout bounds a claim from the request to its outcome.
	Timeout time.Duration
	// Wait is how long one read of the log waits for new records.
	Wait time.Duration
	// Rest is how long an instance without claims under way leaves the log alone after it has read a
	// record; it reads up to its own claims in any case.
	Rest time.Duration
	// Seed makes the pauses between attempts differ between instances.
	Seed uint64
}

// ClaimRequest is a claim and what the caller said of it.
type ClaimRequest struct {
	claim.Claim
	// Resubmission means that an earlier arrival may have run, so that a refusal is no "not run".
	Resubmission bool
}

// Claimer gets claims for submissions that must run at most once, through the platform's log.
//
// It holds nothing back: while the log is down or slow it refuses at once and says when to come
// back. A claim that was given up may still turn up in the log; it is released then, and this
// instance never starts its submission.
type Claimer struct {
	cfg     ClaimerConfig
	streams []*claimStream
}

// NewClaimer returns a claimer that works while Run does.
func NewClaimer(cfg ClaimerConfig) *Claimer {
	clm := &Claimer{cfg: cfg}
	gte := newClaimGate(cfg.Seed)
	for _, nam := range cfg.Streams {
		clm.streams = append(clm.streams, newClaimStream(cfg, nam, gte))
	}
	return clm
}

// ClaimStreams returns the names of a number of streams of claims.
func ClaimStreams(count int) []string {
	nas := make([]string, count)
	for idx := range nas {
		nas[idx] = fmt.Sprintf("claims-%d", idx)
	}
	return nas
}

// Run reads and appends claims until the context ends.
func (clm *Claimer) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	for _, str := range clm.streams {
		grp.Go(func() error { return str.follow(ctx) })
		grp.Go(func() error { return str.write(ctx) })
	}
	return grp.Wait()
}

// Ready reports whether this instance may claim now, and if not, why.
func (clm *Claimer) Ready() (bool, string) {
	for _, str := range clm.streams {
		if err := str.check(time.Now()); err != nil {
			return false, err.Reason()
		}
	}
	return true, ""
}

// Claim asks for the right to start a submission. The holder must be a new one for each call. An
// error with the verdict not-run means that nothing of this submission was or will be started; if
// another job has the submission, the verdict is may-have-run and the cause a ClaimedError.
func (clm *Claimer) Claim(ctx context.Context, req ClaimRequest) (claim.Grant, error) {
	grt, err := clm.claim(ctx, req.Claim)
	if err == nil {
		return grt, nil
	}
	if req.Resubmission && err.Verdict() == verdict.NotRun {
		// Not run by this arrival, but by an earlier one perhaps: the caller must not learn more
		// than is known.
		return grt, verdict.New(verdict.MayHaveRun, err.Reason()).WithRetryAfter(err.RetryAfter()).WithCause(err)
	}
	return grt, err
}

func (clm *Claimer) claim(ctx context.Context, req claim.Claim) (claim.Grant, *verdict.Error) {
	now := time.Now()
	str := clm.stream(req.Key)
	cal, err := str.enqueue(now, req)
	if err != nil {
		return claim.Grant{}, err
	}
	res, err := str.await(ctx, cal)
	if err != nil {
		return claim.Grant{}, err
	}
	if err := claimError(res.outcome); err != nil {
		return claim.Grant{}, err
	}
	grt := claim.Grant{Claim: req, Offset: res.offset, At: now}
	if !grt.Valid(time.Now(), clm.cfg.Rules) {
		str.release(claim.Release{Key: req.Key, Holder: req.Holder})
		return claim.Grant{}, verdict.New(verdict.NotRun, string(claim.ReasonTooLate))
	}
	return grt, nil
}

// Release gives a grant back whose submission was not started and never will be, so that the caller
// can submit it again. It is best effort: lost, the submission stays claimed until it is forgotten.
func (clm *Claimer) Release(grt claim.Grant) {
	clm.stream(grt.Claim.Key).release(claim.Release{Key: grt.Claim.Key, Holder: grt.Claim.Holder})
}

func (clm *Claimer) stream(key claim.Key) *claimStream {
	return clm.streams[claim.StreamOf(key, len(clm.streams))]
}

func claimError(out claim.Outcome) *verdict.Error {
	switch out.Reason {
	case claim.ReasonNone:
		return nil
	case claim.ReasonClaimed:
		return claimedError(out.Winner)
	default:
		return verdict.New(verdict.NotRun, string(out.Reason))
	}
}

func claimedError(winner string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, string(claim.ReasonClaimed)).WithCause(&ClaimedError{Winner: winner})
}
