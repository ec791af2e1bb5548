package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	// Self is the ID of this entry instance.
	Self PeerID
	// FailureDomain is where this entry instance runs.
	FailureDomain string

	// Lease is how long a backend server runs a task without a renewal.
	Lease time.Duration
	// DefaultRunTime is the run time assumed for a catalogue entry that declares none.
	DefaultRunTime time.Duration
	// AnswerTimeout is the minimum time after a start before its missing answer is acted on.
	AnswerTimeout time.Duration
	// QueryTimeout is how long a query or a revoke may stay unanswered before a new connection is opened.
	QueryTimeout time.Duration
	// UnreachableTimeout is how long the tasks on an unreachable backend server are kept before they are taken for
	// lost and their jobs end.
	UnreachableTimeout time.Duration
	// ReconnectDelay is the delay before the second connection attempt; it doubles with each further one.
	ReconnectDelay time.Duration
	// MaxReconnectDelay is the upper bound of the delay between connection attempts.
	MaxReconnectDelay time.Duration
	// MaxSessions is the number of backend servers up to which sessions to all of them are kept open. Beyond it,
	// only the servers assigned to this instance are connected to, and others while slots on them are borrowed or
	// tasks run there.
	MaxSessions int

	// Ageing is how many seconds of remaining work one second of waiting offsets in the order of the queue.
	Ageing float64
	// LongTaskRunTime is the estimated run time from which a task counts as long.
	LongTaskRunTime time.Duration
	// LongShare is the share of the usable slots that long tasks may take.
	LongShare float64
	// PartnerShare is the share of the usable slots that one partner may take while another has submitted a job
	// within PartnerActiveTime.
	PartnerShare float64
	// PartnerActiveTime is how long a partner counts as active after it submitted a job.
	PartnerActiveTime time.Duration
	// MaxWait is the longest expected wait with which a job is still admitted.
	MaxWait time.Duration
	// AdmitWaitFactor multiplies the expected wait before it is compared with the time left to the job: shorter
	// jobs that arrive later overtake a long one.
	AdmitWaitFactor float64
	// DefaultQueueLimit is the limit of waiting tasks for a catalogue entry that sets none.
	DefaultQueueLimit int
	// LimitRetryDelay is the first delay before a job blocked by a limit is tried again; it doubles.
	LimitRetryDelay time.Duration
	// MaxLimitRetryDelay is the upper bound of the delay before a job blocked by a limit is tried again.
	MaxLimitRetryDelay time.Duration
	// WideReserveDelay is how long a task that needs several slots waits before a backend server is reserved for
	// it.
	WideReserveDelay time.Duration

	// RetriesPerAnswer is how many retries each answer adds to the partner's retry budget.
	RetriesPerAnswer float64
	// RetryBurst is the maximum of a partner's retry budget.
	RetryBurst float64
	// RetryDelay is the base of the delay of a retry beyond the budget; the delay doubles with each refusal of the
	// task.
	RetryDelay time.Duration
	// ReportValidity is how long the count of free slots in a backend server's report takes precedence over this
	// instance's own account.
	ReportValidity time.Duration

	// Loan holds the settings for lending and borrowing.
	Loan LoanConfig
	// Fault holds the settings for the ejection of faulty backend servers.
	Fault fault.Config
}

// LoanConfig holds the settings for lending and borrowing slots.
type LoanConfig struct {
	// PreferResponse and PreferMessages are the policies for catalogue entries that prefer a short response time
	// or few messages.
	PreferResponse LoanPolicy
	PreferMessages LoanPolicy
	// MaxDuration is the upper bound of the duration of a loan.
	MaxDuration time.Duration
	// ReserveShare is the number of idle slots kept for own arrivals, as a share of the slots in use.
	ReserveShare float64
	// KeepShare is the share of this instance's own slots, in use or not, that are never lent.
	KeepShare float64
	// Slack is how much longer the lender reckons a loan to last than the borrower does, since the grant and the
	// last start take time on their way.
	Slack time.Duration
	// OfferSlots is from how many idle slots on an offer is sent at once; fewer are offered OfferDelay after the
	// last offer to the peer.
	OfferSlots uint32
	OfferDelay time.Duration
	// Timeout is how long a request for a loan may stay unanswered.
	Timeout time.Duration
	// MaxParallelRequests is how many peers are asked for slots after one event.
	MaxParallelRequests int
	// ReturnSlots is from how many idle borrowed slots on they are given back at once; fewer are given back after
	// ReturnDelay.
	ReturnSlots uint32
	ReturnDelay time.Duration
	// MinReturnTime is the minimum time left of a loan at which returning it is worth a message.
	MinReturnTime time.Duration
}

// LoanPolicy is the trade-off of borrowing between response time and the number of messages.
type LoanPolicy struct {
	// WaitShare is the expected wait, as a share of the task's run time, from which slots are borrowed.
	WaitShare float64
	// MinDuration is the minimum duration of a loan.
	MinDuration time.Duration
	// RequestValidity is how long a request for more slots than were idle stays open: slots that come free in that
	// time are offered without a new request.
	RequestValidity time.Duration
	// BackOff is the delay before a peer that had too little to lend is asked again; it doubles once.
	BackOff time.Duration
}

// DefaultConfig returns the default settings. docs/measurements/dispatch.md has the measurements behind them.
func DefaultConfig() Config {
	return Config{
		Lease:              10 * time.Second,
		DefaultRunTime:     300 * time.Millisecond,
		AnswerTimeout:      300 * time.Millisecond,
		QueryTimeout:       200 * time.Millisecond,
		UnreachableTimeout: 5 * time.Second,
		ReconnectDelay:     50 * time.Millisecond,
		MaxReconnectDelay:  5 * time.Second,
		MaxSessions:        256,
		Ageing:             1,
		LongTaskRunTime:    2 * time.Second,
		LongShare:          0.9,
		PartnerShare:       0.95,
		PartnerActiveTime:  10 * time.Second,
		MaxWait:            30 * time.Second,
		AdmitWaitFactor:    4,
		DefaultQueueLimit:  100_000,
		LimitRetryDelay:    10 * time.Millisecond,
		MaxLimitRetryDelay: 160 * time.Millisecond,
		WideReserveDelay:   200 * time.Millisecond,
		RetriesPerAnswer:   0.1,
		RetryBurst:         100,
		RetryDelay:         10 * time.Millisecond,
		ReportValidity:     300 * time.Millisecond,
		Loan:               DefaultLoanConfig(),
		Fault:              fault.DefaultConfig(),
	}
}

// DefaultLoanConfig returns the loan part of DefaultConfig.
func DefaultLoanConfig() LoanConfig {
	return LoanConfig{
		PreferResponse: LoanPolicy{
			WaitShare:       0.3,
			MinDuration:     time.Second,
			RequestValidity: 500 * time.Millisecond,
			BackOff:         time.Second,
		},
		PreferMessages: LoanPolicy{
			WaitShare:   0.5,
			MinDuration: 100 * time.Millisecond,
			BackOff:     5 * time.Second,
		},
		MaxDuration:         2 * time.Second,
		ReserveShare:        0.05,
		KeepShare:           0.3,
		Slack:               5 * time.Millisecond,
		OfferSlots:          16,
		OfferDelay:          50 * time.Millisecond,
		Timeout:             100 * time.Millisecond,
		MaxParallelRequests: 5,
		ReturnSlots:         24,
		ReturnDelay:         150 * time.Millisecond,
		MinReturnTime:       200 * time.Millisecond,
	}
}

// Peer is another entry instance.
type Peer struct {
	ID            PeerID
	FailureDomain string
}
