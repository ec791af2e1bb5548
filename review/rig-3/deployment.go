package main

import (
	"context"
	"errors"
	"fmt"
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

// The ports of a daemon, each on a loopback address of its own, and the names of the deployment.
const (
	frontPort, readyPort, controlPort, lowPort, highPort = 18161, 18167, 18166, 17720, 17735
	host, service                                        = "nony24.example", "huvo11a"
)

// storeAnswer is how long the store takes for an answer.
const storeAnswer = 4 * time.Millisecond

// deployment is a small deployment on loopback: daemons as processes, the rest as stand-ins in this process.
type deployment struct {
	rec      *record
	dir      string
	trouble  bool
	subnet   string
	sto      *standin.Store
	storeAdr string
	zones    []string
	runners  []*runner
	daemons  []*daemon
	servers  []*http.Server
	ways     []*way
	version  int
	// timeout is TimeoutMs of all routes.
	timeout time.Duration
	client  *http.Client
	// disturbedAt is when the last daemon was disturbed.
	disturbedAt time.Time
}

// daemon is a machine of the system and its process.
type daemon struct {
	name, zone, ip, conf string
	// storeAdr is where the daemon finds the store.
	storeAdr string
	cmd      *exec.Cmd
	log      *os.File
	lives    int
}

var errNoSubnet = errors.New("no free loopback addresses")

func newDeployment(rec *record, dir string, trouble bool) (*deployment, error) {
	dep := &deployment{
		rec: rec, dir: dir, trouble: trouble, timeout: 30 * time.Second, sto: standin.NewStore(), zones: []string{"riga-a", "riga-b", "riga-c"},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	dep.sto.SetDelay(storeAnswer)
	for num := 1; num < 200 && dep.subnet == ""; num++ {
		sub := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%200, num)
		if free(sub) {
			dep.subnet = sub
		}
	}
	if dep.subnet == "" {
		return nil, errNoSubnet
	}
	var err error
	if dep.storeAdr, err = dep.serve(dep.sto); err != nil {
		return nil, err
	}
	for _, zone := range dep.zones {
		for num := range 4 {
			if err := dep.addRunner(fmt.Sprintf("i-%s-%d", zone, num+1), zone, num); err != nil {
				return nil, err
			}
		}
		for num := range 2 {
			dep.daemons = append(dep.daemons, &daemon{
				name: fmt.Sprintf("front-%s-%d", zone, num+1), zone: zone, ip: fmt.Sprintf("%s.%d", dep.subnet, len(dep.daemons)+1),
			})
		}
	}
	for _, dmn := range dep.daemons {
		dmn.storeAdr = dep.storeAdr
	}
	return dep, nil
}

// free reports whether nothing listens on the ports of a subnet's first addresses.
func free(subnet string) bool {
	for num := range 8 {
		for _, port := range []int{frontPort, readyPort, lowPort, lowPort + 1} {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, num+1, port))
			if err != nil {
				return false
			}
			_ = lis.Close() // Nobody has connected.
		}
	}
	return true
}

// serve answers on a free port until the end.
func (dep *deployment) serve(hdl http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	dep.servers = append(dep.servers, srv)
	go func() { _ = srv.Serve(lis) }() // It ends with the rig.
	return lis.Addr().String(), nil
}

func (dep *deployment) addRunner(id, zone string, num int) error {
	rnr := newRunner(id, zone, dep.rec, "a", fmt.Sprintf("r-%s-%d", zone, num/2))
	if err := rnr.listen(); err != nil {
		return err
	}
	dep.runners = append(dep.runners, rnr)
	dep.list(rnr)
	return nil
}

// list writes the entry of a runner.
func (dep *deployment) list(rnr *runner) { dep.sto.Put("keyed.servers", rnr.id, rnr.entry()) }

// route is a queue of the desired state.
type route struct{ name, prefix string }

// configure writes a desired state.
func (dep *deployment) configure(rts ...route) {
	dep.version += 3
	rows := []map[string]any{}
	names := []string{}
	for _, rte := range rts {
		rows = append(rows, map[string]any{
			"Name": rte.name, "Host": host, "PathPrefix": rte.prefix, "Kind": "non_idempotent", "TimeoutMs": dep.timeout.Milliseconds(), "TargetLatencyMs": 60, "Priority": 1,
			"Service": service, "Attempts": 4, "Stretch": 1.6,
		})
		names = append(names, rte.name+" "+rte.prefix)
	}
	dep.sto.Put("keyed.op", "config", map[string]any{
		"Version": dep.version, "Routes": rows,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Standby": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	dep.rec.note("store  desired state %d acknowledged: %s", dep.version, strings.Join(names, ", "))
}

// settings returns the settings file of a daemon, with the figures of a small deployment.
func (dep *deployment) settings(dmn *daemon) string {
	lines := []string{
		"Node=" + dmn.name, "Role=entry", "MachineClass=front", "Serves=front", "Ip=" + dmn.ip, "Zone=" + dmn.zone, "Region=riga",
		fmt.Sprintf("Listen.Front=%s:%d", dmn.ip, frontPort), fmt.Sprintf("Listen.Ready=%s:%d", dmn.ip, readyPort),
		fmt.Sprintf("Listen.Control=%s:%d", dmn.ip, controlPort), fmt.Sprintf("InternalPortRange=%d,%d", lowPort, highPort),
		"Bootstrap=true", "CountsAsLoss=false", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0",
		"Limits.DiskMb=0", "Discovery=platform", "Entry=virtual_ip", "HeartbeatMs=1500", "FaultTolerance.Machines=1", "FaultTolerance.Zones=1",
		"Bounds.SeedLagS=3", "Bounds.AddrReuseS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=6",
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.RecoverS=12",
		"Bounds.HoldMaxMs=1000", "Bounds.StopMs=50", "Bounds.cancel_ms=3000", "Bounds.LeaseMs=3000", "Bounds.ResendMs=1300", "Orders=dispatch",
		"platform.Address=" + dmn.storeAdr, "platform.form=log", "platform.WritesPerS=600", "platform.ReadsPerS=2000", "platform.parts=16", "platform.ReadMbS=80.0",
	}
	for _, zone := range dep.zones {
		lines = append(lines, "Zones."+zone+"=riga")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a daemon by the deploy file's command.
func (dep *deployment) start(dmn *daemon) error {
	dmn.conf = filepath.Join(dep.dir, dmn.name+".conf")
	if err := os.WriteFile(dmn.conf, []byte(dep.settings(dmn)), 0o600); err != nil {
		return err
	}
	dmn.lives++
	dep.disturbedAt = time.Now()
	var err error
	if dmn.log, err = os.Create(filepath.Join(dep.dir, fmt.Sprintf("%s.%d.log", dmn.name, dmn.lives))); err != nil {
		return err
	}
	dmn.cmd = exec.Command("target/chestnutstackd") //nolint:forbidigo // the cases are about processes
	dmn.cmd.Env = []string{"CHESTNUTSTACK_BOOT=" + dmn.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + dep.dir}
	dmn.cmd.Stdout, dmn.cmd.Stderr = dmn.log, dmn.log
	if err := dmn.cmd.Start(); err != nil {
		return err
	}
	dep.rec.note("signal %s is started, life %d", dmn.name, dmn.lives)
	return nil
}

// signal sends a signal to the process of a daemon.
func (dep *deployment) signal(dmn *daemon, sig syscall.Signal) {
	dep.disturbedAt = time.Now()
	dep.rec.note("signal %s gets %s", dmn.name, sig)
	_ = dmn.cmd.Process.Signal(sig) // Its end shows in Wait.
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		_ = dmn.cmd.Wait() // A killed process ends with an error.
	}
}

// readyTimeout is how long the platform's check of readiness waits.
const readyTimeout = time.Second

// ready returns the status of a daemon's readiness, 0 without an answer.
func (dep *deployment) ready(dmn *daemon) int {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/ready", dmn.ip, readyPort), nil)
	if err != nil {
		return 0
	}
	rep, err := dep.client.Do(req)
	if err != nil {
		return 0
	}
	_ = rep.Body.Close() // Nothing is read of it.
	return rep.StatusCode
}

var errNotReady = errors.New("the daemons are not ready in time")

// startAll starts all daemons and waits until they are ready and have settled.
func (dep *deployment) startAll() error {
	for _, dmn := range dep.daemons {
		if err := dep.start(dmn); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		num := 0
		for _, dmn := range dep.daemons {
			if dep.ready(dmn) == http.StatusOK {
				num++
			}
		}
		if num == len(dep.daemons) {
			time.Sleep(4 * time.Second)
			return nil
		}
	}
	return errNotReady
}

// end ends all processes that were started.
func (dep *deployment) end() {
	for _, dmn := range dep.daemons {
		if dmn.cmd != nil && dmn.cmd.Process != nil && dmn.cmd.ProcessState == nil {
			_ = dmn.cmd.Process.Signal(syscall.SIGCONT)
			_ = dmn.cmd.Process.Kill()
			_ = dmn.cmd.Wait()
		}
	}
	for _, srv := range dep.servers {
		_ = srv.Close() // Nobody needs an answer any more.
	}
	for _, rnr := range dep.runners {
		_ = rnr.srv.Close() // As above.
	}
}
