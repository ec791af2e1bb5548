package submission_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

var (
	measurePlays = flag.Bool("measure-plays", false, "play with and without each optional decision")
	fullPlays    = flag.Bool("full-plays", false, "measure whole deployments")
)

// TestPlay guards LIMIT, TWICE and REFUSED with all optional decisions, and the play itself: one in which most urgent jobs are late would compare
// nothing.
func TestPlay(t *testing.T) {
	for name, tst := range map[string]struct {
		dep  *playDeployment
		load playLoad
		// least is the least share in time of the most urgent jobs: at least three standard errors of some 110 jobs below what the play gives.
		least float64
	}{
		"first, burst":  {firstDeployment, burstLoad, 0.5},
		"first, outage": {firstDeployment, outageLoad, 0.1},
		"second, usual": {secondDeployment, usualLoad, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			rep := play(playParams{Features: shard.AllFeatures(), Deployment: tst.dep, Load: tst.load, Seed: 1, Duration: 4 * time.Second})
			t.Log(rep)
			chk := is.New(t)
			chk.Equal(len(rep.violations), 0)
			chk.True(rep.priorities[0].share(inTime) >= tst.least)
		})
	}
}

// TestMeasurePlays prints what each optional decision changes, as sums over some seeds.
func TestMeasurePlays(t *testing.T) {
	if !*measurePlays {
		t.Skip("takes minutes; see -measure-plays")
	}
	for _, load := range []playLoad{usualLoad, burstLoad, outageLoad} {
		for num, dep := range []*playDeployment{firstDeployment, secondDeployment} {
			t.Run(fmt.Sprintf("deployment %d, load %d", num+1, load), func(t *testing.T) {
				for _, fts := range []shard.Features{
					{}, {ServerSpeeds: true}, {Headroom: true}, {Preemption: true}, {Headroom: true, Preemption: true}, {Reservations: true}, shard.AllFeatures(),
				} {
					t.Logf("%+v\n%v", fts, playSeeds(playParams{Features: fts, Deployment: dep, Load: load, Duration: 8 * time.Second, FullSize: *fullPlays}))
				}
			})
		}
	}
}

// playOutcome is what a caller got.
type playOutcome int

const (
	open playOutcome = iota
	inTime
	late
	useless
	refused
	failed
	gaveUp
	playOutcomes
)

// playGroup counts jobs by outcome.
type playGroup [playOutcomes]int

// share returns the share of the jobs with an outcome.
func (grp *playGroup) share(out playOutcome) float64 {
	jobs := 0
	for _, cnt := range grp {
		jobs += cnt
	}
	return float64(grp[out]) / float64(max(jobs, 1))
}

// playReport is the result of a play. All but quarantines and violations is counted within the measured time, for jobs last sent within it.
type playReport struct {
	sim        *simulation
	fromAt, to time.Time
	priorities [shard.Priorities]playGroup
	// value is what answers earned, most what answers in time to all jobs would have, discarded the core-seconds of runs that led to no answer of
	// use.
	value, most, discarded float64
	// orders, starts and returned are counts of orders sent, runs started and orders returned; recalls are no orders. stops counts stopped runs of
	// jobs whose callers waited.
	orders, recalls, starts, returned, stops, quarantines int
	// reasons has the returned orders by the leader's reason, those that their owners had recalled apart; recalled has the tasks of which the last
	// message to a leader was a recall.
	reasons  map[string]int
	recalled map[string]bool
	// use has samples of the share of the room that runs used, excess how much longer answers of priority 0 took than their jobs' longest runs.
	use        []float64
	excess     []time.Duration
	violations []string
	bound      *playReport
}

// begin begins a play, with the measured time that suits the load.
func (rep *playReport) begin(sim *simulation) {
	end := sim.prm.Duration
	tim := [...][2]time.Duration{
		usualLoad: {time.Second, end}, burstLoad: {burstFrom, min(burstTo, end)}, outageLoad: {outageTo, min(outageTo+2*time.Second, end)},
	}[sim.prm.Load]
	rep.sim, rep.fromAt, rep.to, rep.recalled = sim, sim.from.Add(tim[0]), sim.from.Add(tim[1]), map[string]bool{}
}

// measures reports whether a time is measured.
func (rep *playReport) measures(at time.Time) bool {
	return !at.Before(rep.fromAt) && at.Before(rep.to)
}

// count adds to a counter within the measured time.
func (rep *playReport) count(cnt *int) {
	if rep.measures(rep.sim.now) {
		*cnt++
	}
}

func (rep *playReport) countOrder(ord *shard.Order) {
	rep.recalled[ord.Task] = ord.Recall
	if ord.Recall {
		rep.count(&rep.recalls)
	} else {
		rep.count(&rep.orders)
	}
}

func (rep *playReport) countReport(rpt *shard.Report) {
	if rpt.Outcome != shard.NotRun || !rep.measures(rep.sim.now) {
		return
	}
	rsn := rpt.Reason.String()
	if rep.recalled[rpt.Task] {
		rsn = "recalled"
	}
	rep.reasons[rsn]++
	rep.returned++
}

// countRun counts the work of a run that has ended.
func (rep *playReport) countRun(rn *playRun, kind shard.EndKind, coreSeconds float64) {
	if kind == shard.EndedDone && rn.jb.outcome == open {
		rn.jb.coreSeconds += coreSeconds
		rn.jb.longest = max(rn.jb.longest, rep.sim.clock()-rn.from)
	} else if rep.measures(rep.sim.now) {
		rep.discarded += coreSeconds
	}
}

func (rep *playReport) violate(rule, what string) {
	rep.violations = append(rep.violations, fmt.Sprintf("%s at %v: %s", rule, rep.sim.now.Sub(rep.sim.from), what))
}

// outcomeOf returns the outcome of a job whose caller gets an answer now.
func (sim *simulation) outcomeOf(jb *playJob, res submission.Result) playOutcome {
	took := sim.now.Sub(jb.arrived)
	switch {
	case res == submission.NotRun:
		return refused
	case res != submission.Succeeded:
		return failed
	case took <= jb.limit:
		return inTime
	case took <= lateFactor*jb.limit:
		return late
	}
	return useless
}

// finish records the outcome of a call, if the job has none and wasn't sent again since.
func (sim *simulation) finish(jb *playJob, cal submission.CallID, out playOutcome) {
	if jb.outcome != open || jb.call != cal {
		return
	}
	jb.outcome = out
	rep, stm := sim.rep, &sim.prm.Deployment.streams[jb.priority]
	if out == refused && jb.started {
		rep.violate("REFUSED", "job "+jb.id)
	}
	if !rep.measures(jb.sentAt) {
		return
	}
	rep.priorities[jb.priority][out]++
	rep.most += stm.value
	rep.value += [playOutcomes]float64{inTime: stm.value, late: stm.late}[out]
	if jb.priority == 0 && (out == inTime || out == late || out == useless) {
		rep.excess = append(rep.excess, sim.now.Sub(jb.sentAt)-2*callerDelay-jb.longest)
	}
	if out != inTime && out != late {
		rep.discarded += jb.coreSeconds
	}
}

// sampleRoom samples the use of the room at each tick.
func (sim *simulation) sampleRoom() {
	if sim.rep.measures(sim.now) {
		free, room := int64(0), int64(0)
		for _, srv := range sim.servers {
			free, room = free+srv.free, room+srv.ent.Processor
		}
		sim.rep.use = append(sim.rep.use, 1-float64(free)/float64(room))
	}
	sim.after(tick, sim.sampleRoom)
}

// quantile returns a quantile of some values, 0 of none.
func quantile[Num float64 | time.Duration](vals []Num, part float64) Num {
	if len(vals) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(vals))[int(part*float64(len(vals)-1))]
}

// worth returns the value of the answers less the price of discarded work, as a share of the most.
func (rep *playReport) worth() float64 {
	const price = 0.00021 // Of a core-second.
	return (rep.value - price*rep.discarded) / rep.most
}

// String returns the report in some lines.
func (rep *playReport) String() string {
	var txt strings.Builder
	txt.WriteString("  in time, late, refused by priority:")
	for pri := range rep.priorities {
		grp := &rep.priorities[pri]
		fmt.Fprintf(&txt, " %.3f %.3f %.3f;", grp.share(inTime), grp.share(late), grp.share(refused))
	}
	fmt.Fprintf(&txt, " worth %.3f (bound %.3f), answers of priority 0 later than their longest run by %v, one in ten by %v\n", rep.worth(), rep.bound.worth(),
		quantile(rep.excess, 0.5).Round(time.Millisecond), quantile(rep.excess, 0.9).Round(time.Millisecond))
	fmt.Fprintf(&txt, "  orders a start %.3f, returned share %.3f %v, recalls %d, stops %d, put off %d, discarded %.0f, median use %.3f, violations %d %v\n",
		float64(rep.orders)/float64(max(rep.starts, 1)), float64(rep.returned)/float64(max(rep.orders, 1)), rep.reasons, rep.recalls, rep.stops, rep.quarantines,
		rep.discarded, quantile(rep.use, 0.5), len(rep.violations), rep.violations[:min(len(rep.violations), 3)])
	return txt.String()
}
