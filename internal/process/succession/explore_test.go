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
	"chestnutstack/internal/request/submission"
)

var (
	exploreFirst = flag.Uint64("explore-first", 0, "first seed of TestExploreOrders")
	exploreSeeds = flag.Uint64("explore-seeds", 150, "number of seeds of TestExploreOrders")
)

// explored are seeds that broke a promise while a proof was wrong.
var explored = []uint64{1538, 2202, 6459, 12899, 21314, 34062}

// TestExploreOrders guards against tasks that run twice, servers over their capacity and false "not run": it draws orders of deliveries,
// losses, stalls, lapses, ends and take-overs over pure leaders and desks.
func TestExploreOrders(t *testing.T) {
	seeds := slices.Clone(explored)
	for seed := *exploreFirst; seed < *exploreFirst+*exploreSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		ply := explore(seed)
		if len(ply.broken) == 0 {
			continue
		}
		t.Errorf("seed %d: %s", seed, strings.Join(ply.broken, "; "))
		if testing.Verbose() {
			ply.write(t)
		}
	}
}

// write leaves the trace of a play in a file.
func (ply *play) write(t *testing.T) {
	fil, err := os.CreateTemp("", "explore-*.log")
	if err != nil {
		t.Fatal(err)
	}
	_, err = fil.WriteString(strings.Join(ply.trace, "\n") + "\n")
	if err = errors.CombineErrors(err, fil.Close()); err != nil {
		t.Fatal(err)
	}
	t.Log(fil.Name())
}

// play is one order of events.
type play struct {
	rnd        *rand.Rand
	began, now time.Time
	evts       events
	count      int
	calls      int
	lives      int64
	names      []string
	nodes      map[string]*node
	servers    []*fakeServer
	// listed are the servers with entries in the store, offset counts their changes.
	listed map[shard.ServerID]bool
	offset int64
	// shut is until when a way is cut.
	shut   map[[2]string]time.Time
	jobs   []*callerJob
	starts map[string]int
	broken []string
	trace  []string
}

type event struct {
	at    time.Time
	count int
	act   func()
}

// events is a heap by time.
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

func (ply *play) after(dur time.Duration, act func()) {
	ply.count++
	heap.Push(&ply.evts, event{at: ply.now.Add(dur), count: ply.count, act: act})
}

func (ply *play) runUntil(end time.Time) {
	for len(ply.evts) > 0 && !ply.evts[0].at.After(end) {
		evt := heap.Pop(&ply.evts).(event)
		ply.now = evt.at
		evt.act()
	}
	ply.now = end
}

// within draws a duration up to a bound.
func (ply *play) within(most time.Duration) time.Duration {
	return time.Duration(ply.rnd.Int64N(int64(most) + 1))
}

// delay draws the time of a way: few milliseconds, and seldom many.
func (ply *play) delay() time.Duration {
	if ply.rnd.IntN(50) == 0 {
		return ply.within(60 * time.Millisecond)
	}
	return time.Millisecond + ply.within(3*time.Millisecond)
}

func (ply *play) open(from, to string) bool { return !ply.now.Before(ply.shut[[2]string{from, to}]) }

func (ply *play) cut(from, to string, dur time.Duration) {
	way := [2]string{from, to}
	if until := ply.now.Add(dur); until.After(ply.shut[way]) {
		ply.shut[way] = until
	}
}

func (ply *play) server(id shard.ServerID) *fakeServer {
	for _, srv := range ply.servers {
		if srv.id == id {
			return srv
		}
	}
	return nil
}

const (
	storeName = "store"
	warmUp    = 1500 * time.Millisecond
	busyFor   = 6 * time.Second
	restFor   = 5 * time.Second
)

func explore(seed uint64) *play {
	rnd := rand.New(rand.NewPCG(seed, 12))
	domains := []string{"a", "a", "b"}
	if rnd.IntN(2) == 0 {
		domains = []string{"a", "b", "b"}
	}
	ply := newPlay(seed, domains, []string{"a", "a", "b", "b"}[:2+rnd.IntN(3)])
	for _, srv := range ply.servers {
		if rnd.IntN(3) == 0 {
			srv.rate = 1 / clockSkew
		}
	}
	ply.runUntil(ply.began.Add(warmUp))
	for range 3 + ply.rnd.IntN(4) {
		ply.after(ply.within(busyFor), ply.submit)
	}
	for range 2 + ply.rnd.IntN(9) {
		ply.after(ply.within(busyFor), ply.trouble)
	}
	ply.runUntil(ply.began.Add(warmUp + busyFor + restFor))
	ply.checkRefused()
	return ply
}

// newPlay returns a play with nodes and servers in the failure domains named.
func newPlay(seed uint64, nodes, servers []string) *play {
	ply := &play{
		rnd: rand.New(rand.NewPCG(seed, 11)), began: time.Unix(1_000_000, 0), nodes: map[string]*node{},
		listed: map[shard.ServerID]bool{}, shut: map[[2]string]time.Time{}, starts: map[string]int{},
	}
	ply.now = ply.began
	for num, dom := range nodes {
		ply.names = append(ply.names, fmt.Sprint("i", num+1, dom))
	}
	for num, dom := range servers {
		srv := &fakeServer{
			ply: ply, id: shard.ServerID(fmt.Sprint("s", num+1, dom)), domain: dom, rate: 1,
			running: map[string]*fakeRun{}, highest: map[string]int64{},
		}
		ply.servers = append(ply.servers, srv)
		ply.list(srv, true)
	}
	for num, dom := range nodes {
		ply.startNode(ply.names[num], dom)
	}
	return ply
}

// leader returns the name of the node that leads a shard.
func (ply *play) leader(shd shard.Name) string {
	for _, name := range ply.names {
		if ply.nodes[name].ldrs[shd] != nil {
			return name
		}
	}
	return ""
}

// cutBoth cuts the ways between two of nodes and servers.
func (ply *play) cutBoth(one, two string, dur time.Duration) {
	ply.cut(one, two, dur)
	ply.cut(two, one, dur)
}

// trouble strikes once, and sometimes again a moment later. Jobs come shortly before it ends, as that is when beliefs change.
func (ply *play) trouble() {
	nod := ply.anyNode()
	dur := 20*time.Millisecond + ply.within(2500*time.Millisecond)
	for range ply.rnd.IntN(3) {
		ply.after(max(0, dur-150*time.Millisecond+ply.within(500*time.Millisecond)), ply.submit)
	}
	switch ply.rnd.IntN(12) {
	case 0, 1:
		ply.note("%s is cut off for %v", nod.domain, dur)
		ply.isolate(nod.domain, dur)
		if ply.rnd.IntN(2) == 0 {
			ply.besideCut(nod.domain)
		}
	case 2:
		oth := ply.anyNode()
		ply.note("way %s to %s is cut for %v", nod.name, oth.name, dur)
		ply.cut(nod.name, oth.name, dur)
	case 3, 4:
		srv := ply.servers[ply.rnd.IntN(len(ply.servers))]
		from, to := nod.name, string(srv.id)
		if ply.rnd.IntN(2) == 0 {
			from, to = to, from
		}
		ply.note("way %s to %s is cut for %v", from, to, dur)
		ply.cut(from, to, dur)
	case 5:
		if !nod.dead {
			nod.stall(dur)
		}
	case 6:
		ply.end(nod, dur)
	case 7, 8:
		ply.lapse(dur)
	case 9:
		srv := ply.servers[ply.rnd.IntN(len(ply.servers))]
		srv.lose = 1 + ply.rnd.IntN(4)
		ply.note("%s loses %d calls", srv.id, srv.lose)
	default:
		ply.force()
	}
	if ply.rnd.IntN(3) == 0 {
		ply.after(ply.within(dur+100*time.Millisecond), ply.trouble)
	}
}

// besideCut has entries of a domain lapse that is cut off, and nodes of either side take its shard over, until new jobs come at the end.
func (ply *play) besideCut(domain string) {
	dur := time.Second + ply.within(3*time.Second)
	ply.isolate(domain, dur)
	ply.after(ply.within(dur/2), func() { ply.lapse(ply.within(2 * dur)) })
	ply.after(ply.within(dur), ply.force)
	for range 4 {
		ply.after(dur-100*time.Millisecond+ply.within(400*time.Millisecond), ply.submit)
	}
}

// force has any node take any shard over, whatever made it do so.
func (ply *play) force() {
	nod := ply.anyNode()
	shds := Sorted(nod.shards())
	if nod.dead || nod.leaving || len(shds) == 0 || !nod.cnc.Ready() {
		return
	}
	shd := shds[ply.rnd.IntN(len(shds))]
	nod.deliver("forced", func() {
		nod.run(func(now time.Time) {
			if nod.ldrs[shd.Name] == nil {
				nod.takeOver(now, shd.Name)
			}
		})
	})
}

func (ply *play) anyNode() *node { return ply.nodes[ply.names[ply.rnd.IntN(len(ply.names))]] }

// isolate cuts a failure domain off from the others and the store.
func (ply *play) isolate(domain string, dur time.Duration) {
	inside, outside := []string{}, []string{storeName}
	add := func(name, dom string) {
		if dom == domain {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, name := range ply.names {
		add(name, ply.nodes[name].domain)
	}
	for _, srv := range ply.servers {
		add(string(srv.id), srv.domain)
	}
	for _, one := range inside {
		for _, two := range outside {
			ply.cutBoth(one, two, dur)
		}
	}
}

// lapse removes the entries of some servers for a while.
func (ply *play) lapse(dur time.Duration) {
	for _, srv := range ply.servers {
		if ply.rnd.IntN(4) == 0 {
			continue
		}
		ply.note("entry of %s lapses for %v", srv.id, dur)
		ply.list(srv, false)
		ply.after(dur+ply.within(400*time.Millisecond), func() { ply.list(srv, true) })
	}
}

func (ply *play) list(srv *fakeServer, there bool) {
	ply.offset++
	ply.listed[srv.id] = there
}

// end ends a process by a kill, a loss of power or a planned stop, and starts its next life.
func (ply *play) end(nod *node, dur time.Duration) {
	if nod.dead || nod.leaving {
		return
	}
	how := ply.rnd.IntN(3)
	if how == 2 {
		ply.note("%s stops", nod.id)
		nod.leaving = true
		nod.cnc.SetLeaving()
		nod.nudge()
	}
	finish := func() {
		ply.note("%s ends, how %d", nod.id, how)
		if how == 2 {
			nod.run(func(time.Time) { nod.deskDo(nod.dsk.GiveUp()) })
		}
		nod.dead, nod.dark = true, how == 1
		for _, cal := range sortedKeys(nod.calls) {
			if how != 1 {
				nod.calls[cal].broken()
			}
		}
		ply.after(100*time.Millisecond+dur/2, func() { ply.startNode(nod.name, nod.domain) })
	}
	if how == 2 {
		ply.after(dur, finish)
		return
	}
	finish()
}

// callerJob is a job of a caller that sends it again where it got no answer.
type callerJob struct {
	ply      *play
	id       string
	tasks    int
	takes    time.Duration
	attempts int
	// unsure is set once an attempt did not end in "not run".
	unsure, refused bool
}

// attempt is one call of a caller.
type attempt struct {
	job   *callerJob
	nod   *node
	call  submission.Call
	ended bool
}

// submit sends a new job to any node.
func (ply *play) submit() {
	ply.newJob(1+ply.rnd.IntN(4), 50*time.Millisecond+ply.within(1500*time.Millisecond)).send(ply.anyNode())
}

// submitTo sends a new job to one node.
func (ply *play) submitTo(name string, tasks int, takes time.Duration) {
	ply.newJob(tasks, takes).send(ply.nodes[name])
}

func (ply *play) newJob(tasks int, takes time.Duration) *callerJob {
	job := &callerJob{ply: ply, id: fmt.Sprint("j", len(ply.jobs)+1), tasks: tasks, takes: takes}
	ply.jobs = append(ply.jobs, job)
	return job
}

// takes returns how long a task runs.
func (ply *play) takes(task string) time.Duration {
	for _, job := range ply.jobs {
		if strings.HasPrefix(task, job.id+".") {
			return job.takes
		}
	}
	return 0
}

const (
	callerPatience = 4 * time.Second
	resendAfter    = 1300 * time.Millisecond
	mostAttempts   = 4
)

// again sends the job to any node.
func (job *callerJob) again() { job.send(job.ply.anyNode()) }

func (job *callerJob) send(nod *node) {
	ply := job.ply
	if job.attempts++; job.attempts > mostAttempts {
		return
	}
	if nod.dead || nod.leaving {
		ply.after(resendAfter, job.again)
		return
	}
	ply.calls++
	att := &attempt{job: job, nod: nod, call: submission.Call(ply.calls)}
	ply.note("%s is sent to %s: %d tasks of %v", job.id, nod.id, job.tasks, job.takes)
	nod.calls[att.call] = att
	sub := submission.Submission{
		ID: job.id, Request: job.id, Route: "r", Service: "render", Attempts: 3, Patience: callerPatience,
		Steps:     []submission.Step{{Count: job.tasks, Processor: taskSize, Memory: 64, Expected: job.takes}},
		Objective: func(work time.Duration) time.Duration { return 3*work + time.Second },
	}
	nod.deliver("caller "+job.id, func() {
		nod.run(func(now time.Time) { nod.deskDo(nod.dsk.Submit(now, att.call, sub)) })
	})
	leaves := callerPatience
	if ply.rnd.IntN(6) == 0 {
		leaves = ply.within(600 * time.Millisecond)
	}
	ply.after(leaves, func() {
		if !att.ended {
			nod.deliver("caller "+job.id, func() {
				nod.run(func(time.Time) { nod.deskDo(nod.dsk.CallerGone(att.call)) })
			})
			att.broken()
		}
	})
}

// answered tells the caller what came of its call, unless it has gone.
func (att *attempt) answered(ans submission.Answer) {
	if att.ended {
		return
	}
	att.job.ply.note("%s is answered by %s: %v %s", att.job.id, att.nod.id, ans.Result, ans.Reason)
	att.ended = true
	switch ans.Result {
	case submission.Succeeded, submission.Failed:
		att.job.unsure = true
	case submission.NotRun:
		att.job.refused = true
	case submission.Unfinished:
		att.again()
	}
}

// broken tells the caller that its connection has ended without an answer.
func (att *attempt) broken() {
	if !att.ended {
		att.ended = true
		att.again()
	}
}

func (att *attempt) again() {
	att.job.unsure = true
	att.job.ply.after(resendAfter, att.job.again)
}

// checkRefused looks for jobs that were refused as not run by all whom their callers asked, and have started.
func (ply *play) checkRefused() {
	for _, job := range ply.jobs {
		for task, num := range ply.starts {
			if job.refused && !job.unsure && num > 0 && strings.HasPrefix(task, job.id+".") {
				ply.breaks("%s was refused as not run, and %s has started", job.id, task)
			}
		}
	}
}
