package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// runJob submits a job of one task, whose estimate is 100 ms, and reports it as done. It returns the estimate in its order.
func (hrn *harness) runJob(id string, rep shard.Report) time.Duration {
	hrn.acts = nil
	hrn.submit(1, id, 1)
	for _, act := range hrn.acts {
		if snd, ok := act.(SendOrder); ok {
			rep.Task, rep.Token, rep.Outcome = snd.Order.Task, snd.Target.Token, shard.Done
			hrn.record(hrn.crd.HandleReport(hrn.now, snd.Target.Leader, rep))
			return snd.Order.ExpectedRunTime
		}
	}
	return 0
}

func TestEstimatesAreCorrected(t *testing.T) {
	// Guards against admission, ranks and due times by estimates that are constantly off, and against corrections by reports that tell no run time.
	cases := map[string]struct {
		features    shard.Features
		rep         shard.Report
		jobs        int
		least, most time.Duration
	}{
		"twice as long":           {shard.AllFeatures(), shard.Report{Took: 200 * time.Millisecond}, 300, 190 * time.Millisecond, 205 * time.Millisecond},
		"on a slow server":        {shard.AllFeatures(), shard.Report{Took: 200 * time.Millisecond, Factor: 2000}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
		"an absurd factor":        {shard.AllFeatures(), shard.Report{Took: 100 * time.Millisecond, Factor: -7}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
		"few jobs":                {shard.AllFeatures(), shard.Report{Took: 200 * time.Millisecond}, 20, 100 * time.Millisecond, 100 * time.Millisecond},
		"right":                   {shard.AllFeatures(), shard.Report{Took: 105 * time.Millisecond}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
		"no run time":             {shard.AllFeatures(), shard.Report{}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
		"not a run time":          {shard.AllFeatures(), shard.Report{Took: -time.Second}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
		"speeds are switched off": {shard.Features{}, shard.Report{Took: 200 * time.Millisecond}, 300, 100 * time.Millisecond, 100 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			hrn.crd.cfg.Features = cse.features
			hrn.setLeader("a.0", true, self, 1, 1000)
			last := time.Duration(0)
			for num := range cse.jobs {
				last = hrn.runJob(fmt.Sprint(num), cse.rep)
			}
			t.Logf("estimate of the last order: %v", last)
			is.New(t).True(last >= cse.least && last <= cse.most)
		})
	}
}

func TestShardIsChosenBySpeed(t *testing.T) {
	// Guards against orders for free servers on which a task is late, while others are free where it is in time. The task takes 100 ms on an average server
	// and is due after 200 ms.
	cases := map[string]struct {
		near, far []int64
		features  shard.Features
		want      shard.Name
	}{
		"slow ones near, fast ones far":   {[]int64{2000, 2000}, []int64{600}, shard.AllFeatures(), "b.0"},
		"both can do it":                  {[]int64{1300, 1300}, []int64{600}, shard.AllFeatures(), "a.0"},
		"none can do it":                  {[]int64{2000, 2000}, []int64{2000}, shard.AllFeatures(), "a.0"},
		"leaders of earlier versions":     {nil, nil, shard.AllFeatures(), "a.0"},
		"speeds are switched off":         {[]int64{2000, 2000}, []int64{600}, shard.Features{}, "a.0"},
		"absurd factors, and too few yet": {[]int64{-5}, []int64{1 << 60}, shard.AllFeatures(), "a.0"},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			hrn.crd.cfg.Features = cse.features
			hrn.setLeader("a.0", true, self, 1, 0)
			hrn.setLeader("b.0", false, other, 1, 0)
			for name, fcs := range map[shard.Name][]int64{"a.0": cse.near, "b.0": cse.far} {
				lod := shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(2 - len(fcs)%2), FreeFactors: fcs, LinkWindow: 1 << 20}
				hrn.record(hrn.crd.HandleLoad(name, lod))
			}
			hrn.acts = nil
			hrn.submit(1, "j", 1)
			var got shard.Name
			for _, act := range hrn.acts {
				if snd, ok := act.(SendOrder); ok {
					got = snd.Target.Shard
				}
			}
			is.New(t).Equal(got, cse.want)
		})
	}
}

func TestRecallsFillGaps(t *testing.T) {
	// Guards against free room that stays unused as the task that has waited longest is too large for it, and against all owners recalling tasks for the same
	// free server. Two jobs wait in another shard; only the later one, of 10 cores, fits the 12 that are free on each of 40 servers.
	recalls := func(owner shard.InstanceID, factors []int64, kept bool) int {
		hrn := newHarness()
		hrn.crd.cfg.Features, hrn.crd.cfg.Self = shard.AllFeatures(), owner
		hrn.setLeader("b.0", true, other, 1, 0)
		hrn.setLongQueue("b.0", 2)
		for idx, prc := range []int64{20000, 10000} {
			hrn.record(hrn.crd.HandleSubmit(hrn.now.Add(time.Duration(idx)), CallID(idx), Submission{
				ID: fmt.Sprint("j", idx), Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
				Steps:     []Step{{Count: 40, Processor: prc, ExpectedRunTime: 100 * time.Millisecond}},
				Objective: func(time.Duration) time.Duration { return 4 * time.Second },
			}))
		}
		hrn.setLeader("a.0", true, "third/3", 1, 0)
		hrn.setLongQueue("a.0", 2)
		for _, name := range []shard.Name{"c.0", "d.0"} {
			hrn.setLeader(name, true, "third/3", 1, 0)
			hrn.setLongQueue(name, 2)
		}
		hrn.acts = nil
		lod := shard.Load{Number: 9, ServiceRate: 1_000_000, FreeFactors: factors, LinkWindow: 1 << 20}
		for range 40 {
			lod.Free, lod.FreeMemory = append(lod.Free, 12000), append(lod.FreeMemory, 1000)
		}
		if kept {
			lod.KeepAll(0)
		}
		hrn.record(hrn.crd.HandleLoad("a.0", lod))
		num := 0
		for _, act := range hrn.acts {
			if snd, ok := act.(SendOrder); ok && snd.Order.Recall {
				num++
			}
		}
		return num
	}
	chk := is.NewRelaxed(t)
	sum := 0
	for num := range 20 {
		got := recalls(shard.InstanceID(fmt.Sprintf("owner-%d/1", num)), []int64{1000}, false)
		chk.True(got < 40/2)
		sum += got
	}
	chk.True(sum > 20*40/4/2 && sum < 20*40/4*2) // Of four shards.
	chk.Equal(recalls("owner/1", nil, false), 0) // Where speeds are not used, as before.
	for num := range 20 {
		chk.Equal(recalls(shard.InstanceID(fmt.Sprintf("owner-%d/1", num)), []int64{1000}, true), 0) // The room is kept for others.
	}
}

func TestRecallPassesOverLateTasks(t *testing.T) {
	// Guards against a free server that stays idle although a waiting task would be in time on it, as an older task would be late there.
	cases := map[string]struct {
		factor int64
		want   string
	}{"in time on any server": {1000, "old.0.0.0 new.0.0.0 "}, "the older one is late": {1600, "new.0.0.0 "}}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			hrn.crd.cfg.Features = shard.AllFeatures()
			hrn.setLeader("a.0", true, self, 1, 0)
			for num, id := range []string{"old", "new"} {
				hrn.now = hrn.now.Add(time.Millisecond)
				hrn.record(hrn.crd.HandleSubmit(hrn.now, CallID(num), Submission{
					ID: id, Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
					Steps:     []Step{{Count: 1, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
					Objective: func(time.Duration) time.Duration { return []time.Duration{140 * time.Millisecond, time.Second}[num] },
				}))
			}
			hrn.setLongQueue("a.0", 9)
			hrn.setLeader("b.0", false, other, 1, 0)
			hrn.acts = nil
			lod := shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(40), LinkWindow: 1 << 20}
			for range lod.Free { // An owner recalls for its share of the free servers.
				lod.FreeFactors = append(lod.FreeFactors, cse.factor)
			}
			hrn.record(hrn.crd.HandleLoad("b.0", lod))
			var got string
			for _, act := range hrn.acts {
				if snd, ok := act.(SendOrder); ok && snd.Order.Recall {
					got += snd.Order.Task + " "
				}
			}
			is.New(t).Equal(got, cse.want)
		})
	}
}
