package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/dispatch"
)

// scenario is a workload with a fault in its middle third.
type scenario struct {
	trf          traffic
	injectFaults func(cls *cluster, middle time.Duration)
}

var scenarios = map[string]scenario{
	"1 calm": {trf: traffic{load: 0.5}},
	// Half of the jobs come to one of the six entry instances, since the balancer is skewed.
	"2 skewed balancer": {trf: traffic{load: 0.5, skew: 0.4}},
	// The first partner submits four times as much as usual: the pool is overloaded.
	"3 partner burst": {trf: traffic{load: 0.5, burst: 4}},
	// An entry instance dies with slots lent and borrowed; the list shows it a second later.
	"4 entry death": {trf: traffic{load: 0.5}, injectFaults: func(cls *cluster, middle time.Duration) {
		cls.after(middle, func() { cls.entries[2].dead = true })
		cls.after(middle+time.Second, cls.publish)
	}},
	// Three backend servers fail every task within a millisecond and look idle.
	"5 servers fail everything": {trf: traffic{load: 0.5}, injectFaults: func(cls *cluster, middle time.Duration) {
		for _, srv := range cls.servers[:3] {
			cls.after(middle, func() { srv.failAll = true })
			cls.after(2*middle, func() { srv.failAll = false })
		}
	}},
	// A rack loses power; its six backend servers come back after the middle third.
	"6 rack gone": {trf: traffic{load: 0.5}, injectFaults: func(cls *cluster, middle time.Duration) {
		for _, srv := range cls.servers {
			if srv.rack == cls.servers[0].rack {
				cls.after(middle, srv.crash)
				cls.after(2*middle, srv.restart)
			}
		}
	}},
	// All connections between one entry instance and ten servers go silent; new ones work.
	"7 silent connections": {trf: traffic{load: 0.5}, injectFaults: func(cls *cluster, middle time.Duration) {
		cls.after(middle, func() {
			for _, srv := range cls.servers[:10] {
				for _, ent := range cls.entries {
					if ses := ent.sessions[srv.id]; ses != nil {
						ses.silent = true
					}
				}
			}
		})
	}},
}

// run runs the scenario for the duration on the shape riga; its faults begin after a third of that time.
func (scn scenario) run(duration time.Duration) (*outcome, *workload) {
	scn.trf.duration = duration
	scn.trf.misdeclared = 1
	wkl := newWorkload(riga, scn.trf, *measureSeed)
	out := runDispatchers(riga, dispatch.DefaultConfig(), scn.trf, wkl, *measureSeed, func(cls *cluster) {
		if scn.injectFaults != nil {
			scn.injectFaults(cls, duration/3)
		}
	})
	return out, wkl
}

// middle returns the response ratios of one partner's jobs that were due in the middle third.
func (wkl *workload) middle(partner string, duration time.Duration) []float64 {
	var ratios []float64
	for _, sjb := range wkl.jobs {
		since := sjb.due.Sub(simStart)
		if sjb.verdict == "done" && string(sjb.class.Owner) == partner && since > duration/3 && since < 2*duration/3 {
			ratios = append(ratios, float64(sjb.ended.Sub(sjb.due))/float64(sjb.longest))
		}
	}
	slices.Sort(ratios)
	return ratios
}

// scenarioNames returns the sorted names of the scenarios.
func scenarioNames() []string {
	var names []string
	for name := range scenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func TestMeasureScenarios(tst *testing.T) {
	if !*measure {
		tst.Skip("prints a table; run with -measure -v")
	}
	fmt.Printf("\nRiga, 50%% load, seed %d, %s\n\n", *measureSeed, *measureLong)
	fmt.Println("| scenario | partner-0 p50 | p99 | partner-1 p50 | p99 | wasted | done | failed | may have run | refused | left |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range scenarioNames() {
		out, wkl := scenarios[name].run(*measureLong)
		one, two := wkl.middle("partner-0", *measureLong), wkl.middle("partner-1", *measureLong)
		counts := map[string]int{}
		for _, sjb := range wkl.jobs {
			word, _, _ := strings.Cut(sjb.verdict, " ")
			counts[word]++
		}
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %.3f | %.2f%% | %d | %d | %d | %d | %d |\n", name,
			quantile(one, 0.5), quantile(one, 0.99), quantile(two, 0.5), quantile(two, 0.99),
			100*out.waste(), counts["done"], counts["failed"], counts["may-have-run"], out.refused, out.openJobs)
	}
}

// Under each fault, tasks in flight on the affected instances may fail. No task may start twice, no job may stay
// open, and jobs may be lost only with the entry instance that died.
func TestScenarios(tst *testing.T) {
	for _, name := range scenarioNames() {
		tst.Run(name, func(tst *testing.T) {
			iss := is.New(tst)
			out, wkl := scenarios[name].run(6 * time.Second)
			iss.Equal(out.doubleStarts, 0) // no task started twice
			openJobs := 0
			for _, sjb := range wkl.jobs {
				if sjb.verdict == "" && sjb.entry != 2 {
					openJobs++
				}
			}
			iss.Equal(openJobs, 0) // no job stays open on a live entry instance
			iss.True(out.failed < len(wkl.jobs)/10)
		})
	}
}
