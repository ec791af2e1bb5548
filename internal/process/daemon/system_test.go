package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
	"chestnutstack/platform/standin"
)

// system runs a whole system in one process: real daemons, and stand-ins for the store, the backend servers and the callers,
// connected by a simulated network.
type system struct {
	t         testing.TB
	net       *pipe.Network
	grp       *errgroup.Group
	ctx       context.Context //nolint:containedctx // the life of the test's processes
	sto       *standin.Store
	ldg       *standin.Ledger
	servers   map[string]*standin.Server
	instances map[string]*process
	// formerProcesses are the earlier incarnations of instances that were started again.
	formerProcesses []*process
	// configVersion is the version that was published last.
	configVersion int
	// lastNumber is the last number given to a process, as part of its machine's name, or to a padded job.
	lastNumber int
	// linkBytes is the bandwidth of each instance's network link in bytes per second; 0 for no limit.
	linkBytes int
	// domains are the failure domains in the settings of each instance.
	domains []string
	// serverSizes are the capacities of the backend servers, assigned round robin, in thousandths of a core; serverProcessor if empty.
	serverSizes []int64
	// bound is the platform's bound for configurations and leaving servers; 0 if the settings tell none.
	bound time.Duration
	// storeReadBytes is what the store reads a second, by the settings of each instance; 0 if they tell none.
	storeReadBytes int64
	// refused has the names of instances to which the store answers 503.
	refused map[string]bool
	// hidesIncarnations is set if the backend servers don't tell their incarnations.
	hidesIncarnations bool
	// clocksAhead is how far the clocks of instances are ahead, by name.
	clocksAhead map[string]time.Duration
	// services are the services of backend servers whose tasks are not of the usual one.
	services map[string]string
	// addresses are those of the backend servers.
	addresses map[string]string

	mu  sync.Mutex
	log bytes.Buffer
}

const (
	serverProcessor = 32000
	taskProcessor   = 14000
	serverMemory    = 131072
	clientHost      = "client"
	storeHost       = "store"
	service         = "render"
)

// payload tells a stand-in server how a task of a test behaves.
type payload struct {
	// Millis is the run time in milliseconds.
	Millis int
	Fails  bool
	// Stalls is the server on which the task makes no progress and does not end; empty for none.
	Stalls string
	// Pad makes the payload as large as those of real callers.
	Pad string
	// Needs is the processor that a task takes, in thousandths of a core; taskProcessor if 0.
	Needs int64
}

func (pld *payload) processor() int64 {
	if pld.Needs > 0 {
		return pld.Needs
	}
	return taskProcessor
}

// inTestSystem runs body in virtual time in a system whose failure domains have so many instances and backend servers each. At the end it
// reports each violation that the ledger noted: a task that ran twice at once, an overfull server, a start in a closed domain.
func inTestSystem(t *testing.T, domains, instances, servers int, body func(sys *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		runTestSystem(t, domains, instances, servers, body)
		time.Sleep(20 * time.Second) // The stand-ins' timers must have fired before the bubble ends.
	})
}

// runTestSystem is inTestSystem without a bubble of its own: in real time, or in the virtual time of the caller's bubble.
func runTestSystem(t testing.TB, domains, instances, servers int, body func(sys *system)) {
	t.Helper()
	runTestSystemWith(t, &system{}, domains, instances, servers, body)
}

// runTestSystemWith is runTestSystem for a system whose link bandwidth and server sizes the test has set.
func runTestSystemWith(t testing.TB, sys *system, domains, instances, servers int, body func(sys *system)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	sys.t, sys.net, sys.grp, sys.ctx = t, pipe.New(), &errgroup.Group{}, ctx
	sys.sto, sys.ldg = standin.NewStore(), standin.NewLedger()
	sys.servers, sys.instances, sys.addresses = map[string]*standin.Server{}, map[string]*process{}, map[string]string{}
	sys.serve(storeHost+":1", sys.sto)
	sys.publishRoutes("/thumb/", "/deck/")
	for dom := range domains {
		sys.domains = append(sys.domains, domainName(dom))
	}
	for dom := range domains {
		for num := range servers {
			sys.startServer(fmt.Sprintf("server-%d-%d", dom+1, num+1), domainName(dom))
		}
		for num := range instances {
			sys.startInstance(fmt.Sprintf("entry-%d-%d", dom+1, num+1), domainName(dom))
		}
	}
	time.Sleep(2 * time.Second)
	body(sys)
	for _, prc := range sys.instances {
		prc.stop()
	}
	for _, prc := range sys.instances {
		<-prc.done
	}
	for _, prc := range sys.formerProcesses {
		<-prc.done
	}
	cancel()
	for _, srv := range sys.servers {
		srv.Close()
	}
	sys.net.Close()
	if err := sys.grp.Wait(); err != nil {
		t.Errorf("processes: %v", err)
	}
	for _, brk := range sys.ldg.Broken() {
		t.Errorf("invariant violated: %s", brk)
	}
	if testing.Verbose() {
		t.Log(sys.logText())
	}
}

func domainName(num int) string { return fmt.Sprintf("domain-%d", num+1) }

// serve serves HTTP at an address of the simulated network until the test ends.
func (sys *system) serve(addr string, hdl http.Handler) *http.Server {
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	lis := sys.net.Listen(addr)
	sys.grp.Go(func() error {
		_ = srv.Serve(lis) // Always returns an error once it is closed.
		return nil
	})
	sys.grp.Go(func() error {
		<-sys.ctx.Done()
		return srv.Close()
	})
	return srv
}

// publishRoutes publishes a new version of the configuration that has one route for each prefix and no other.
func (sys *system) publishRoutes(prefixes ...string) {
	sys.configVersion++
	rts := []standin.Route{}
	for num, pfx := range prefixes {
		rts = append(rts, standin.Route{
			Prefix: pfx, Service: service, Attempts: 3, Priority: num, Target: 60 * time.Millisecond, Stretch: 1.6,
		})
	}
	sys.sto.Configure(sys.configVersion, rts)
}

// startServer starts a stand-in backend server and lists it as ready.
func (sys *system) startServer(id, domain string) {
	sys.serveUnlisted(id)
	sys.listServer(id, domain, "ready")
}

// serveUnlisted starts a stand-in backend server that has no entry in the list.
func (sys *system) serveUnlisted(id string) {
	size := int64(serverProcessor)
	if len(sys.serverSizes) > 0 {
		size = sys.serverSizes[len(sys.servers)%len(sys.serverSizes)]
	}
	srv := standin.NewServer(id, size, serverMemory, sys.ldg, func(text string) standin.Work {
		var pld payload
		if err := json.Unmarshal([]byte(text), &pld); err != nil {
			sys.t.Errorf("payload: %v", err)
		}
		return standin.Work{
			Takes: time.Duration(pld.Millis) * time.Millisecond, Fails: pld.Fails, Stands: pld.Stalls == id,
			Processor: pld.processor(), Memory: 64,
		}
	})
	if sys.hidesIncarnations {
		srv.HideIncarnation()
	}
	sys.servers[id] = srv
	ip := fmt.Sprintf("10.0.%d.%d", len(sys.addresses)/250, len(sys.addresses)%250+1)
	sys.net.Name(ip, id)
	sys.addresses[id] = ip + ":1"
	sys.serve(id+":1", srv)
}

// loseStops has all backend servers neither carry out nor answer orders to stop, or ends that.
func (sys *system) loseStops(lose bool) {
	for _, srv := range sys.servers {
		srv.LoseAllStops(lose)
	}
}

// listServer writes a server's record, as its heartbeat does; state is "ready" or "draining".
func (sys *system) listServer(id, domain, state string) {
	svc := service
	if oth := sys.services[id]; oth != "" {
		svc = oth
	}
	sys.sto.List(sys.servers[id], svc, sys.addresses[id], domain, state == "draining")
}

// startInstance starts an instance on a machine of its own. A name that was started before gets a new incarnation, on a new machine.
func (sys *system) startInstance(name, domain string) *process {
	sys.lastNumber++
	host := fmt.Sprintf("%s-life-%d", name, sys.lastNumber)
	if sys.linkBytes > 0 {
		sys.net.Narrow(host, sys.linkBytes)
	}
	ctx, stop := context.WithCancel(sys.ctx)
	prc := &process{name: name, host: host, domain: domain, stop: stop, done: make(chan struct{}), ahead: sys.clocksAhead[name]}
	if old := sys.instances[name]; old != nil {
		sys.formerProcesses = append(sys.formerProcesses, old)
	}
	sys.instances[name] = prc
	cnt := &counters{}
	client := func(way *rpc.Counters) *http.Client {
		return &http.Client{Transport: &http.Transport{DialContext: countedDial(sys.net.Dialer(host), way)}}
	}
	prc.dmn = New(Params{
		Settings: platform.Settings{
			Instance: name, FailureDomain: domain, FailureDomains: sys.domains, CallerAddress: host + ":1", ReadyAddress: host + ":2",
			PeerAddress: host + ":3", MetricsAddress: host + ":4", Processor: 0.4,
			StopTimeout: 6 * time.Second, MemoryBytes: 1 << 28, LinkBytes: int64(sys.linkBytes),
			ConfigurationBound: sys.bound, DrainBound: sys.bound, StoreReadBytes: sys.storeReadBytes, Features: shard.AllFeatures(),
		},
		Store:   platform.NewStore(sys.storeClient(name, client(&cnt.traffic.store)), storeHost+":1"),
		Servers: platform.NewServers(client(&cnt.traffic.servers)), Counters: cnt,
		Dial: sys.net.Dialer(host), Now: prc.now, Suspended: prc.suspended, Log: zerolog.New(sys).With().Str("instance", name).Logger(),
	})
	lis := Listeners{
		Callers: sys.net.Listen(host + ":1"), Ready: sys.net.Listen(host + ":2"),
		Peers: sys.net.Listen(host + ":3"), Metrics: sys.net.Listen(host + ":4"),
	}
	sys.grp.Go(func() error {
		defer close(prc.done)
		if err := prc.dmn.Run(ctx, lis); !prc.killed.Load() {
			return err
		}
		return nil
	})
	return prc
}

// powerOff ends a process as a power loss does: its machine answers nothing any more, and connections are not closed.
func (sys *system) powerOff(name string) {
	prc := sys.instances[name]
	sys.net.Isolate(prc.host)
	prc.poweredOff = true
	sys.separateFromAll(prc)
	prc.stop()
}

// kill ends a process as SIGKILL does: its machine closes its connections and refuses new ones.
func (sys *system) kill(name string) {
	prc := sys.instances[name]
	prc.killed.Store(true)
	sys.net.Isolate(prc.host)
	sys.net.Drop(prc.host)
	prc.stop()
}

// running reports whether a process has neither ended nor begun to stop. One that was killed may end without a planned stop, as its listeners are closed.
func (prc *process) running() bool {
	select {
	case <-prc.done:
		return false
	default:
		return !prc.dmn.stopping.Load()
	}
}

// separateFromAll cuts a process off from all machines, in both directions.
func (sys *system) separateFromAll(prc *process) {
	for _, oth := range sys.hosts() {
		sys.net.Separate(prc.host, oth)
	}
}

// heal ends all network partitions; machines without power stay unreachable.
func (sys *system) heal() {
	sys.net.Heal()
	for _, prc := range sys.formerProcesses {
		if prc.poweredOff {
			sys.separateFromAll(prc)
		}
	}
	for _, prc := range sys.instances {
		if prc.poweredOff {
			sys.separateFromAll(prc)
		}
	}
}

// hosts returns the names of all machines: the store's, the callers', and those of the current instances and of the servers.
func (sys *system) hosts() []string {
	hsts := []string{storeHost, clientHost}
	for _, prc := range sys.instances {
		hsts = append(hsts, prc.host)
	}
	for id := range sys.servers {
		hsts = append(hsts, id)
	}
	return hsts
}

// cut partitions the network: the instances and servers of a failure domain don't reach those of the others, nor its instances the store.
// Callers reach all instances.
func (sys *system) cut(domain string) {
	for _, prc := range sys.instances {
		if prc.domain != domain {
			continue
		}
		sys.net.Separate(prc.host, storeHost)
		for _, oth := range sys.instances {
			if oth.domain != domain {
				sys.net.Separate(prc.host, oth.host)
			}
		}
	}
	for id := range sys.servers {
		for _, prc := range sys.instances {
			if strings.HasPrefix(id, "server-"+strings.TrimPrefix(domain, "domain-")) != (prc.domain == domain) {
				sys.net.Separate(prc.host, id)
			}
		}
	}
}

// Write implements io.Writer: it collects the logs of all processes, each line behind the second of the time of day.
func (sys *system) Write(data []byte) (int, error) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.log.WriteString(time.Now().Format("05.000 "))
	return sys.log.Write(data)
}

// logText returns what all processes have logged so far.
func (sys *system) logText() string {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.log.String()
}

// leader returns the name of a running instance that leads a shard of a domain; empty if there is none.
func (sys *system) leader(domain string) string {
	for name, prc := range sys.instances {
		prc.dmn.mu.Lock()
		for shd := range prc.dmn.leaders {
			if strings.HasPrefix(string(shd), domain+".") && prc.running() {
				prc.dmn.mu.Unlock()
				return name
			}
		}
		prc.dmn.mu.Unlock()
	}
	return ""
}
