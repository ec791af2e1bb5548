package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"chestnutstack/platform/standin"
)

// The installation: as many zones and daemons as the smallest of the users' sites need, and a service with runners of their size.
const (
	service      = "dispatch-desk"
	host         = "nony24.example"
	prefix       = "/lohu930/"
	runnerCPU    = 32000
	runnerMemory = 131072
)

var zones = []string{"peiraias", "marousi", "glyfada"}

// system is the stand-ins and daemons of a play.
type system struct {
	rec     *record
	dir     string
	program string
	store   *standin.Store
	address string
	runners []*runner
	daemons []*daemon
}

// daemon is a machine of the system and its process.
type daemon struct {
	name, zone, front, ready, settings string
	cmd                                *exec.Cmd
	over                               chan struct{}
}

// newSystem starts the stand-ins and the daemons, and waits until these are ready.
func newSystem(rec *record, program, dir string, work func(spec string) time.Duration) (*system, error) {
	sys := &system{rec: rec, dir: dir, program: program, store: standin.NewStore()}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sys.address = lis.Addr().String()
	srv := &http.Server{Handler: sys.store, ReadHeaderTimeout: time.Minute}
	rec.group.Go(func() error {
		_ = srv.Serve(lis) // It ends with the play.
		return nil
	})
	sys.configure(1)
	for _, zone := range zones {
		for num := range 2 {
			rnr, err := newRunner(fmt.Sprintf("i-%s-%d", zone, num+1), zone, rec, work)
			if err != nil {
				return nil, err
			}
			sys.runners = append(sys.runners, rnr)
			sys.list(rnr)
		}
	}
	for _, zone := range zones {
		if err := sys.startDaemon("front-"+zone+"-1", zone); err != nil {
			return sys, err
		}
	}
	return sys, sys.awaitReady()
}

// configure publishes a desired state with one route.
func (sys *system) configure(version int) {
	sys.store.Put("keyed.op", "config", map[string]any{"Version": version, "Routes": []map[string]any{{
		"Name": "queue", "Host": host, "PathPrefix": prefix, "Service": service, "Priority": 0, "Attempts": 4,
		"Stretch": 1.6, "TargetLatencyMs": 60,
	}}})
}

// list writes a runner's entry.
func (sys *system) list(rnr *runner) {
	sys.store.Put("keyed.servers", rnr.id, map[string]any{
		"Service": service, "Address": rnr.address, "Zone": rnr.zone, "Version": "1", "Slots": 8, "State": "ready", "SeqNo": 1,
		"Capacity": map[string]int{"Cpu": runnerCPU, "MemMb": runnerMemory}, "Labels": []string{"a", "rack-" + rnr.zone},
	})
}

// startDaemon starts a daemon as the deploy file says, with free ports.
func (sys *system) startDaemon(name, zone string) error {
	base, err := freePorts()
	if err != nil {
		return err
	}
	adr := func(off int) string { return fmt.Sprintf("127.0.0.1:%d", base+off) }
	dmn := &daemon{name: name, zone: zone, front: adr(0), ready: adr(1), settings: filepath.Join(sys.dir, name+".conf")}
	var lines strings.Builder
	fmt.Fprintf(&lines, "Node=%s\nRole=entry\nMachineClass=front\nServes=front\nIp=127.0.0.1\nZone=%s\nRegion=attiki\n", name, zone)
	for _, zon := range zones {
		fmt.Fprintf(&lines, "Zones.%s=attiki\n", zon)
	}
	fmt.Fprintf(&lines, "Listen.Front=%s\nListen.Ready=%s\nInternalPortRange=%d,%d\nplatform.Address=%s\n", dmn.front, dmn.ready,
		base+2, base+portsPerDaemon-1, sys.address)
	lines.WriteString(bounds)
	if err := os.WriteFile(dmn.settings, []byte(lines.String()), 0o600); err != nil {
		return err
	}
	sys.daemons = append(sys.daemons, dmn)
	return sys.startProcess(dmn)
}

// bounds are the other settings of DEPLOY.md.
const bounds = `Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.HoldMaxMs=1000
Bounds.StopMs=50
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.ResendMs=1300
Orders=dispatch
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.ReadMbS=80.0
`

// portsPerDaemon is the number of ports of a daemon.
const portsPerDaemon = 8

// freePorts returns the first of some ports on 127.0.0.1 that are free now.
func freePorts() (int, error) {
	for range 200 {
		base := 20000 + portsPerDaemon*rand.IntN(1400)
		if allFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(base int) bool {
	for off := range portsPerDaemon {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+off))
		if err != nil {
			return false
		}
		_ = lis.Close() // Nothing was accepted.
	}
	return true
}

// startProcess starts a daemon's process; its log goes to the temporary folder.
func (sys *system) startProcess(dmn *daemon) error {
	out, err := os.OpenFile(filepath.Join(sys.dir, dmn.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(sys.program) //nolint:forbidigo // the play's subject is processes
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CHESTNUTSTACK_BOOT=" + dmn.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	over := make(chan struct{})
	dmn.cmd, dmn.over = cmd, over
	sys.rec.notef("%s starts", dmn.name)
	sys.rec.group.Go(func() error {
		err := cmd.Wait()
		_ = out.Close() // The process has written all that it will.
		sys.rec.notef("%s has ended: %v", dmn.name, err)
		close(over)
		return nil
	})
	return nil
}

// awaitReady waits until all daemons have said for a while that they are ready.
func (sys *system) awaitReady() error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, dmn := range sys.daemons {
			if isReady(dmn.ready) {
				ready++
			}
		}
		if ready == len(zones) {
			time.Sleep(3 * time.Second) // The daemons find each other and the runners.
			return nil
		}
	}
	return errors.New("the daemons don't get ready")
}

func isReady(address string) bool {
	rep, err := http.Get("http://" + address + "/api/ready") //nolint:noctx // the daemon answers at once
	if err != nil {
		return false
	}
	defer func() { _ = rep.Body.Close() }()
	return rep.StatusCode == http.StatusOK
}

// end kills the processes that still run.
func (sys *system) end() {
	sys.rec.over.Store(true)
	for _, dmn := range sys.daemons {
		_ = dmn.cmd.Process.Signal(syscall.SIGKILL) // It may have ended.
		<-dmn.over
	}
}

// reply is the answer to a client's call.
type reply struct {
	status int
	body   string
	err    error
}

// do sends a client's request on a channel of its own and notes it and its answer.
func (sys *system) do(ctx context.Context, method, front, path string, deadline time.Duration, body any) reply {
	var src io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return reply{err: err}
		}
		src = strings.NewReader(string(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, src)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chestnutstack-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	sys.rec.notef("client sends %s %s to %s", method, path, front)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rep, err := client.Do(req)
	if err != nil {
		sys.rec.notef("client gets no answer to %s %s: %v", method, path, err)
		return reply{err: err}
	}
	defer func() { _ = rep.Body.Close() }()
	data, err := io.ReadAll(rep.Body)
	sys.rec.notef("client gets %d %s to %s %s", rep.StatusCode, strings.TrimSpace(string(data)), method, path)
	return reply{status: rep.StatusCode, body: string(data), err: err}
}
