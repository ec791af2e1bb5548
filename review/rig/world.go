package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutstack/platform/standin"
)

// usualAnswer is how long the store takes for an answer.
const usualAnswer = 4 * time.Millisecond

// world is all that a play runs.
type world struct {
	jdg     *judge
	sto     *standin.Store
	dir     string
	subnet  string
	queues  []queue
	version int

	mu      sync.Mutex
	servers []*server
	daemons []*daemon
	links   []*link
	// ways has, by daemon, the address at which it finds another machine.
	ways  map[string]map[string]string
	https []*http.Server
	ended chan struct{}
	took  func(spec string) (time.Duration, bool)
}

func newWorld(record string, subnet string, queues []queue) (*world, error) {
	jdg, err := newJudge(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	wld := &world{
		jdg: jdg, sto: standin.NewStore(), dir: dir, subnet: subnet, queues: queues, ways: map[string]map[string]string{}, ended: make(chan struct{}),
		took: func(string) (time.Duration, bool) { return 0, false },
	}
	wld.sto.SetDelay(usualAnswer)
	wld.configure()
	return wld, nil
}

// configure publishes the next desired state.
func (wld *world) configure() {
	wld.mu.Lock()
	wld.version += 3
	ver := wld.version
	wld.mu.Unlock()
	rows := []map[string]any{}
	for num, que := range wld.queues {
		rows = append(rows, map[string]any{
			"Name": que.name, "Host": que.host, "PathPrefix": que.prefix, "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 60,
			"Priority": num % 3, "Service": que.service, "Attempts": 4, "Stretch": 1.6,
		})
	}
	wld.sto.Put("keyed.op", "config", map[string]any{
		"Version": ver, "Routes": rows,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

func (wld *world) serve(hdl http.Handler) (string, error) {
	lis, err := net.Listen("tcp", wld.subnet+".250:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	wld.https = append(wld.https, srv)
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// addServer starts a life of a backend server; daemons that are there get a link to it.
func (wld *world) addServer(srv *server) error {
	srv.work = wld.took
	adr, err := wld.serve(srv)
	if err != nil {
		return err
	}
	srv.address = adr
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, dmn := range wld.daemons {
		if err := wld.link(dmn, srv.id, adr, false); err != nil {
			return err
		}
	}
	wld.servers = append(wld.servers, srv)
	wld.sto.Put("keyed.servers", srv.id, srv.entry())
	go func() {
		for {
			select {
			case <-wld.ended:
				return
			case <-time.After(1500 * time.Millisecond):
			}
			srv.mu.Lock()
			gone := srv.gone
			srv.mu.Unlock()
			if gone {
				return
			}
			wld.sto.Put("keyed.servers", srv.id, srv.entry())
		}
	}()
	return nil
}

// link gives a daemon a way of its own to another machine; the lock is held.
func (wld *world) link(dmn *daemon, to, target string, daemons bool) error {
	lnk, err := newLink(dmn.name, to, wld.subnet+".250", target, daemons)
	if err != nil {
		return err
	}
	wld.links = append(wld.links, lnk)
	if wld.ways[dmn.name] == nil {
		wld.ways[dmn.name] = map[string]string{}
	}
	wld.ways[dmn.name][to] = lnk.address
	return nil
}

// addDaemons adds the machines of the system, without starting their processes.
func (wld *world) addDaemons(zones []string, each int) error {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for num, zon := range zones {
		for idx := range each {
			wld.daemons = append(wld.daemons, &daemon{
				name: fmt.Sprintf("front-%s-%d", zon, idx+1), zone: zon, zones: zones, ip: fmt.Sprintf("%s.%d", wld.subnet, num*each+idx+1),
				dir: wld.dir, jdg: wld.jdg,
			})
		}
	}
	for _, dmn := range wld.daemons {
		for _, oth := range wld.daemons {
			if oth == dmn {
				continue
			}
			if err := wld.link(dmn, oth.name, net.JoinHostPort(oth.ip, fmt.Sprint(peerPort)), true); err != nil {
				return err
			}
		}
		for _, srv := range wld.servers {
			if err := wld.link(dmn, srv.id, srv.address, false); err != nil {
				return err
			}
		}
		view, err := wld.serve(wld.sto.View(func(key string) string {
			wld.mu.Lock()
			defer wld.mu.Unlock()
			return wld.ways[dmn.name][key]
		}))
		if err != nil {
			return err
		}
		if err := wld.link(dmn, "store", view, false); err != nil {
			return err
		}
		dmn.store = wld.ways[dmn.name]["store"]
	}
	return nil
}

// setUp has links to a daemon refuse while its process isn't there.
func (wld *world) setUp(dmn *daemon, up bool) {
	for _, lnk := range wld.linksTo(dmn.name) {
		lnk.refuse(!up)
	}
}

func (wld *world) linksTo(name string) []*link {
	return wld.linksThat(func(lnk *link) bool { return lnk.to == name })
}

// between returns the links between daemons from and to one.
func (wld *world) between(name string) []*link {
	return wld.linksThat(func(lnk *link) bool { return lnk.daemons && (lnk.from == name || lnk.to == name) })
}

func (wld *world) linksThat(chosen func(lnk *link) bool) []*link {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	var lnks []*link
	for _, lnk := range wld.links {
		if chosen(lnk) {
			lnks = append(lnks, lnk)
		}
	}
	return lnks
}

// startAll starts all daemons and waits until they are ready.
func (wld *world) startAll() error {
	for _, dmn := range wld.daemons {
		if err := dmn.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(10 * time.Second)
	for _, dmn := range wld.daemons {
		for {
			rep, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", dmn.ip, readyPort))
			if err == nil {
				_ = rep.Body.Close()
				if rep.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s isn't ready", dmn.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// end ends all processes and stand-ins.
func (wld *world) end() {
	for _, dmn := range wld.daemons {
		dmn.signal(syscall.SIGCONT)
		dmn.signal(syscall.SIGKILL)
	}
	for _, dmn := range wld.daemons {
		dmn.await()
	}
	close(wld.ended)
	for _, srv := range wld.https {
		_ = srv.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wld.dir)
	} else {
		wld.jdg.say("logs in %s", strings.TrimPrefix(wld.dir, os.TempDir()))
	}
}
