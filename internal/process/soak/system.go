package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/platform/standin"
)

// service is what the backend servers of a play run.
const service = "render"

// The workers of the brief, and a task that fits four times on one.
const (
	serverProcessor = 32000
	serverMemory    = 131072
	taskProcessor   = 8000
	taskMemory      = 64
)

// The ports of an instance, on an address of its own.
const (
	callerPort  = 8161
	readyPort   = 8162
	peerPort    = 7720
	stopTimeout = 6 * time.Second
)

// server is a machine of a backend server and the life of it that is there now.
type server struct {
	name, domain, address string
	now                   atomic.Pointer[standin.Server]
	lives                 int
	// changes lets one trouble at a time end a life and start the next.
	changes sync.Mutex
}

// ServeHTTP implements http.Handler.
func (srv *server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	srv.now.Load().ServeHTTP(wrt, req)
}

// system is all that a play runs: stand-ins in this process, instances in their own, links between them.
type system struct {
	grp     *errgroup.Group
	sto     *standin.Store
	ldg     *standin.Ledger
	servers []*server
	ins     []*instance
	links   []*link
	https   []*http.Server

	mu      sync.Mutex
	version int
}

// newSystem starts stand-ins and links; no instance runs yet.
func newSystem(shp Shape, seed uint64, program, dir string, grp *errgroup.Group) (*system, error) {
	sys := &system{grp: grp, sto: standin.NewStore(), ldg: standin.NewLedger()}
	sys.configure()
	for dom := range shp.Domains {
		for num := range shp.Servers {
			if err := sys.addServer(fmt.Sprintf("server-%d-%d", dom+1, num+1), domainName(dom)); err != nil {
				return sys, err
			}
		}
		for num := range shp.Entries {
			idx := len(sys.ins)
			// Plays that run side by side keep apart by this process and their seeds.
			subnet := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, seed%256)
			adr := fmt.Sprintf("%s.%d", subnet, idx+1)
			sys.ins = append(sys.ins, &instance{
				dir: dir, program: program, grp: grp, linkHost: subnet + ".250",
				mch: standin.Machine{
					Name: fmt.Sprintf("entry-%d-%d", dom+1, num+1), Domain: domainName(dom), IP: adr,
					CallerPort: callerPort, ReadyPort: readyPort, PeerPort: peerPort, StopTimeout: stopTimeout, AllDecisions: shp.AllDecisions,
				},
			})
		}
	}
	for _, ins := range sys.ins {
		if err := sys.connect(ins); err != nil {
			return sys, err
		}
	}
	return sys, nil
}

const domainPrefix = "domain-"

func domainName(num int) string { return domainPrefix + strconv.Itoa(num+1) }

// serve answers on a free port until the play ends.
func (sys *system) serve(hdl http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	sys.https = append(sys.https, srv)
	sys.grp.Go(func() error {
		_ = srv.Serve(lis) // It ends when the play does.
		return nil
	})
	return lis.Addr().String(), nil
}

func (sys *system) addServer(name, domain string) error {
	srv := &server{name: name, domain: domain}
	var err error
	if srv.address, err = sys.serve(srv); err != nil {
		return err
	}
	sys.servers = append(sys.servers, srv)
	sys.startServer(srv)
	return nil
}

// startServer starts the next life of a backend server.
func (sys *system) startServer(srv *server) {
	srv.lives++
	next := standin.NewServer(fmt.Sprintf("%s-%d", srv.name, srv.lives), serverProcessor, serverMemory, sys.ldg, parseWork)
	srv.now.Store(next)
	sys.sto.List(next, service, srv.address, srv.domain, false)
}

// connect gives an instance a link to the store, each server and each other instance, and callers one to it.
func (sys *system) connect(ins *instance) error {
	ways := map[string]string{}
	add := func(to, target string) (string, error) {
		lnk, err := newLink(ins.mch.Name, to, target, ins.linkHost, sys.grp)
		if err != nil {
			return "", err
		}
		sys.links = append(sys.links, lnk)
		return lnk.address, nil
	}
	for _, srv := range sys.servers {
		adr, err := add(srv.name, srv.address)
		if err != nil {
			return err
		}
		ways[srv.name] = adr
	}
	for _, oth := range sys.ins {
		if oth == ins {
			continue
		}
		adr, err := add(oth.mch.Name, net.JoinHostPort(oth.mch.IP, strconv.Itoa(peerPort)))
		if err != nil {
			return err
		}
		ways[oth.mch.Name] = adr
	}
	view, err := sys.serve(sys.sto.View(func(key string) string {
		if cut := strings.LastIndex(key, "-"); strings.HasPrefix(key, "server-") && cut > 0 {
			key = key[:cut] // A server's record names its life.
		}
		return ways[key]
	}))
	if err != nil {
		return err
	}
	if ins.mch.StoreAddress, err = add(storeName, view); err != nil {
		return err
	}
	return ins.writeSettings()
}

const storeName = "store"

// pick returns the instance that the balancer chooses by a hash, or the next one that is in its rotation.
func (sys *system) pick(hash int) *instance {
	for off := range sys.ins {
		if ins := sys.ins[(hash+off)%len(sys.ins)]; ins.inRotation() {
			return ins
		}
	}
	return sys.ins[hash%len(sys.ins)]
}

// start starts an instance and lets its links' ends listen.
func (sys *system) start(ins *instance) error {
	if err := ins.start(); err != nil {
		return err
	}
	return sys.listening(ins, true)
}

// listening tells the links to an instance whether it runs.
func (sys *system) listening(ins *instance, up bool) error {
	for _, lnk := range sys.links {
		if lnk.to == ins.mch.Name {
			if err := lnk.setUp(up); err != nil {
				return err
			}
		}
	}
	return nil
}

// each does something to the links that are chosen.
func (sys *system) each(chosen func(lnk *link) bool, do func(lnk *link)) {
	for _, lnk := range sys.links {
		if chosen(lnk) {
			do(lnk)
		}
	}
}

// touching chooses the links from and to a machine.
func touching(name string) func(lnk *link) bool {
	return func(lnk *link) bool { return lnk.from == name || lnk.to == name }
}

// domainOf returns the failure domain of a machine, nothing for the store.
func (sys *system) domainOf(name string) string {
	for _, ins := range sys.ins {
		if ins.mch.Name == name {
			return ins.mch.Domain
		}
	}
	for _, srv := range sys.servers {
		if srv.name == name {
			return srv.domain
		}
	}
	return ""
}

// configure publishes the next version, whose own queue tells it apart, and returns it.
func (sys *system) configure() int {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.version++
	rts := []standin.Route{{Prefix: versionQueue(sys.version), Service: service, Attempts: attempts, Target: target, Stretch: stretch}}
	for pri, pfx := range queues {
		rts = append(rts, standin.Route{
			Prefix: pfx, Service: service, Attempts: attempts, Priority: pri, Target: target, Stretch: stretch,
		})
	}
	sys.sto.Configure(sys.version, rts)
	return sys.version
}

// queues are those that callers use, by priority; the platform's routes look like that.
var queues = []string{"/thumb/", "/brand/", "/deck/"}

const (
	attempts = 4
	target   = 60 * time.Millisecond
	stretch  = 1.6
)

func versionQueue(version int) string { return fmt.Sprintf("/version-%d/", version) }

// end stops the stand-ins and closes the links.
func (sys *system) end() {
	for _, lnk := range sys.links {
		lnk.close()
	}
	for _, srv := range sys.https {
		_ = srv.Close() // Nothing is asked of it any more.
	}
}

// makePayload says what a task does, parseWork reads it.
func makePayload(id string, takes time.Duration, fails bool) string {
	return fmt.Sprintf("%s %d %t", id, takes.Milliseconds(), fails)
}

func parseWork(payload string) standin.Work {
	var id string
	var millis int64
	wrk := standin.Work{Processor: taskProcessor, Memory: taskMemory}
	if _, err := fmt.Sscanf(payload, "%s %d %t", &id, &millis, &wrk.Fails); err != nil {
		// Nobody sent that: the ledger says so, as no job has such a payload.
		wrk.Fails = true
	}
	wrk.Takes = time.Duration(millis) * time.Millisecond
	return wrk
}
