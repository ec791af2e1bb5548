package fault

import (
	"math"
	"time"
)

const (
	// faultyRate is the share of its tasks that a faulty backend server fails.
	faultyRate = 0.95
	// minRate and maxRate bound the failure rate of a catalogue entry.
	minRate = 0.05
	maxRate = faultyRate
	// startRate is assumed of a catalogue entry that was never seen to fail.
	startRate = 0.05
	// startWeight is how many outcomes the assumed rate counts for, and maxWeight how many at most
	// count in the learnt one.
	startWeight = 4
	maxWeight   = 20
)

// Config tunes a Detector.
type Config struct {
	// EjectThreshold is the logarithm of the odds at which a backend server is ejected.
	EjectThreshold float64
	// MaxEjectedShare bounds the share of the backend servers that are ejected at once, so that the rest
	// do not drown.
	MaxEjectedShare float64
	// InitialProbeDelay is the first pause before an ejected backend server is tried again; it doubles.
	InitialProbeDelay time.Duration
	// MaxProbeDelay bounds the pause.
	MaxProbeDelay time.Duration
	// ProbeSuccesses is how many tasks in a row a probed backend server must not fail.
	ProbeSuccesses int
}

// DefaultConfig returns what suits tasks of less than a second.
func DefaultConfig() Config {
	return Config{
		EjectThreshold:      12,
		MaxEjectedShare:      0.3,
		InitialProbeDelay:    time.Second,
		MaxProbeDelay: time.Minute,
		ProbeSuccesses:      3,
	}
}

// State is how far a backend server is trusted.
type State int

const (
	// Trusted means that the backend server gets work.
	Trusted State = iota
	// Ejected means that it gets none.
	Ejected
	// Probing means that it gets one task at a time.
	Probing
)

// Server is the evidence on one backend server; the zero value is trusted.
type Server struct {
	state   State
	score   float64
	lastJob string
	pause   time.Duration
	until   time.Time
	passed  int
}

// State returns how far the backend server is trusted.
func (srv *Server) State() State { return srv.state }

// ProbeAt returns when an ejected backend server is to be probed.
func (srv *Server) ProbeAt() time.Time { return srv.until }

// Class is the evidence on one catalogue entry; the zero value knows nothing.
type Class struct {
	rate       float64
	weight     float64
	lastServer *Server
}

// Rate returns how often tasks of the catalogue entry fail on servers that are not at fault.
func (cls *Class) Rate() float64 {
	if cls.weight == 0 {
		return startRate
	}
	return min(max(cls.rate, minRate), maxRate)
}

func (cls *Class) add(outcome float64) {
	if cls.weight == 0 {
		cls.rate, cls.weight = startRate, startWeight
	}
	cls.weight = min(cls.weight+1, maxWeight)
	cls.rate += (outcome - cls.rate) / cls.weight
}

// Detector weighs the evidence by a sequential test of two hypotheses: the server fails nearly
// everything, or it fails what the catalogue entry fails anyway.
type Detector struct {
	cfg     Config
	total   int
	ejected int
}

// New returns a Detector for no backend servers.
func New(cfg Config) *Detector { return &Detector{cfg: cfg} }

// SetServerCount says how many backend servers there are.
func (det *Detector) SetServerCount(num int) { det.total = num }

// EjectedCount returns how many backend servers are ejected or probed.
func (det *Detector) EjectedCount() int { return det.ejected }

// HandleSuccess takes in a task that did not fail, and reports whether the state changed.
func (det *Detector) HandleSuccess(srv *Server, cls *Class) bool {
	rate := cls.Rate()
	cls.add(0)
	srv.score = max(0, srv.score+math.Log((1-faultyRate)/(1-rate)))
	srv.lastJob = ""
	if srv.state != Probing {
		return false
	}
	srv.passed++
	if srv.passed < det.cfg.ProbeSuccesses {
		return false
	}
	*srv = Server{pause: srv.pause / 2}
	det.ejected--
	return true
}

// HandleFailure takes in a task that failed, and reports whether the state changed.
//
// The tasks of one job count once in a row against a server, since the job may be at fault; the
// failures on one server count once in a row against the catalogue entry, since the server may be.
func (det *Detector) HandleFailure(now time.Time, srv *Server, job string, cls *Class) bool {
	rate := cls.Rate()
	if cls.lastServer != srv {
		cls.lastServer = srv
		cls.add(1)
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

// StartProbe lets one task at a time through to an ejected backend server whose pause is over.
func (det *Detector) StartProbe(now time.Time, srv *Server) bool {
	if srv.state != Ejected || now.Before(srv.until) {
		return false
	}
	srv.state = Probing
	srv.passed = 0
	return true
}

// Remove takes a backend server out of the count: it left, or restarted with a clean slate.
func (det *Detector) Remove(srv *Server) {
	if srv.state != Trusted {
		det.ejected--
	}
	*srv = Server{}
}

func (det *Detector) mayEject() bool {
	return float64(det.ejected+1) <= det.cfg.MaxEjectedShare*float64(det.total)
}

func (det *Detector) eject(now time.Time, srv *Server) {
	srv.pause = min(max(2*srv.pause, det.cfg.InitialProbeDelay), det.cfg.MaxProbeDelay)
	srv.state = Ejected
	srv.until = now.Add(srv.pause)
	srv.score = 0
	srv.lastJob = ""
}
