package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manyTasks is how many tasks a job of the users has at most.
	manyTasks = 1300
	// longName is the length of the rack's name, with which the body is below the MaxBodyBytes of the desired state.
	longName = 240_000
	// memoryLimit is Limits.MemoryMb, in kB.
	memoryLimit = 284 << 10
	// memoryLook is the pause between two looks at the memory of a process.
	memoryLook = 10 * time.Millisecond
	// sending is for how long a client sends its job again while it gets no answer, resendAfter the pause before that (ResendMs).
	sending         = 60 * time.Second
	resendAfter     = 1300 * time.Millisecond
	patienceOfLarge = 8 * time.Second
	// otherGap is the pause between two jobs of other clients.
	otherGap = 100 * time.Millisecond
	// mostEnds is how often processes of mostMachines machines end by themselves on a day that counts.
	mostEnds, mostMachines = 3, 2
)

// playMemory has one client hand in one job, and send it again while it gets no answer. The platform kills a process that exceeds its memory and starts it
// again.
func (sys *system) playMemory(trouble bool) error {
	done := make(chan struct{})
	var grp sync.WaitGroup
	for _, dmn := range sys.daemons {
		grp.Go(func() { sys.watchMemory(dmn, done) })
	}
	var lost, served atomic.Int64
	grp.Go(func() { sys.sendOthers(done, &served, &lost) })
	rack := "r1-3"
	if trouble {
		rack = strings.Repeat("r", longName)
	}
	sys.sendLarge(rack)
	close(done)
	grp.Wait()
	sys.rec.note("jobs of other clients: %d served, %d without an answer", served.Load(), lost.Load())
	return nil
}

// sendLarge sends the job until it has an answer.
func (sys *system) sendLarge(rack string) {
	body := fmt.Appendf(nil, `{"Spec":"takes 50","BestEffort":true,"Steps":[{"Count":%d,"Cpu":100,"MemMb":1,"EstRuntimeMs":50,"DataRack":"%s"}]}`, manyTasks, rack)
	for began, num := time.Now(), 0; time.Since(began) < sending; num++ {
		dmn := sys.daemons[num%len(sys.daemons)]
		sys.rec.note("client sends a job of %d tasks with a body of %d bytes to %s", manyTasks, len(body), dmn.name)
		ans := call(http.MethodPost, dmn, "0000feed0000feed", body, patienceOfLarge)
		sys.rec.note("client gets %s from %s", ans, dmn.name)
		if ans.status != 0 && ans.status != http.StatusBadGateway && ans.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendAfter)
	}
}

// sendOthers sends small jobs, and counts those without an answer.
func (sys *system) sendOthers(done chan struct{}, served, lost *atomic.Int64) {
	for num := 0; ; num++ {
		select {
		case <-done:
			return
		case <-time.After(otherGap):
		}
		jb := sys.newJob(fmt.Sprintf("%08x%08x", 0xabba, num), 1, 60*time.Millisecond, 1500*time.Millisecond)
		switch ans := sys.submit(sys.daemons[num%len(sys.daemons)], jb); ans.status {
		case http.StatusOK:
			served.Add(1)
		case 0:
			lost.Add(1)
		}
	}
}

// watchMemory kills the process of a machine when it exceeds its memory, and starts the next one.
func (sys *system) watchMemory(dmn *daemon, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryLook):
		}
		kilobytes := dmn.memory()
		if kilobytes <= memoryLimit {
			continue
		}
		dmn.overMemory++
		sys.rec.note("%s has %d kB, over its limit of %d, and is killed", dmn.name, kilobytes, memoryLimit)
		dmn.kill()
		time.Sleep(restartDelay)
		sys.rec.note("%s starts again", dmn.name)
		if err := dmn.start(); err != nil {
			sys.rec.note("%s does not start: %v", dmn.name, err)
			return
		}
	}
}

// memory returns the resident memory of the process in kB, 0 if it is not known.
func (dmn *daemon) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", dmn.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, found := strings.CutPrefix(string(line), "VmRSS:"); found {
			num, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return num
		}
	}
	return 0
}

// judgeMemory looks for machines whose processes have ended too often.
func (sys *system) judgeMemory() int {
	machines := 0
	for _, dmn := range sys.daemons {
		sys.rec.note("%s exceeded its memory %d times", dmn.name, dmn.overMemory)
		if dmn.overMemory >= mostEnds {
			machines++
		}
	}
	if machines >= mostMachines {
		sys.rec.note("Fault: processes of %d machines of %d have ended %d times or more for their memory", machines, len(sys.daemons), mostEnds)
		return statusBroken
	}
	return statusHeld
}
