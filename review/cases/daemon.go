package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of each daemon, on an address of its own.
const (
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	firstPort   = 7720
	lastPort    = 7735
)

// restartDelay is how long a process is gone that was killed: less than the two checks after which the platform sends no channels there.
const restartDelay = 500 * time.Millisecond

// daemon is a machine of the system and its process.
type daemon struct {
	name, zone, ip, store string
	program, dir          string
	lives                 int
	// overMemory counts how often a process was killed for its memory.
	overMemory int
	cmd        *exec.Cmd
}

// settings returns the settings file as the platform's pages show it.
func (dmn *daemon) settings() string {
	var txt strings.Builder
	fmt.Fprintf(&txt, "Node=%s\nRole=entry\nMachineClass=front\nServes=front\nIp=%s\nZone=%s\nRegion=attiki\n", dmn.name, dmn.ip, dmn.zone)
	for _, zon := range zones {
		fmt.Fprintf(&txt, "Zones.%s=attiki\n", zon)
	}
	fmt.Fprintf(&txt, "Listen.Front=%[1]s:%[2]d\nListen.Ready=%[1]s:%[3]d\nListen.Control=%[1]s:%[4]d\nInternalPortRange=%[5]d,%[6]d\n",
		dmn.ip, frontPort, readyPort, controlPort, firstPort, lastPort)
	fmt.Fprintf(&txt, "Bootstrap=true\nCountsAsLoss=false\nOrders=dispatch\nDiscovery=platform\nEntry=virtual_ip\nHeartbeatMs=1500\n")
	fmt.Fprintf(&txt, "Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n")
	fmt.Fprintf(&txt, "Limits.CpuShare=0.4\nLimits.Cores=1\nLimits.MemoryMb=284\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n")
	fmt.Fprintf(&txt, "Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.DrainMs=2000\nBounds.GraceS=6\nBounds.ConfigApplyMs=2000\n")
	fmt.Fprintf(&txt, "Bounds.HoldMaxMs=1000\nBounds.StopMs=50\nBounds.cancel_ms=%d\nBounds.ResendMs=1300\nBounds.status_s=120\n", cancelBound.Milliseconds())
	fmt.Fprintf(&txt, "platform.Address=%s\nplatform.form=log\nplatform.WritesPerS=600\nplatform.ReadsPerS=2000\nplatform.ReadMbS=80.0\n", dmn.store)
	return txt.String()
}

// started has the processes that run, for the end of the case.
var started struct {
	mu   sync.Mutex
	cmds map[*exec.Cmd]bool
	// over is set once no process is to start any more.
	over bool
}

var errOver = errors.New("the case has ended")

// start starts the next life of the process with the command of the deploy file.
func (dmn *daemon) start() error {
	path := filepath.Join(dmn.dir, dmn.name+".conf")
	if err := os.WriteFile(path, []byte(dmn.settings()), 0o600); err != nil {
		return err
	}
	dmn.lives++
	out, err := os.Create(filepath.Join(dmn.dir, fmt.Sprintf("%s.%d.log", dmn.name, dmn.lives)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // The process has a copy.
	cmd := exec.Command(dmn.program)   //nolint:forbidigo // the subject of the case is processes
	cmd.Env = append(os.Environ(), "CHESTNUTSTACK_BOOT="+path)
	cmd.Stdout, cmd.Stderr = out, out
	// In a group of its own: the kernel has the stopped processes of a group go on that loses its session's shell.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.over {
		return errOver
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if started.cmds == nil {
		started.cmds = map[*exec.Cmd]bool{}
	}
	started.cmds[cmd] = true
	dmn.cmd = cmd
	return nil
}

// kill ends the process as a SIGKILL of the platform does.
func (dmn *daemon) kill() {
	_ = dmn.cmd.Process.Kill() // It may have ended.
	_ = dmn.cmd.Wait()         // It was killed.
	started.mu.Lock()
	defer started.mu.Unlock()
	delete(started.cmds, dmn.cmd)
}

// signal stops the process or has it go on.
func (dmn *daemon) signal(sig syscall.Signal) { _ = dmn.cmd.Process.Signal(sig) }

// killAll ends all processes that the case has started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for cmd := range started.cmds {
		_ = cmd.Process.Kill() // It may have ended.
		_ = cmd.Wait()         // It was killed.
	}
	started.cmds, started.over = nil, true
}
