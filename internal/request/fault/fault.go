package fault

import (
	"math"
	"time"
)

const (
	// faultyRate is the share of its tasks that a faulty backend server is assumed to fail.
	faultyRate = 0.95
	// minRate and maxRate bound the learnt failure rate of a catalogue entry.
	minRate = 0.05
	maxRate = faultyRate
	// startRate is the failure rate assumed of a catalogue entry without outcomes.
	startRate = 0.05
	// startWeight is the number of outcomes that the assumed rate counts as. maxWeight bounds the number of outcomes that
	// the learnt rate averages over.
	startWeight = 4
	maxWeight   = 20
)

// Config has the thresholds and delays of a Detector.
type Config struct {
	// EjectThreshold is the natural logarithm of the odds for a fault at which a backend server is ejected.
	EjectThreshold float64
	// MaxEjectedShare bounds the share of the backend servers that are ejected or probed at once, so that the others are
	// not overloaded.
	MaxEjectedShare float64
	// InitialProbeDelay is the delay from the first ejection of a backend server to its first probe; each further ejection
	// doubles it, and a return to Trusted halves it.
	InitialProbeDelay time.Duration
	// MaxProbeDelay bounds the delay before a probe.
	MaxProbeDelay time.Duration
	// ProbeSuccesses is the number of consecutive successful tasks after which a probed backend server is trusted again.
	ProbeSuccesses int
}

// DefaultConfig returns a configuration for tasks that run for less than a second.
func DefaultConfig() Config {
	return Config{
		EjectThreshold:    12,
		MaxEjectedShare:   0.3,
		InitialProbeDelay: time.Second,
		MaxProbeDelay:     time.Minute,
		ProbeSuccesses:    3,
	}
}

// State tells whether a backend server gets tasks.
type State int

const (
	// Trusted means that the backend server gets tasks.
	Trusted State = iota
	// Ejected means that the backend server gets no tasks.
	Ejected
	// Probing means that the backend server gets one task at a time.
	Probing
)

// Server holds the state of one backend server and the evidence against it; the zero value is trusted.
type Server struct {
	state State
	// score is the natural logarithm of the odds that the backend server is faulty, at least 0.
	score float64
	// lastJob is the job of the last failure counted, empty after a success.
	lastJob string
	// probeDelay is the delay from the last ejection to probeAt.
	probeDelay time.Duration
	probeAt    time.Time
	// successes counts the consecutive successful tasks since the probe began.
	successes int
}

// State returns whether the backend server gets tasks.
func (srv *Server) State() State { return srv.state }

// ProbeAt returns the time from which an ejected backend server may be probed.
func (srv *Server) ProbeAt() time.Time { return srv.probeAt }

// EntryRate holds the learnt failure rate of one catalogue entry; the zero value has no outcomes.
type EntryRate struct {
	rate float64
	// weight is the number of outcomes that rate averages over, at most maxWeight.
	weight float64
	// lastServer is the backend server of the last failure counted.
	lastServer *Server
}

// Rate returns the share of the catalogue entry's tasks that fail on backend servers without a fault.
func (rat *EntryRate) Rate() float64 {
	if rat.weight == 0 {
		return startRate
	}
	return min(max(rat.rate, minRate), maxRate)
}

// add updates the failure rate with the outcome of one task: 1 for a failure, 0 for a success.
func (rat *EntryRate) add(outcome float64) {
	if rat.weight == 0 {
		rat.rate, rat.weight = startRate, startWeight
	}
	rat.weight = min(rat.weight+1, maxWeight)
	rat.rate += (outcome - rat.rate) / rat.weight
}

// Detector decides which backend servers are faulty, by a sequential test of two hypotheses: the backend server fails nearly
// every task, or it fails the share of tasks that the catalogue entry fails anywhere.
type Detector struct {
	cfg Config
	// total is the number of backend servers, ejected that of those ejected or probed.
	total   int
	ejected int
}

// New returns a Detector, for no backend servers until SetServerCount is called.
func New(cfg Config) *Detector { return &Detector{cfg: cfg} }

// SetServerCount sets the number of backend servers, of which MaxEjectedShare may be ejected.
func (det *Detector) SetServerCount(num int) { det.total = num }

// EjectedCount returns the number of backend servers that are ejected or probed.
func (det *Detector) EjectedCount() int { return det.ejected }

// HandleSuccess records a task that did not fail, and reports whether the backend server's state changed.
func (det *Detector) HandleSuccess(srv *Server, rat *EntryRate) bool {
	rate := rat.Rate()
	rat.add(0)
	srv.score = max(0, srv.score+math.Log((1-faultyRate)/(1-rate)))
	srv.lastJob = ""
	if srv.state != Probing {
		return false
	}
	srv.successes++
	if srv.successes < det.cfg.ProbeSuccesses {
		return false
	}
	*srv = Server{probeDelay: srv.probeDelay / 2}
	det.ejected--
	return true
}

// HandleFailure records a task that failed, and reports whether the backend server's state changed.
//
// Consecutive failures of one job count once against a backend server, since the job may be at fault; failures on one backend server count
// once against the catalogue entry until a task of the entry fails on another one, also with successes between, since the backend server
// may be at fault.
func (det *Detector) HandleFailure(now time.Time, srv *Server, job string, rat *EntryRate) bool {
	rate := rat.Rate()
	if rat.lastServer != srv {
		rat.lastServer = srv
		rat.add(1)
	}
	if srv.state == Probing {
		det.eject(now, srv)
		return true
	}
	if srv.lastJob == job {
		return false
	}
	srv.lastJob = job
	srv.score += math.Log(faultyRate / rate)
	if srv.state != Trusted || srv.score < det.cfg.EjectThreshold || !det.mayEject() {
		return false
	}
	det.ejected++
	det.eject(now, srv)
	return true
}

// StartProbe changes an ejected backend server whose probe delay is over to Probing, and reports whether it did.
func (det *Detector) StartProbe(now time.Time, srv *Server) bool {
	if srv.state != Ejected || now.Before(srv.probeAt) {
		return false
	}
	srv.state = Probing
	srv.successes = 0
	return true
}

// Remove resets the evidence against a backend server that left or restarted, and no longer counts it as ejected.
func (det *Detector) Remove(srv *Server) {
	if srv.state != Trusted {
		det.ejected--
	}
	*srv = Server{}
}

// mayEject reports whether one more backend server may be ejected within MaxEjectedShare.
func (det *Detector) mayEject() bool {
	return float64(det.ejected+1) <= det.cfg.MaxEjectedShare*float64(det.total)
}

// eject marks a backend server as ejected, with a probe after twice its last probe delay, within the configured bounds.
func (det *Detector) eject(now time.Time, srv *Server) {
	srv.probeDelay = min(max(2*srv.probeDelay, det.cfg.InitialProbeDelay), det.cfg.MaxProbeDelay)
	srv.state = Ejected
	srv.probeAt = now.Add(srv.probeDelay)
	srv.score = 0
	srv.lastJob = ""
}
