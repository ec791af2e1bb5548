package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
)

// Config tunes a Dispatcher.
type Config struct {
	// Self names this entry instance.
	Self PeerID
	// FailureDomain is where this entry instance runs.
	FailureDomain string

	// Lease is how long a task may run without a renewal.
	Lease time.Duration
	// DefaultRunTime is assumed of a catalogue entry that declares none.
	DefaultRunTime time.Duration
	// AnswerTimeout is the earliest age at which a missing answer is looked at.
	AnswerTimeout time.Duration
	// QueryTimeout is how long an ask or a revoke may stay unanswered before a fresh connection.
	QueryTimeout time.Duration
	// UnreachableTimeout is how long an unreachable backend server may keep a job from its end.
	UnreachableTimeout time.Duration
	// ReconnectDelay is the first pause between connection attempts; it doubles.
	ReconnectDelay time.Duration
	// MaxReconnectDelay bounds the pause.
	MaxReconnectDelay time.Duration
	// MaxSessions bounds the backend servers that are connected to before they are needed; past
	// it only the own ones are, and others once slots on them are borrowed.
	MaxSessions int

	// Ageing is how many seconds of remaining work one second of waiting outweighs.
	Ageing float64
	// LongTaskRunTime is the run time from which a task is long.
	LongTaskRunTime time.Duration
	// LongShare bounds the share of the usable slots that long tasks take.
	LongShare float64
	// PartnerShare bounds the share of the usable slots that one partner takes while another has
	// submitted a job within PartnerMemory.
	PartnerShare  float64
	PartnerActiveTime time.Duration
	// MaxWait bounds the expected wait at which a job is still admitted.
	MaxWait time.Duration
	// AdmitWaitFactor is what the expected wait is multiplied with before it is held against the time
	// that is left.
	AdmitWaitFactor float64
	// DefaultQueueLimit is the limit of waiting tasks of a catalogue entry that sets none.
	DefaultQueueLimit int
	// LimitRetryDelay is the first pause until a job that a limit holds back is tried again; it doubles.
	LimitRetryDelay time.Duration
	// MaxLimitRetryDelay bounds the pause.
	MaxLimitRetryDelay time.Duration
	// WideReserveDelay is how long a task of several slots waits before a backend server is kept for it.
	WideReserveDelay time.Duration

	// RetriesPerAnswer is how many retries a partner earns with each answer.
	RetriesPerAnswer float64
	// RetryBurst is how many retries a partner may save up.
	RetryBurst float64
	// RetryDelay is the first pause of a retry that is over the budget; it doubles.
	RetryDelay time.Duration
	// ReportValidity is how long the free count of a report outweighs the own account.
	ReportValidity time.Duration

	// Loan tunes lending and borrowing.
	Loan LoanConfig
	// Fault tunes the ejection of faulty backend servers.
	Fault fault.Config
}

// LoanConfig tunes lending and borrowing.
type LoanConfig struct {
	// PreferResponse and Messages are the styles for catalogue entries that prefer the one or the other.
	PreferResponse LoanPolicy
	PreferMessages LoanPolicy
	// MaxDuration bounds the length of a loan.
	MaxDuration time.Duration
	// ReserveShare is the share of the own slots in use that is kept free for own arrivals.
	ReserveShare float64
	// KeepShare is the share of the own slots that are never lent, in use or not.
	KeepShare float64
	// Slack is how much later than the borrower the lender takes a loan to end, for the time that
	// the grant and the last start are on their way.
	Slack time.Duration
	// OfferSlots is how many slots make an offer worth a message at once; fewer wait OfferAfter.
	OfferSlots uint32
	OfferDelay time.Duration
	// Timeout is how long a request for a loan may stay unanswered.
	Timeout time.Duration
	// MaxParallelRequests bounds the peers that are asked at once.
	MaxParallelRequests int
	// ReturnSlots is how many idle borrowed slots are given back at once; fewer wait ReturnAfter.
	ReturnSlots uint32
	ReturnDelay time.Duration
	// MinReturnTime is how much of a loan must be left for its return to be worth a message.
	MinReturnTime time.Duration
}

// LoanPolicy says what is spent on loans, messages or response time.
type LoanPolicy struct {
	// WaitShare is the expected wait, as a share of the run time, from which a loan is asked for.
	WaitShare float64
	// MinDuration is the least length of a loan.
	MinDuration time.Duration
	// RequestValidity is how long a request for more slots than were idle stands: slots that come free
	// meanwhile are offered without being asked for.
	RequestValidity time.Duration
	// BackOff is the first pause after a peer had too little to lend; it doubles once.
	BackOff time.Duration
}

// DefaultConfig returns what the measurements in docs/measurements/dispatch.md led to.
func DefaultConfig() Config {
	return Config{
		Lease:             10 * time.Second,
		DefaultRunTime:    300 * time.Millisecond,
		AnswerTimeout:          300 * time.Millisecond,
		QueryTimeout:        200 * time.Millisecond,
		UnreachableTimeout:            5 * time.Second,
		ReconnectDelay:    50 * time.Millisecond,
		MaxReconnectDelay: 5 * time.Second,
		MaxSessions:       256,
		Ageing:            1,
		LongTaskRunTime:          2 * time.Second,
		LongShare:         0.9,
		PartnerShare:      0.95,
		PartnerActiveTime:     10 * time.Second,
		MaxWait:           30 * time.Second,
		AdmitWaitFactor:       4,
		DefaultQueueLimit:        100_000,
		LimitRetryDelay:        10 * time.Millisecond,
		MaxLimitRetryDelay:     160 * time.Millisecond,
		WideReserveDelay:          200 * time.Millisecond,
		RetriesPerAnswer:        0.1,
		RetryBurst:        100,
		RetryDelay:        10 * time.Millisecond,
		ReportValidity:       300 * time.Millisecond,
		Loan:              DefaultLoanConfig(),
		Fault:             fault.DefaultConfig(),
	}
}

// DefaultLoanConfig returns the loan part of DefaultConfig.
func DefaultLoanConfig() LoanConfig {
	return LoanConfig{
		PreferResponse: LoanPolicy{
			WaitShare:     0.3,
			MinDuration:   time.Second,
			RequestValidity: 500 * time.Millisecond,
			BackOff:  time.Second,
		},
		PreferMessages: LoanPolicy{
			WaitShare:    0.5,
			MinDuration:  100 * time.Millisecond,
			BackOff: 5 * time.Second,
		},
		MaxDuration:      2 * time.Second,
		ReserveShare:     0.05,
		KeepShare:        0.3,
		Slack:       5 * time.Millisecond,
		OfferSlots:  16,
		OfferDelay:  50 * time.Millisecond,
		Timeout:     100 * time.Millisecond,
		MaxParallelRequests:    5,
		ReturnSlots: 24,
		ReturnDelay: 150 * time.Millisecond,
		MinReturnTime:   200 * time.Millisecond,
	}
}

// Peer is another entry instance.
type Peer struct {
	ID            PeerID
	FailureDomain string
}
