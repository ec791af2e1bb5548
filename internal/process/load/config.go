package load

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/http2"
)

// Partner is the load of one partner.
type Partner struct {
	Profile Profile
	// Token is the partner's bearer token; none if empty.
	Token string
	// Rate is the mean number of jobs a second.
	Rate float64
}

// Config says what a run does; zero fields with a default take it.
type Config struct {
	// Entries are the base URLs of the entry instances.
	Entries []string
	// Metrics are the base URLs that show the entry instances' variables; Entries by default.
	Metrics []string
	// Journals are the base URLs of the stand-ins of backend servers.
	Journals []string
	// Client makes the calls; unencrypted HTTP/2 by default.
	Client connect.HTTPClient
	// MetricsClient reads the variables; HTTP/1 by default.
	MetricsClient connect.HTTPClient
	// Checker is that of the backend servers' stand-ins by default.
	Checker  Checker
	Partners []Partner
	Seed     uint64
	// Run begins every submission id and must differ between runs against the same pool.
	Run string
	// Duration bounds the arrivals in time, Jobs in number for each partner.
	Duration time.Duration
	Jobs     int
	// InFlight bounds the calls of each partner that wait for an answer at once.
	InFlight int
	// Deadline is the time from when a job is due to when its last task may start.
	Deadline time.Duration
	// Retries is how often a submission is sent again after a refusal that proves not-run.
	Retries int
	// Skew is the share of the jobs that go to the first entry instance whatever its turn.
	Skew float64
	// Bursts makes the rate vary around its mean.
	Bursts bool
	// CancelShare is the share of the jobs in reach of a wave of cancels that it hits.
	CancelShare float64
	// TwinShare is the share of the submissions that arrive twice.
	TwinShare float64
	// UnmarkedTwins leaves the second copy without the mark of a resubmission, as a balancer that
	// sends a request again would.
	UnmarkedTwins bool
}

const (
	defaultDuration = 10 * time.Second
	defaultJobs     = 100_000
	defaultInFlight = 2_000
	defaultDeadline = 30 * time.Second

	maxJobs     = 10_000_000
	maxInFlight = 100_000
	// answerGrace is how long after its deadline an answer is waited for.
	answerGrace    = 30 * time.Second
	metricsTimeout = 10 * time.Second
	// closingTime bounds the reading of variables and journals after the last answer.
	closingTime = time.Minute
)

func (cfg Config) withDefaults() Config {
	if cfg.Duration <= 0 {
		cfg.Duration = defaultDuration
	}
	if cfg.Jobs <= 0 {
		cfg.Jobs = defaultJobs
	}
	if cfg.InFlight <= 0 {
		cfg.InFlight = defaultInFlight
	}
	if cfg.Deadline <= 0 {
		cfg.Deadline = defaultDeadline
	}
	if len(cfg.Metrics) == 0 {
		cfg.Metrics = cfg.Entries
	}
	if cfg.Checker == nil {
		cfg.Checker = standInChecker{}
	}
	if cfg.Client == nil {
		cfg.Client = http2.NewClient(nil, nil)
	}
	if cfg.MetricsClient == nil {
		cfg.MetricsClient = &http.Client{Timeout: metricsTimeout}
	}
	return cfg
}

func (cfg Config) check() error {
	switch {
	case len(cfg.Entries) == 0:
		return errors.New("load: no entry instance")
	case len(cfg.Partners) == 0:
		return errors.New("load: no partner")
	case cfg.Run == "":
		return errors.New("load: no name for the run")
	case cfg.Jobs > maxJobs || cfg.InFlight > maxInFlight:
		return errors.Newf("load: at most %d jobs and %d in flight", maxJobs, maxInFlight)
	}
	for _, par := range cfg.Partners {
		if len(par.Profile.kinds) == 0 || par.Rate <= 0 {
			return errors.New("load: a partner needs a profile and a positive rate")
		}
	}
	return nil
}
