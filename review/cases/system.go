package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"chestnutstack/platform/standin"
)

// The zones of the platform's site in Attica, with a daemon or two each.
var zones = []string{"peiraias", "marousi", "glyfada", "peristeri"}

const (
	serversPerZone  = 3
	serverProcessor = 32000
	serverMemory    = 131072
	service         = "dispatch-desk"
	queue           = "/quote/"
	routeTimeout    = 1500 * time.Millisecond
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// cancelBound is the platform's bound for cancelled jobs (cancel_ms), contactBound the one for machines in touch (ContactMs).
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

// system is all that a case runs.
type system struct {
	rec     *record
	sto     *standin.Store
	ldg     *standin.Ledger
	dir     string
	daemons []*daemon
	https   []*http.Server

	mu     sync.Mutex
	jobs   map[string]*job
	starts []start
	// asked counts the cancellings of accepted jobs, unanswered those of them without an answer.
	asked, unanswered int
}

// newSystem starts the stand-ins and the daemons.
func newSystem(program string, rec *record) (*system, error) {
	sys := &system{rec: rec, sto: standin.NewStore(), ldg: standin.NewLedger(), jobs: map[string]*job{}}
	var err error
	if sys.dir, err = os.MkdirTemp("", "review-cases-"); err != nil {
		return sys, err
	}
	sys.sto.SetDelay(storeDelay)
	sys.sto.Put("keyed.op", "config", configuration())
	store, err := sys.serve(sys.sto)
	if err != nil {
		return sys, err
	}
	for num, zon := range zones {
		for idx := range serversPerZone {
			if err := sys.addServer(fmt.Sprintf("i-%d%d", num, idx), zon); err != nil {
				return sys, err
			}
		}
	}
	subnet, err := freeSubnet()
	if err != nil {
		return sys, err
	}
	for num, zon := range []string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[3]} {
		dmn := &daemon{
			name: fmt.Sprintf("front-%s-%d", zon, num+1), zone: zon, ip: fmt.Sprintf("%s.%d", subnet, num+1), store: store, program: program, dir: sys.dir,
		}
		if err := dmn.start(); err != nil {
			return sys, err
		}
		sys.daemons = append(sys.daemons, dmn)
	}
	return sys, nil
}

// configuration returns the desired state, as the platform's pages show one.
func configuration() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "r-quote", "Host": standin.Host, "PathPrefix": queue, "Kind": "non_idempotent", "TimeoutMs": routeTimeout.Milliseconds(),
			"TargetLatencyMs": 60, "Priority": 2, "Service": service, "Attempts": 4, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// freeSubnet returns the first three numbers of loopback addresses on which the ports of daemons are free.
func freeSubnet() (string, error) {
	for num := range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200+num)%250)
		lis, err := net.Listen("tcp", net.JoinHostPort(subnet+".1", strconv.Itoa(frontPort)))
		if err == nil {
			return subnet, lis.Close()
		}
	}
	return "", fmt.Errorf("%w: no free addresses", errNotShown)
}

// serve answers on a free port until the case ends.
func (sys *system) serve(hdl http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	sys.https = append(sys.https, srv)
	go func() { _ = srv.Serve(lis) }() // It ends when the case does.
	return lis.Addr().String(), nil
}

func (sys *system) end() {
	killAll()
	for _, srv := range sys.https {
		_ = srv.Close() // Nothing is asked of it any more.
	}
	if sys.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sys.dir) // A temporary folder.
	}
}

// awaitServing waits until each daemon has served a job.
func (sys *system) awaitServing() error {
	deadline := time.Now().Add(20 * time.Second)
	for num, dmn := range sys.daemons {
		for try := 0; ; try++ {
			jb := sys.newJob(fmt.Sprintf("%08x%08x", 0xfeed, num*1000+try), 1, 50*time.Millisecond, 2*time.Second)
			if sys.submit(dmn, jb).status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s serves nothing", errNotShown, dmn.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
