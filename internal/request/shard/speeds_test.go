package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	learn "chestnutstack/internal/request/speed"
)

// speedStream feeds a leader with the ends of tasks on servers of given speeds: steps of eight, two and four tasks on servers at random, estimates off by
// a factor with spread 0.4, tasks of a step that differ by 15%, and a share of tasks that take seven times as long.
type speedStream struct {
	har    *harness
	rnd    *rand.Rand
	speeds []float64
	tails  float64
	// slower has how many times slower a server has become.
	slower map[ServerID]float64
	steps  int
}

func newSpeedStream(t *testing.T, seed uint64, used bool, tails float64, speeds ...float64) *speedStream {
	var ents []ServerEntry
	for idx := range speeds {
		ent := serverEntry(fmt.Sprintf("s%d", idx), 64000)
		ent.Labels = []string{fmt.Sprintf("kind-%d", idx%3)}
		ents = append(ents, ent)
	}
	har := newHarness(t, ents...)
	har.ldr.cfg.Features.ServerSpeeds = used
	return &speedStream{har: har, rnd: rand.New(rand.NewPCG(seed, 1)), speeds: speeds, tails: tails, slower: map[ServerID]float64{}}
}

// run plays a number of steps, 20 ms apart, and returns how often each server was quarantined as slow. Quarantined servers get no task.
func (stm *speedStream) run(steps int) map[ServerID]int {
	works := []struct {
		count int
		work  float64
	}{{8, 0.051}, {2, 0.17}, {8, 0.051}, {4, 0.76}}
	num := map[ServerID]int{}
	for range steps {
		stm.steps++
		stm.har.now = stm.har.now.Add(20 * time.Millisecond)
		wrk := works[stm.steps%len(works)]
		mean := wrk.work * math.Exp(0.4*stm.rnd.NormFloat64())
		estimate := mean * math.Exp(0.4*stm.rnd.NormFloat64())
		stp := fmt.Sprintf("j%d.0", stm.steps)
		for tsk := range wrk.count {
			stm.end(stp, tsk, mean, estimate)
		}
		stm.har.record(stm.har.ldr.Tick(stm.har.now))
		for _, act := range stm.har.acts {
			if qrt, ok := act.(QuarantineServer); ok && qrt.Reason == "server is slow" {
				num[qrt.Server]++
			}
		}
		stm.har.acts = nil
	}
	return num
}

// end lets one task of a step end on a server that accepts tasks.
func (stm *speedStream) end(stp string, tsk int, mean, estimate float64) {
	ldr := stm.har.ldr
	idx := stm.rnd.IntN(len(stm.speeds))
	srv := ldr.serverList[idx]
	if !srv.acceptsTasks(stm.har.now, 0) {
		return
	}
	took := mean * math.Exp(0.15*stm.rnd.NormFloat64()) / stm.speeds[idx]
	if stm.rnd.Float64() < stm.tails {
		took *= 7
	}
	if fac := stm.slower[srv.ent.ID]; fac > 0 {
		took *= fac
	}
	ord := stm.har.order(1, fmt.Sprintf("%s.%d", stp, tsk))
	ord.Step, ord.ExpectedRunTime = stp, time.Duration(estimate*float64(time.Second))
	rn := &run{ord: &order{Order: ord}}
	ldr.observeRunTime(stm.har.now, srv, rn, time.Duration(took*float64(time.Second)))
}

func TestLastingSpeedsAreNoFaults(t *testing.T) {
	// Guards against sound servers that get no work because they are constantly slower than others, and against long tasks that are taken for slow
	// servers. 1,000 steps are about 5,200 runs.
	uneven := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	cases := map[string]struct {
		speeds []float64
		tails  float64
		most   int
	}{
		"uneven":            {uneven, 0, 0},
		"uneven with tails": {uneven, 0.03, 5},
		"mild":              {[]float64{1, 1, 1.3, 1, 1, 1.3, 1, 1, 1.3}, 0.03, 5},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			counts := [2]int{}
			for idx, used := range []bool{false, true} {
				for seed := range uint64(5) {
					stm := newSpeedStream(t, seed, used, cse.tails, cse.speeds...)
					stm.run(200)
					for _, num := range stm.run(1000) {
						counts[idx] += num
					}
					chk.Equal(stm.har.ldr.speeds.used, used)
				}
			}
			t.Logf("quarantines in five plays: %d without, %d with learned speeds", counts[0], counts[1])
			chk.True(counts[1] <= 5*cse.most)
		})
	}
}

func TestFaultsAmongUnevenServers(t *testing.T) {
	// Guards against servers that run at a sixth of their own speed and are found later than without learned speeds.
	cases := map[string]struct {
		tails  float64
		faults int
	}{"one": {0, 1}, "one, with tails": {0.03, 1}, "three": {0, 3}, "three, with tails": {0.03, 3}}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			sum, sound := [2]int{}, [2]int{}
			for idx, used := range []bool{false, true} {
				for seed := range uint64(30) {
					stm := newSpeedStream(t, seed, used, cse.tails, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6)
					stm.run(200)
					stm.har.now = stm.har.now.Add(longestSlowQuarantine)
					for num := range cse.faults {
						stm.slower[ServerID(fmt.Sprintf("s%d", (int(seed)+num)%9))] = 6
					}
					found := map[ServerID]bool{}
					for steps := 0; len(found) < cse.faults && steps < 200; steps++ {
						for id := range stm.run(1) {
							if stm.slower[id] == 0 {
								sound[idx]++
							} else if !found[id] {
								found[id] = true
								sum[idx] += steps
							}
						}
					}
					chk.Equal(len(found), cse.faults)
					clear(stm.slower)
					stm.run(500)
					sound[idx] += len(stm.run(1))
				}
			}
			t.Logf("steps until servers at a sixth of their speed are quarantined, sum of %d: %d without, %d with learned speeds", 30*cse.faults,
				sum[0], sum[1])
			t.Logf("sound servers quarantined meanwhile, and in the step 10 s later: %d without, %d with learned speeds", sound[0], sound[1])
			chk.True(sum[1] <= 3*sum[0]/2)
			chk.True(sound[1] <= sound[0])
		})
	}
}

func TestLearnedLevels(t *testing.T) {
	// Guards against levels that are off, so that tasks go to servers where they are late.
	chk := is.NewRelaxed(t)
	speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	stm := newSpeedStream(t, 1, true, 0.03, speeds...)
	stm.run(500)
	ref := math.Log(speeds[1]) + stm.har.ldr.serverList[1].spd.level.Mean()
	for idx, srv := range stm.har.ldr.serverList {
		off := math.Log(speeds[idx]) + srv.spd.level.Mean() - ref
		t.Logf("server %d: speed %.1f, learned level %.2f, off by %.2f", idx, speeds[idx], srv.spd.level.Mean(), off)
		chk.True(math.Abs(off) < 0.15)
	}
}

func TestMeanLevelIsBounded(t *testing.T) {
	// Guards against levels that drift together in the course of hours, so that owners take the factors of a shard for those of slow or fast servers and
	// correct estimates that are right.
	chk := is.NewRelaxed(t)
	stm := newSpeedStream(t, 1, true, 0.03, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6)
	for range 10 {
		stm.run(5000)
		mean := 0.0
		for _, srv := range stm.har.ldr.serverList {
			mean += srv.spd.level.Mean() / float64(len(stm.speeds))
		}
		chk.True(math.Abs(mean) < maxMeanLevel+0.02)
	}
}

func TestShiftKeepsExpectedTimes(t *testing.T) {
	// Guards against tasks whose expected time, or whose server's evidence of a fault, jumps when the levels are shifted.
	chk := is.NewRelaxed(t)
	stm := newSpeedStream(t, 1, true, 0.03, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6)
	stm.run(200)
	ldr := stm.har.ldr
	ldr.speeds.meanRun = 100 * time.Millisecond
	ords := [2]*order{{Order: stm.har.order(1, "new.0")}, {Order: stm.har.order(1, fmt.Sprintf("j%d.0.0", stm.steps))}}
	ords[0].ExpectedRunTime, ords[1].Step = 70*time.Millisecond, fmt.Sprintf("j%d.0", stm.steps)
	figures := func() (figs []float64) {
		for _, srv := range ldr.serverList {
			for _, ord := range ords {
				mean, known := ldr.expectedOn(srv, ord)
				smp, sampled := ldr.speedSample(srv, ord, -2)
				chk.True(known && sampled)
				figs = append(figs, mean, smp.change)
			}
		}
		return append(figs, ldr.serviceRateBySpeed()/1e6)
	}
	before := figures()
	ldr.shiftLevels(0.3)
	for idx, fig := range figures() {
		chk.True(math.Abs(fig-before[idx]) < 1e-6)
	}
}

// useLevels makes a leader use given levels of its servers' run times.
func (har *harness) useLevels(lvls ...float64) {
	har.ldr.cfg.Features.ServerSpeeds, har.ldr.speeds.used = true, true
	har.ldr.speeds.checkedAt = har.now.Add(time.Hour)
	for idx, lvl := range lvls {
		har.ldr.serverList[idx].spd.level = learn.KnownLevel(lvl)
	}
}

func TestServerIsChosenBySpeed(t *testing.T) {
	// Guards against tasks that start on a slow server where they are late, and against fast servers that short tasks occupy. The task takes 100 ms on an
	// average server.
	cases := map[string]struct {
		// free is what is left of servers of 64 cores.
		free []int64
		lvls []float64
		due  time.Duration
		want string
	}{
		"slack, equal room":       {[]int64{20000, 20000, 20000}, []float64{-0.47, 0, 0.51}, 300 * time.Millisecond, "s2"},
		"no slack":                {[]int64{20000, 20000, 20000}, []float64{-0.47, 0, 0.51}, 130 * time.Millisecond, "s1"},
		"only the fastest does":   {[]int64{20000, 20000, 20000}, []float64{-0.47, 0, 0.51}, 100 * time.Millisecond, "s0"},
		"the least room":          {[]int64{16000, 20000, 30000}, []float64{-0.47, 0, 0.51}, 300 * time.Millisecond, "s0"},
		"late anywhere":           {[]int64{20000, 16000, 20000}, []float64{-0.47, 0, 0.51}, 20 * time.Millisecond, "s1"},
		"waits for a faster one":  {[]int64{1000, 1000, 20000}, []float64{-0.47, 0, 0.51}, 150 * time.Millisecond, ""},
		"little faster ones":      {[]int64{1000, 1000, 20000}, []float64{0, 0, 0.26}, 120 * time.Millisecond, "s2"},
		"speeds are not in use":   {[]int64{20000, 16000, 20000}, nil, 100 * time.Millisecond, "s1"},
		"due in the past already": {[]int64{20000, 16000, 20000}, []float64{-0.47, 0, 0.51}, -time.Second, "s1"},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			var ents []ServerEntry
			for idx := range cse.free {
				ents = append(ents, serverEntry(fmt.Sprintf("s%d", idx), 64000))
			}
			har := newHarness(t, ents...)
			for idx, free := range cse.free {
				har.ldr.serverList[idx].usedProcessor = 64000 - free
			}
			if cse.lvls != nil {
				har.useLevels(cse.lvls...)
			}
			ord := har.order(0, "j.0")
			ord.Due = har.now.Add(cse.due)
			har.record(har.ldr.HandleOrder(har.now, ord))
			is.New(t).Equal(string(har.starts()["j.0"]), cse.want)
		})
	}
}

func TestWaitForAFasterServerEnds(t *testing.T) {
	// Guards against a task that waits for a fast server for good while a slow one is free.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s0", 20000), serverEntry("s1", 20000))
	har.useLevels(-0.47, 0.51)
	har.ldr.serverList[0].usedProcessor = 20000
	ord := har.order(0, "j.0")
	ord.Due = har.now.Add(150 * time.Millisecond)
	har.record(har.ldr.HandleOrder(har.now, ord))
	chk.Equal(har.ldr.TakeSpeedWaits(), 1)
	har.advance(100 * time.Millisecond)
	chk.Equal(har.starts()["j.0"], ServerID("s1"))
}

func TestToldSpeeds(t *testing.T) {
	// Guards against a new leader that begins without the speeds that the former one told, or with ones that are of no use any more.
	told := ToldSpeeds{Shard: "a.0", Token: 8, Speeds: []ServerSpeed{{"s0", 0, 600}, {"s1", 0, 1000}, {"s2", 0, 1670}}}
	change := func(edit func(told *ToldSpeeds)) ToldSpeeds {
		cpy := ToldSpeeds{Shard: told.Shard, Token: told.Token, Speeds: append([]ServerSpeed{}, told.Speeds...)}
		edit(&cpy)
		return cpy
	}
	cases := map[string]struct {
		told []ToldSpeeds
		age  time.Duration
		used int
		acts bool
	}{
		"told":                    {[]ToldSpeeds{told}, time.Second, 3, true},
		"too old":                 {[]ToldSpeeds{told}, time.Minute, 0, false},
		"another incarnation":     {[]ToldSpeeds{change(func(tld *ToldSpeeds) { tld.Speeds[0].Incarnation = 5 })}, 0, 2, false},
		"absurd":                  {[]ToldSpeeds{change(func(tld *ToldSpeeds) { tld.Speeds[0].Factor = -1 })}, 0, 0, false},
		"of a later leader":       {[]ToldSpeeds{change(func(tld *ToldSpeeds) { tld.Token = 10 })}, 0, 0, false},
		"of the leader before it": {[]ToldSpeeds{told, change(func(tld *ToldSpeeds) { tld.Token, tld.Speeds[0].Factor = 7, 1000 })}, 0, 3, true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			har := newHarness(t, serverEntry("s0", size), serverEntry("s1", size), serverEntry("s2", size))
			har.ldr.cfg.Features.ServerSpeeds = true
			var bok SpeedBook
			for _, tld := range cse.told {
				bok.Add(har.now, tld)
			}
			har.now = har.now.Add(cse.age)
			chk.Equal(har.ldr.UseSpeeds(har.now, &bok), cse.used)
			har.record(har.ldr.Tick(har.now))
			again, acts := har.ldr.Speeds()
			chk.Equal(acts, cse.acts)
			if cse.acts {
				chk.Equal(again.Speeds, told.Speeds)
			}
		})
	}
}

func TestFaultsAreNoLevels(t *testing.T) {
	// Guards against faulty servers that are taken for constantly slow, or whose siblings are taken for fast, so that decisions go by speeds where all
	// servers are equal.
	for name, before := range map[string]int{"from the start": 0, "later": 200} {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			for seed := range uint64(10) {
				stm := newSpeedStream(t, seed, true, 0.03, 1, 1, 1, 1, 1, 1, 1, 1, 1)
				stm.run(before)
				for _, id := range []ServerID{"s1", "s4", "s8"} {
					stm.slower[id] = 6
				}
				found := stm.run(500)
				chk.True(found["s1"] > 0 && found["s4"] > 0 && found["s8"] > 0)
				chk.True(!stm.har.ldr.speeds.used)
			}
		})
	}
}

// BenchmarkRunTime measures what the evidence of a run's end costs a leader, without and with learned speeds.
func BenchmarkRunTime(b *testing.B) {
	for name, used := range map[string]bool{"without": false, "learned": true} {
		b.Run(name, func(b *testing.B) {
			stm := newSpeedStream(&testing.T{}, 1, used, 0.03, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6)
			stm.run(200)
			num := 0
			for b.Loop() {
				num++
				stm.end(fmt.Sprintf("b%d.0", num/8), num%8, 0.051, 0.06)
				stm.har.now = stm.har.now.Add(time.Millisecond)
			}
		})
	}
}
