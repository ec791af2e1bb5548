package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callerPort = 8161
	readyPort  = 8167
	peerPort   = 7720
)

// daemon is a machine of the system and the process on it.
type daemon struct {
	name, zone, ip, store, dir string
	zones                      []string
	jdg                        *judge

	// troubles lets one trouble at a time strike.
	troubles sync.Mutex

	mu    sync.Mutex
	lives int
	cmd   *exec.Cmd
	over  chan struct{}
	meant bool
}

func (dmn *daemon) front() string { return net.JoinHostPort(dmn.ip, fmt.Sprint(callerPort)) }

// settings are those of the small deployment kea-attiki, with addresses of this play.
func (dmn *daemon) settings() string {
	zones := ""
	for _, zon := range dmn.zones {
		zones += "Zones." + zon + "=attiki\n"
	}
	return strings.NewReplacer("NAME", dmn.name, "ZONES\n", zones, "ZONE", dmn.zone, "IP", dmn.ip, "STORE", dmn.store).Replace(`Node=NAME
Role=entry
MachineClass=front
Serves=front
Ip=IP
Zone=ZONE
Region=attiki
ZONES
Listen.Front=IP:8161
Listen.Ready=IP:8167
Listen.Control=IP:8166
InternalPortRange=7720,7735
Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.RecoverS=12
Bounds.HoldMaxMs=1000
Bounds.StopMs=50
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.ResendMs=1300
Orders=dispatch
platform.Address=STORE
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.AppendMs=3.0
platform.ReadMbS=80.0
`)
}

func (dmn *daemon) start() error {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	dmn.lives++
	path := filepath.Join(dmn.dir, dmn.name+".conf")
	if err := os.WriteFile(path, []byte(dmn.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dmn.dir, fmt.Sprintf("%s.%d.log", dmn.name, dmn.lives)))
	if err != nil {
		return err
	}
	cmd := exec.Command(program()) //nolint:forbidigo // the subject of the play is processes
	cmd.Env = append(os.Environ(), "CHESTNUTSTACK_BOOT="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	over := make(chan struct{})
	dmn.cmd, dmn.over, dmn.meant = cmd, over, false
	dmn.jdg.say("%s starts", dmn.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		dmn.mu.Lock()
		meant := dmn.meant
		dmn.mu.Unlock()
		dmn.jdg.say("%s has ended: %v", dmn.name, err)
		if !meant {
			dmn.jdg.mu.Lock()
			dmn.jdg.breaks("Fault", "%s ended by itself: %v", dmn.name, err)
			dmn.jdg.mu.Unlock()
		}
		close(over)
	}()
	return nil
}

func (dmn *daemon) signal(sig syscall.Signal) {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	if dmn.cmd == nil {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		dmn.meant = true
	}
	dmn.jdg.say("%s gets %v", dmn.name, sig)
	_ = dmn.cmd.Process.Signal(sig)
}

// await waits for the end of the process, and kills it after its time to stop.
func (dmn *daemon) await() {
	dmn.mu.Lock()
	over := dmn.over
	dmn.mu.Unlock()
	if over == nil {
		return
	}
	select {
	case <-over:
	case <-time.After(6 * time.Second):
		dmn.signal(syscall.SIGCONT)
		dmn.signal(syscall.SIGKILL)
		<-over
	}
}

// program returns the path of the daemon's program.
func program() string {
	if path := os.Getenv("RIG_PROGRAM"); path != "" {
		return path
	}
	return "target/chestnutstackd"
}
