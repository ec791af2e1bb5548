// Command rig-3 plays the cases of review/9 to review/13: daemons as processes, stand-ins for all else, on loopback and the real clock.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	unfit  = 2
)

// cancelTime and ackTime are the figures of the settings, contact is how long a machine has to be calm to be in touch.
const (
	cancelTime = 3 * time.Second
	ackTime    = 4 * time.Second
	contact    = 3 * time.Second
)

// cases are the plays by name. Each returns the broken rules, or an error if it couldn't be played.
var cases = map[string]func(ctx context.Context, dep *deployment) ([]string, error){
	"route-replaced": routeReplaced,
	"route-dropped":  routeDropped,
	"fresh-daemon":   freshDaemon,
	"restart-wave":   restartWave,
	"late-copy":      lateCopy,
	"zone-refuses":   zoneRefuses,
	"other-kind":     otherKind,
	"many-large":     manyLarge,
	"bounded-large":  boundedLarge,
	"other-label":    otherLabel,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		return unfit
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unfit
	}
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unfit
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // The record has what matters.
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	dep, err := newDeployment(rec, dir, os.Getenv("TROUBLE") != "0")
	if err == nil {
		defer dep.end()
		endOnSignal(dep)
		dep.configure(route{name: "r-73hh2b9", prefix: firstQueue})
		if os.Args[1] == "zone-refuses" {
			err = dep.joinZones()
		}
	}
	if err == nil {
		if err = dep.startAll(); err == nil {
			return report(ctx, rec, dep)
		}
	}
	rec.note("the case can't be played: %v", err)
	return unfit
}

// endOnSignal ends all processes that were started if the play is broken off.
func endOnSignal(dep *deployment) {
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-sigs
		dep.end()
		os.Exit(unfit)
	}()
}

// report plays the case and writes its result.
func report(ctx context.Context, rec *record, dep *deployment) int {
	brk, err := cases[os.Args[1]](ctx, dep)
	if err != nil {
		rec.note("the case can't be played: %v", err)
		return unfit
	}
	for _, line := range brk {
		rec.note("broken %s: %s", ruleOf(os.Args[1]), line)
	}
	if len(brk) > 0 {
		return broken
	}
	rec.note("no rule is broken")
	return held
}

// ruleOf returns the rule that a case is about.
func ruleOf(name string) string {
	switch name {
	case "other-kind":
		return "LIMIT"
	case "other-label":
		return "ROUTE"
	case "many-large", "bounded-large":
		return "Fault"
	}
	return "UNASKED"
}

const firstQueue = "/lohu930/"

// chain returns a client's job of a chain of tasks.
func chain(num, steps int, patience time.Duration) *job {
	return &job{id: fmt.Sprintf("5c0e7a21d94b%04x", num), prefix: firstQueue, steps: steps, takes: time.Second, patience: patience}
}

// cancelOf is the cancelling of a job: when it was first sent, and acknowledged if it was.
type cancelOf struct {
	jb          *job
	sent, acked time.Time
	status      int
}

// cancelJob sends the cancelling of a job to a daemon, and then to the next ones until it is acknowledged, for at most ackTime.
func (dep *deployment) cancelJob(ctx context.Context, dmn *daemon, jb *job) *cancelOf {
	cnc := &cancelOf{jb: jb, sent: time.Now()}
	for num := slices.Index(dep.daemons, dmn); time.Since(cnc.sent) < ackTime; num++ {
		if cnc.status = dep.call(ctx, dep.daemons[num%len(dep.daemons)], http.MethodDelete, jb, nil); acknowledged(cnc.status) {
			cnc.acked = time.Now()
			return cnc
		}
		time.Sleep(500 * time.Millisecond)
	}
	return cnc
}

// lateStarts returns the tasks of a cancelled job that start later than cancelTime after the cancelling was acknowledged, or had waited ackTime for that,
// and not before calm, from when on all machines were in touch.
func (dep *deployment) lateStarts(cnc *cancelOf, calm time.Time) []string {
	how, from := fmt.Sprintf("acknowledged with %d", cnc.status), cnc.acked
	if cnc.acked.IsZero() {
		how, from = "not acknowledged in time", cnc.sent.Add(ackTime)
	}
	after := from.Add(cancelTime)
	if calm.After(after) {
		after = calm
	}
	var lines []string
	for _, st := range dep.rec.startsOf(cnc.jb.id, after) {
		lines = append(lines, fmt.Sprintf("task %s run %d starts at %.3f, its job's cancelling was sent at %.3f and %s at %.3f",
			st.task, st.number, dep.rec.since(st.at), dep.rec.since(cnc.sent), how, dep.rec.since(from)))
	}
	return lines
}

// cancelAll cancels each job at the daemon after the one that has it, and returns the cancellings.
func (dep *deployment) cancelAll(ctx context.Context, jbs []*job) []*cancelOf {
	cncs := make([]*cancelOf, len(jbs))
	var wgr sync.WaitGroup
	for num, jb := range jbs {
		wgr.Go(func() { cncs[num] = dep.cancelJob(ctx, dep.daemons[(num+1)%len(dep.daemons)], jb) })
	}
	wgr.Wait()
	return cncs
}

// cancelAfterChange has a job at each daemon, changes the desired state meanwhile, cancels the jobs and returns what starts too late.
func cancelAfterChange(ctx context.Context, dep *deployment, changed route) []string {
	var wgr sync.WaitGroup
	var jbs []*job
	for num, dmn := range dep.daemons {
		jbs = append(jbs, chain(num, 18, 25*time.Second))
		dep.submit(ctx, &wgr, dmn, jbs[num])
	}
	time.Sleep(time.Second)
	if dep.trouble {
		dep.configure(changed)
	}
	time.Sleep(3 * time.Second) // Longer than ConfigApplyMs.
	cncs := dep.cancelAll(ctx, jbs)
	time.Sleep(2 * cancelTime)
	var lines []string
	for _, cnc := range cncs {
		lines = append(lines, dep.lateStarts(cnc, time.Time{})...)
	}
	return lines
}

// routeReplaced replaces the route of running jobs by another one of the same host and path prefix.
func routeReplaced(ctx context.Context, dep *deployment) ([]string, error) {
	return cancelAfterChange(ctx, dep, route{name: "r-d3zji9n", prefix: firstQueue}), nil
}

// routeDropped removes the route of running jobs.
func routeDropped(ctx context.Context, dep *deployment) ([]string, error) {
	return cancelAfterChange(ctx, dep, route{name: "r-d3zji9n", prefix: "/pufi791/"}), nil
}

// lateCopy has a job that is submitted again after its channel broke and then cancelled; a late copy of the request arrives seconds after the answer.
func lateCopy(ctx context.Context, dep *deployment) ([]string, error) {
	var wgr sync.WaitGroup
	jb := chain(1, 12, 20*time.Second)
	first, breakOff := context.WithCancel(ctx)
	dep.submit(first, &wgr, dep.daemons[0], jb)
	time.Sleep(300 * time.Millisecond)
	breakOff()
	time.Sleep(1300 * time.Millisecond) // ResendMs
	dep.submit(ctx, &wgr, dep.daemons[2], jb)
	time.Sleep(1500 * time.Millisecond)
	cnc := dep.cancelJob(ctx, dep.daemons[2], jb)
	time.Sleep(cancelTime + time.Second)
	if dep.trouble {
		dep.submit(ctx, &wgr, dep.daemons[4], jb)
	}
	time.Sleep(4 * time.Second)
	return dep.lateStarts(cnc, time.Time{}), nil
}

// zoneRefuses partitions the zone of the daemon that has a job from the others, with channels refused, and has the job cancelled in another zone.
func zoneRefuses(ctx context.Context, dep *deployment) ([]string, error) {
	var wgr sync.WaitGroup
	jb := chain(1, 25, 30*time.Second)
	zone := dep.zones[0]
	dep.submit(ctx, &wgr, dep.daemons[0], jb)
	time.Sleep(1500 * time.Millisecond)
	if dep.trouble {
		dep.cutZone(zone)
	}
	time.Sleep(2 * time.Second)
	cnc := dep.cancelJob(ctx, dep.daemons[2], jb)
	time.Sleep(3 * time.Second)
	if dep.trouble {
		if err := dep.healZone(zone); err != nil {
			return nil, err
		}
	}
	calm := dep.disturbedAt.Add(contact)
	time.Sleep(contact + 2*cancelTime)
	return dep.lateStarts(cnc, calm), nil
}
