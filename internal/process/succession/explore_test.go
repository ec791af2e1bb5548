package succession

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/shard"
)

var (
	exploreFirst = flag.Uint64("explore-first", 0, "first seed of TestExploreOrders")
	exploreSeeds = flag.Uint64("explore-seeds", 150, "number of seeds of TestExploreOrders")
)

// regressionSeeds are seeds that have shown faults.
var regressionSeeds = []uint64{1538, 2202, 6459, 12899, 21314, 34062}

// TestExploreOrders guards against tasks that run twice, servers over their capacity and false "not run" answers: random interleavings of
// message deliveries, message losses, process pauses, expired entries, process ends and takeovers of pure leaders and owners of jobs.
func TestExploreOrders(t *testing.T) {
	explore(t, regressionSeeds, func(seed uint64) *simRun { return simulate(seed, false) })
}

// TestExploreRestartedServers guards against the same where servers crash and start again under their IDs: a new incarnation has forgotten the
// fencing token, its runs and the numbers of its ends.
func TestExploreRestartedServers(t *testing.T) {
	explore(t, []uint64{1505, 1743, 2468}, func(seed uint64) *simRun { return simulate(seed, true) })
}

// explore plays the listed seeds and the range of seeds that the flags name.
func explore(t *testing.T, listed []uint64, simulate func(seed uint64) *simRun) {
	t.Helper()
	seeds := slices.Clone(listed)
	for seed := *exploreFirst; seed < *exploreFirst+*exploreSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		sim := simulate(seed)
		if len(sim.violations) == 0 {
			continue
		}
		t.Errorf("seed %d: %s", seed, strings.Join(sim.violations, "; "))
		if testing.Verbose() {
			sim.write(t)
		}
	}
}

// write saves the trace of a simulation to a temporary file.
func (sim *simRun) write(t *testing.T) {
	fil, err := os.CreateTemp("", "explore-*.log")
	if err != nil {
		t.Fatal(err)
	}
	_, err = fil.WriteString(strings.Join(sim.trace, "\n") + "\n")
	if err = errors.CombineErrors(err, fil.Close()); err != nil {
		t.Fatal(err)
	}
	t.Log(fil.Name())
}

// simRun is one random interleaving of events in virtual time. count numbers the events, calls the calls of callers and servers, starts has
// the starts of each task.
type simRun struct {
	rnd          *rand.Rand
	began, now   time.Time
	evts         events
	count        int
	calls        int
	incarnations int64
	names        []string
	nodes        map[string]*node
	servers      []*fakeServer
	// shardNumbers has the numbers of the servers' shards within their failure domains, all 0 if it is nil.
	shardNumbers map[shard.ServerID]int
	// listed are the servers that have entries in the store.
	listed map[shard.ServerID]bool
	// list has all records of the list, by their offsets.
	list []listRecord
	// cuts has until when the link from one process to another is cut, in that direction.
	cuts map[[2]string]time.Time
	// losses has what share of the messages from one process to another is lost, in that direction; the losses are drawn from lossRnd.
	losses  map[[2]string]loss
	lossRnd *rand.Rand
	// strict makes the leases of a server, and the calls that wait there, end with its incarnation, and the kills after a lease certain.
	strict bool
	jobs   []*callerJob
	starts map[string]int
	// orders has the orders of each task by each owner; wrongLoads change what nodes tell of their loads.
	orders     map[string]*sentOrder
	wrongLoads map[string]func(lod shard.Load) shard.Load
	// features are those of all leaders and owners, preemptions counts the runs that were stopped for urgent tasks.
	features    shard.Features
	preemptions int
	// pastRuns has the last run of each task that has ended, gaps the shortest times between the end of a run and the next one's start.
	pastRuns map[string]*pastRun
	// doneRuns has the runs of each task that have ended as done.
	doneRuns map[string][]*doneRun
	// startsAfterDone are the tasks that have started again after such an end was acknowledged.
	startsAfterDone []string
	gaps            gaps
	violations      []string
	trace           []string
}

type event struct {
	at    time.Time
	count int
	act   func()
}

// events is a heap by time; events at the same time keep their order of creation.
type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(one, two int) bool {
	if evs[one].at.Equal(evs[two].at) {
		return evs[one].count < evs[two].count
	}
	return evs[one].at.Before(evs[two].at)
}
func (evs events) Swap(one, two int) { evs[one], evs[two] = evs[two], evs[one] }
func (evs *events) Push(evt any)     { *evs = append(*evs, evt.(event)) }
func (evs *events) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// after schedules act for a time from now.
func (sim *simRun) after(dur time.Duration, act func()) {
	sim.count++
	heap.Push(&sim.evts, event{at: sim.now.Add(dur), count: sim.count, act: act})
}

// runUntil carries out the events up to a time.
func (sim *simRun) runUntil(end time.Time) {
	for len(sim.evts) > 0 && !sim.evts[0].at.After(end) {
		evt := heap.Pop(&sim.evts).(event)
		sim.now = evt.at
		evt.act()
	}
	sim.now = end
}

// within draws a duration from 0 up to a bound.
func (sim *simRun) within(most time.Duration) time.Duration {
	return time.Duration(sim.rnd.Int64N(int64(most) + 1))
}

// delay draws the one-way latency of a message: 1 to 4 ms, and one time in 50 up to 60 ms.
func (sim *simRun) delay() time.Duration {
	if sim.rnd.IntN(50) == 0 {
		return sim.within(60 * time.Millisecond)
	}
	return time.Millisecond + sim.within(3*time.Millisecond)
}

// up reports whether the link from one process to another is not cut.
func (sim *simRun) up(from, to string) bool { return !sim.now.Before(sim.cuts[[2]string{from, to}]) }

// cutLink cuts the link in one direction for a time.
func (sim *simRun) cutLink(from, to string, dur time.Duration) {
	link := [2]string{from, to}
	if until := sim.now.Add(dur); until.After(sim.cuts[link]) {
		sim.cuts[link] = until
	}
}

func (sim *simRun) server(id shard.ServerID) *fakeServer {
	for _, srv := range sim.servers {
		if srv.id == id {
			return srv
		}
	}
	return nil
}

const (
	storeName  = "store"
	warmUp     = 1500 * time.Millisecond
	activeTime = 6 * time.Second
	settleTime = 5 * time.Second
)

// simulate returns the simulation of a seed after it has run: jobs and faults at random times, with restarts of servers among them if
// restarts is set, and time to settle.
func simulate(seed uint64, restarts bool) *simRun {
	rnd := rand.New(rand.NewPCG(seed, 12))
	domains := []string{"a", "a", "b"}
	if rnd.IntN(2) == 0 {
		domains = []string{"a", "b", "b"}
	}
	sim := newSimulation(seed, domains, []string{"a", "a", "b", "b"}[:2+rnd.IntN(3)])
	for _, srv := range sim.servers {
		if rnd.IntN(3) == 0 {
			srv.clockRate = 1 / clockSkew
		}
	}
	sim.runUntil(sim.began.Add(warmUp))
	for range 3 + sim.rnd.IntN(4) {
		sim.after(sim.within(activeTime), sim.submit)
	}
	for range 2 + sim.rnd.IntN(9) {
		sim.after(sim.within(activeTime), sim.injectFault)
	}
	if restarts {
		sim.injectRestarts(rand.New(rand.NewPCG(seed, 13))) // Drawn by themselves: the rest of a seed stays what it is without them.
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// newSimulation returns a simulation with one node for each failure domain in nodes and one backend server for each in servers.
func newSimulation(seed uint64, nodes, servers []string) *simRun {
	sim := &simRun{
		rnd: rand.New(rand.NewPCG(seed, 11)), began: time.Unix(1_000_000, 0), nodes: map[string]*node{},
		listed: map[shard.ServerID]bool{}, cuts: map[[2]string]time.Time{}, starts: map[string]int{},
		orders: map[string]*sentOrder{}, wrongLoads: map[string]func(lod shard.Load) shard.Load{},
	}
	sim.now = sim.began
	for num, dom := range nodes {
		sim.names = append(sim.names, fmt.Sprint("i", num+1, dom))
	}
	for num, dom := range servers {
		srv := &fakeServer{
			sim: sim, id: shard.ServerID(fmt.Sprint("s", num+1, dom)), domain: dom, clockRate: 1, incarnation: 1, startedAt: sim.now,
			running: map[string]*fakeRun{}, highestRun: map[string]int64{},
		}
		sim.servers = append(sim.servers, srv)
		sim.setListed(srv, true)
	}
	for num, dom := range nodes {
		sim.startNode(sim.names[num], dom)
	}
	return sim
}

// leader returns the name of the first node that leads a shard, or "".
func (sim *simRun) leader(shd shard.Name) string {
	for _, name := range sim.names {
		if sim.nodes[name].leaders[shd] != nil {
			return name
		}
	}
	return ""
}

// cutBothWays cuts the links in both directions between two nodes or servers, for a time.
func (sim *simRun) cutBothWays(one, two string, dur time.Duration) {
	sim.cutLink(one, two, dur)
	sim.cutLink(two, one, dur)
}
