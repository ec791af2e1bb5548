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
	"chestnutstack/platform"
	"chestnutstack/platform/standin"
)

// world is a whole system in virtual time: real daemons and stand-ins, joined by pipes.
type world struct {
	t       testing.TB
	net     *pipe.Network
	grp     *errgroup.Group
	ctx     context.Context //nolint:containedctx // the life of the test's processes
	sto     *standin.Store
	ldg     *standin.Ledger
	servers map[string]*standin.Server
	entries map[string]*process
	// former are earlier lives.
	former  []*process
	version int
	lives   int
	// linkBytes is what the link of each instance carries a second; 0 for no bound.
	linkBytes int
	// domains are the failure domains that settings name.
	domains []string
	// sizes are those of the servers in turn; serverProcessor if there are none.
	sizes []int64

	mu  sync.Mutex
	log bytes.Buffer
}

// process is a daemon that can be stopped, killed or frozen.
type process struct {
	name, host, domain string
	stop               context.CancelFunc
	done               chan struct{}
	dmn                *Daemon
	// ended is set once the process was stopped or lost its power.
	ended bool
	// dark is set once its machine has lost its power.
	dark bool
	mu   sync.Mutex
	// slept is how long the process was frozen, by the clock that counts such time.
	slept time.Duration
	// stalledAt is since when the process stands still, for want of processor.
	stalledAt time.Time
}

func (prc *process) now() time.Time {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if !prc.stalledAt.IsZero() {
		return prc.stalledAt.Add(prc.slept)
	}
	return time.Now().Add(prc.slept)
}

func (prc *process) suspended() time.Duration {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.slept
}

const (
	serverProcessor = 32000
	taskProcessor   = 14000
	serverMemory    = 131072
	clientHost      = "client"
	storeHost       = "store"
	service         = "render"
)

// payload is what the tasks of a test say of themselves.
type payload struct {
	Millis int
	Fails  bool
	Stands string
	// Pad makes the payload as large as callers' are.
	Pad string
	// Needs is what a task takes of a server, in thousandths of a core; taskProcessor if it is 0.
	Needs int64
}

func (pld *payload) processor() int64 {
	if pld.Needs > 0 {
		return pld.Needs
	}
	return taskProcessor
}

// inWorld runs a test in virtual time, with a number of entry instances and of backend servers in each of some
// failure domains, and checks at its end that no promise was broken.
func inWorld(t *testing.T, domains, entries, servers int, body func(wld *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		playInWorld(t, domains, entries, servers, body)
		time.Sleep(20 * time.Second) // Timers of stand-ins run out.
	})
}

// playInWorld is inWorld in the time that the test has.
func playInWorld(t testing.TB, domains, entries, servers int, body func(wld *world)) {
	t.Helper()
	playWith(t, &world{}, domains, entries, servers, body)
}

// playWith is playInWorld in a world that the test has given its properties.
func playWith(t testing.TB, wld *world, domains, entries, servers int, body func(wld *world)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	wld.t, wld.net, wld.grp, wld.ctx = t, pipe.New(), &errgroup.Group{}, ctx
	wld.sto, wld.ldg = standin.NewStore(), standin.NewLedger()
	wld.servers, wld.entries = map[string]*standin.Server{}, map[string]*process{}
	wld.serve(storeHost+":1", wld.sto)
	wld.route("/thumb/", "/deck/")
	for dom := range domains {
		wld.domains = append(wld.domains, domainName(dom))
	}
	for dom := range domains {
		for num := range servers {
			wld.startServer(fmt.Sprintf("server-%d-%d", dom+1, num+1), domainName(dom))
		}
		for num := range entries {
			wld.startEntry(fmt.Sprintf("entry-%d-%d", dom+1, num+1), domainName(dom))
		}
	}
	time.Sleep(2 * time.Second)
	body(wld)
	for _, prc := range wld.entries {
		prc.stop()
	}
	for _, prc := range wld.entries {
		<-prc.done
	}
	for _, prc := range wld.former {
		<-prc.done
	}
	cancel()
	for _, srv := range wld.servers {
		srv.Close()
	}
	wld.net.Close()
	if err := wld.grp.Wait(); err != nil {
		t.Errorf("processes: %v", err)
	}
	for _, brk := range wld.ldg.Broken() {
		t.Errorf("broken promise: %s", brk)
	}
	if testing.Verbose() {
		t.Log(wld.logged())
	}
}

func domainName(num int) string { return fmt.Sprintf("domain-%d", num+1) }

func (wld *world) serve(addr string, hdl http.Handler) *http.Server {
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	lis := wld.net.Listen(addr)
	wld.grp.Go(func() error {
		_ = srv.Serve(lis) // It ends with the listener.
		return nil
	})
	wld.grp.Go(func() error {
		<-wld.ctx.Done()
		return srv.Close()
	})
	return srv
}

// route publishes a configuration with just these prefixes.
func (wld *world) route(prefixes ...string) {
	wld.version++
	rts := []standin.Route{}
	for num, pfx := range prefixes {
		rts = append(rts, standin.Route{
			Prefix: pfx, Service: service, Attempts: 3, Priority: num, Target: 60 * time.Millisecond, Stretch: 1.6,
		})
	}
	wld.sto.Configure(wld.version, rts)
}

func (wld *world) startServer(id, domain string) {
	size := int64(serverProcessor)
	if len(wld.sizes) > 0 {
		size = wld.sizes[len(wld.servers)%len(wld.sizes)]
	}
	srv := standin.NewServer(id, size, serverMemory, wld.ldg, func(text string) standin.Work {
		var pld payload
		if err := json.Unmarshal([]byte(text), &pld); err != nil {
			wld.t.Errorf("payload: %v", err)
		}
		return standin.Work{
			Takes: time.Duration(pld.Millis) * time.Millisecond, Fails: pld.Fails, Stands: pld.Stands == id,
			Processor: pld.processor(), Memory: 64,
		}
	})
	wld.servers[id] = srv
	wld.serve(id+":1", srv)
	wld.list(id, domain, "ready")
}

func (wld *world) list(id, domain, state string) {
	wld.sto.List(wld.servers[id], service, id+":1", domain, state == "draining")
}

// startEntry starts a process on a machine of its own; the same name again is its next life.
func (wld *world) startEntry(name, domain string) *process {
	wld.lives++
	host := fmt.Sprintf("%s-life-%d", name, wld.lives)
	if wld.linkBytes > 0 {
		wld.net.Narrow(host, wld.linkBytes)
	}
	ctx, stop := context.WithCancel(wld.ctx)
	prc := &process{name: name, host: host, domain: domain, stop: stop, done: make(chan struct{})}
	if old := wld.entries[name]; old != nil {
		wld.former = append(wld.former, old)
	}
	wld.entries[name] = prc
	cnt := &counters{}
	client := func(way *rpc.Counters) *http.Client {
		return &http.Client{Transport: &http.Transport{DialContext: countedDial(wld.net.Dialer(host), way)}}
	}
	prc.dmn = New(Params{
		Settings: platform.Settings{
			Instance: name, FailureDomain: domain, FailureDomains: wld.domains, CallerAddress: host + ":1", ReadyAddress: host + ":2",
			PeerAddress: host + ":3", MetricsAddress: host + ":4", Processor: 0.4,
			StopTimeout: 6 * time.Second, MemoryBytes: 1 << 28, LinkBytes: int64(wld.linkBytes),
		},
		Store:   platform.NewStore(client(&cnt.traffic.store), storeHost+":1"),
		Servers: platform.NewServers(client(&cnt.traffic.servers)), Counters: cnt,
		Dial: wld.net.Dialer(host), Now: prc.now, Suspended: prc.suspended, Log: zerolog.New(wld).With().Str("instance", name).Logger(),
	})
	lis := Listeners{
		Callers: wld.net.Listen(host + ":1"), Ready: wld.net.Listen(host + ":2"),
		Peers: wld.net.Listen(host + ":3"), Metrics: wld.net.Listen(host + ":4"),
	}
	wld.grp.Go(func() error {
		defer close(prc.done)
		return prc.dmn.Run(ctx, lis)
	})
	return prc
}

// powerOff ends a process as the loss of its machine's power does.
func (wld *world) powerOff(name string) {
	prc := wld.entries[name]
	wld.net.Isolate(prc.host)
	prc.dark = true
	wld.darken(prc)
	prc.stop()
}

// kill ends a process as SIGKILL does: its machine closes its connections and refuses new ones.
func (wld *world) kill(name string) {
	prc := wld.entries[name]
	wld.net.Isolate(prc.host)
	wld.net.Drop(prc.host)
	prc.stop()
}

func (wld *world) darken(prc *process) {
	for _, oth := range wld.hosts() {
		wld.net.Separate(prc.host, oth)
	}
}

// heal ends all cuts; machines without power stay dark.
func (wld *world) heal() {
	wld.net.Heal()
	for _, prc := range wld.former {
		if prc.dark {
			wld.darken(prc)
		}
	}
	for _, prc := range wld.entries {
		if prc.dark {
			wld.darken(prc)
		}
	}
}

// hosts returns all machines.
func (wld *world) hosts() []string {
	hsts := []string{storeHost, clientHost}
	for _, prc := range wld.entries {
		hsts = append(hsts, prc.host)
	}
	for id := range wld.servers {
		hsts = append(hsts, id)
	}
	return hsts
}

// freeze makes a process see that its machine was suspended.
func (prc *process) freeze(dur time.Duration) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.slept += dur
}

// stall makes a process that has come to stand get no processor for a while: it sees no time pass and hears nobody, and then
// everything at once.
func (wld *world) stall(prc *process, dur time.Duration) {
	wld.net.Stall(prc.host)
	time.Sleep(dur)
	prc.goOn()
	wld.net.Resume(prc.host)
}

// stand stops the process's clock and reports whether it went until now.
func (prc *process) stand() bool {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	went := prc.stalledAt.IsZero()
	if went {
		prc.stalledAt = time.Now()
	}
	return went
}

func (prc *process) goOn() {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.stalledAt = time.Time{}
}

// cut separates a failure domain from the others and the store; its clients and servers still reach it.
func (wld *world) cut(domain string) {
	for _, prc := range wld.entries {
		if prc.domain != domain {
			continue
		}
		wld.net.Separate(prc.host, storeHost)
		for _, oth := range wld.entries {
			if oth.domain != domain {
				wld.net.Separate(prc.host, oth.host)
			}
		}
	}
	for id := range wld.servers {
		for _, prc := range wld.entries {
			if strings.HasPrefix(id, "server-"+strings.TrimPrefix(domain, "domain-")) != (prc.domain == domain) {
				wld.net.Separate(prc.host, id)
			}
		}
	}
}

// Write implements io.Writer for the logs of all processes.
func (wld *world) Write(data []byte) (int, error) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.log.WriteString(time.Now().Format("05.000 "))
	return wld.log.Write(data)
}

func (wld *world) logged() string {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return wld.log.String()
}

// leader returns the name of the instance that leads the shard of a domain.
func (wld *world) leader(domain string) string {
	for name, prc := range wld.entries {
		prc.dmn.mu.Lock()
		for shd := range prc.dmn.leaders {
			if strings.HasPrefix(string(shd), domain+".") && !prc.dmn.leaving.Load() {
				prc.dmn.mu.Unlock()
				return name
			}
		}
		prc.dmn.mu.Unlock()
	}
	return ""
}
