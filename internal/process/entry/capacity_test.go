package entry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/platformpb"
)

const (
	capacityDomains = 7
	capacityEntries = 168
)

// capacityList is the platform's list with that many backend servers over seven failure domains.
func capacityList(servers int) *platformpb.InstancesResponse {
	res := &platformpb.InstancesResponse{}
	for idx := range capacityEntries {
		res.Instances = append(res.Instances, &platformpb.Instance{
			Id: fmt.Sprintf("entry-%03d", idx), Incarnation: fmt.Sprintf("01J%023d", idx),
			Kind:    platformpb.InstanceKind_INSTANCE_KIND_ENTRY,
			Address: fmt.Sprintf("10.1.%d.%d:7400", idx/250, idx%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7401", idx/250, idx%250),
			FailureDomain: fmt.Sprintf("region-%d", idx%capacityDomains),
		})
	}
	for idx := range servers {
		res.Instances = append(res.Instances, &platformpb.Instance{
			Id: fmt.Sprintf("backend-%05d", idx), Incarnation: fmt.Sprintf("01J%023d", idx),
			Kind:    platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER,
			Address: fmt.Sprintf("10.2.%d.%d:7600", idx/250, idx%250), FailureDomain: fmt.Sprintf("region-%d", idx%capacityDomains),
			Rack: fmt.Sprintf("rack-%04d", idx/40), Worker: fmt.Sprintf("worker-%05d", idx),
			Slots: 8, Processors: 32, MemoryBytes: 128 << 30,
		})
	}
	return res
}

func capacityMembers(res *platformpb.InstancesResponse) []member.Instance {
	lst := make([]platform.Instance, 0, len(res.GetInstances()))
	for _, msg := range res.GetInstances() {
		knd := platform.KindBackendServer
		if msg.GetKind() == platformpb.InstanceKind_INSTANCE_KIND_ENTRY {
			knd = platform.KindEntry
		}
		lst = append(lst, platform.Instance{
			ID: msg.GetId(), Incarnation: msg.GetIncarnation(), Kind: knd,
			Address: msg.GetAddress(), PeerAddress: msg.GetPeerAddress(), FailureDomain: msg.GetFailureDomain(),
			Rack: msg.GetRack(), Worker: msg.GetWorker(), Slots: msg.GetSlots(),
			Capacity: job.Needs{Processors: msg.GetProcessors(), MemoryBytes: msg.GetMemoryBytes()},
		})
	}
	return toMembers(lst)
}

// knowing is what an entry instance knows of the pool's members.
type knowing struct {
	trk *member.Tracker
	dsp *dispatch.Dispatcher
	cur *member.View
}

func newKnowing(now time.Time, lst []member.Instance) *knowing {
	self := lst[0]
	rnd := rand.New(rand.NewPCG(1, 1))
	cfg := dispatch.DefaultConfig()
	cfg.Self, cfg.FailureDomain = dispatch.PeerID(self.ID), self.FailureDomain
	lim := limit.New(limit.DefaultConfig(), limit.Peer{ID: cfg.Self, Incarnation: self.Incarnation}, rnd)
	knw := &knowing{trk: member.New(member.DefaultConfig(), self, rnd), dsp: dispatch.New(cfg, lim, rnd)}
	knw.trk.ListRead(now, lst)
	knw.apply(now)
	return knw
}

// apply hands the view to dispatch, as view.apply does.
func (knw *knowing) apply(now time.Time) {
	if !knw.trk.Actions(now).ViewChanged {
		return
	}
	knw.cur = knw.trk.View(now)
	var pers []dispatch.Peer
	for _, per := range knw.cur.Entries() {
		pers = append(pers, dispatch.Peer{ID: per.ID, FailureDomain: per.FailureDomain})
	}
	servers := make([]dispatch.Server, 0, len(knw.cur.Servers()))
	for _, srv := range knw.cur.Servers() {
		servers = append(servers, srv.Server)
	}
	knw.dsp.SetMembership(now, servers, knw.cur.Homes(), pers)
	knw.dsp.Actions().Reset()
}

var capacitySizes = []int{50, 500, 3700, 26000}

// BenchmarkListRead is one read of a list on which nothing changed: its decoding and its comparison.
func BenchmarkListRead(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			now := time.Now()
			dat, err := proto.Marshal(capacityList(size))
			if err != nil {
				b.Fatal(err)
			}
			knw := newKnowing(now, capacityMembers(capacityList(size)))
			b.ReportAllocs()
			for b.Loop() {
				var res platformpb.InstancesResponse
				if err := proto.Unmarshal(dat, &res); err != nil {
					b.Fatal(err)
				}
				knw.trk.ListRead(now, capacityMembers(&res))
				if knw.trk.Actions(now).ViewChanged {
					b.Fatal("the view changed")
				}
			}
			b.ReportMetric(float64(len(dat)), "B/list")
		})
	}
}

// BenchmarkViewChange is what follows from the word that one backend server leaves: the view and the
// dispatcher's pool are built anew under the locks.
func BenchmarkViewChange(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			now := time.Now()
			lst := capacityMembers(capacityList(size))
			knw := newKnowing(now, lst)
			b.ReportAllocs()
			turn := 0
			for b.Loop() {
				gone := &lst[capacityEntries+turn%size]
				turn++
				gone.Incarnation = fmt.Sprint("again-", turn)
				knw.trk.ServerHeard(now, dispatch.ServerID(gone.ID), gone.Incarnation)
				knw.trk.ServerLeaving(now, dispatch.ServerID(gone.ID), gone.Incarnation)
				knw.apply(now)
			}
		})
	}
}

// BenchmarkKnownServers reports the memory that the members and the dispatcher's pool take.
func BenchmarkKnownServers(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				knw := newKnowing(time.Now(), capacityMembers(capacityList(size)))
				b.ReportMetric(float64(heap()-before), "B")
				runtime.KeepAlive(knw)
			}
		})
	}
}

// BenchmarkJobMemory reports the memory of jobs in progress and of ended ones whose answers are kept.
func BenchmarkJobMemory(b *testing.B) {
	for _, tasks := range []int{1, 130, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			jobs := 13_000 / tasks
			for b.Loop() {
				before := heap()
				tab := newTable()
				recs := capacityJobs(tab, jobs, tasks)
				running := heap()
				for _, rec := range recs {
					endCapacityJob(tab, rec)
				}
				ended := heap()
				tab.pack()
				tab.pack()
				packed := heap()
				tab.expire(time.Now().Add(retention))
				tombs := heap()
				b.ReportMetric(float64(running-before)/float64(jobs*tasks), "B/running-task")
				b.ReportMetric(float64(ended-before)/float64(jobs*tasks), "B/ended-task")
				b.ReportMetric(float64(packed-before)/float64(jobs*tasks), "B/packed-task")
				b.ReportMetric(float64(tombs-before)/float64(jobs), "B/verdict")
				runtime.KeepAlive(tab)
			}
		})
	}
}

func capacityJobs(tab *table, jobs, tasks int) []*record {
	cls := &job.Class{Name: "riga/thumbnail", Owner: "riga"}
	recs := make([]*record, jobs)
	for idx := range recs {
		spc := job.Spec{
			Submission: job.SubmissionID(fmt.Sprintf("riga/bench-%d-%d", time.Now().UnixNano(), idx)),
			Class:      cls, Team: "team-0", NotAfter: time.Now().Add(time.Hour), Tasks: make([]job.TaskSpec, tasks),
		}
		for num := range spc.Tasks {
			spc.Tasks[num].Payload = []byte("sleep=3.123456ms")
		}
		rec, _ := tab.reserve(spc, 1, false, nil)
		jb := job.New(job.NewPartnerID("entry-1.01JAAAAAAAAAAAAAAAAAAAAAAA", "riga", newULID(time.Now())), rec.spec)
		tab.index(rec, jb)
		close(rec.decided)
		recs[idx] = rec
	}
	return recs
}

func endCapacityJob(tab *table, rec *record) {
	jb := rec.running()
	for idx := range jb.TaskCount() {
		jb.Task(uint32(idx)).MarkRecovered([]byte("answer=0123456789abcdef"))
	}
	jb.End(nil)
	fin := caller.Progress(jb)
	if fin.GetAnswer().GetVerdict() != callerpb.Verdict_VERDICT_DONE {
		panic("the job has no whole answer")
	}
	rec.finish(fin)
	tab.retire(time.Now(), rec, jb.ID())
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

// A caller asks for its answer a minute after the job has ended: by then the instance has packed it,
// since most answers are never asked for again. It must be the same answer, also while younger and
// forgotten ones come and go.
func TestPackedAnswerIsTheSame(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	recs := capacityJobs(tab, 300, 3)
	var before []*callerpb.Progress
	for idx, rec := range recs {
		endCapacityJob(tab, rec)
		before = append(before, rec.Progress())
		if idx%100 == 99 {
			tab.pack()
		}
	}
	tab.pack()
	for idx, rec := range recs {
		is.True(rec.packed != nil)
		is.True(rec.final.GetAnswer().GetTasks() == nil)
		is.True(proto.Equal(rec.Progress(), before[idx]))
		is.Equal(len(before[idx].GetAnswer().GetTasks()), 3) // what callers were handed stays whole
	}
	tab.expire(time.Now().Add(retention))
	for _, rec := range recs {
		is.Equal(rec.Progress().GetAnswer().GetReason(), reasonForgotten)
	}
}
