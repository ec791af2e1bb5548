package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"peiraias", "marousi", "glyfada"}

// randomJob draws a job.
func randomJob(rnd *rand.Rand, num int, ques []queue) *job {
	jb := &job{id: fmt.Sprintf("%08x%08x", rnd.Uint32(), num), q: ques[rnd.IntN(len(ques))]}
	jb.spec = "spec " + jb.id
	var sum time.Duration
	for idx := range 1 + rnd.IntN(4) {
		stp := step{count: 1 + rnd.IntN(6), cpu: int64(2000 + 2000*rnd.IntN(7)), mem: 64, took: time.Duration(40+rnd.IntN(500)) * time.Millisecond}
		if idx > 0 && rnd.IntN(3) > 0 {
			stp.dependsOn = []int{rnd.IntN(idx)}
		}
		if rnd.IntN(4) == 0 {
			stp.label = []string{"a", "b"}[rnd.IntN(2)]
		}
		if rnd.IntN(3) == 0 {
			stp.perServer = 1 + rnd.IntN(2)
		}
		if rnd.IntN(12) == 0 {
			stp.mem = 60000
		}
		sum += stp.took
		jb.steps = append(jb.steps, stp)
	}
	jb.patience = max(1500*time.Millisecond, 3*sum)
	if rnd.IntN(4) == 0 {
		jb.patience += 6 * time.Second
	}
	return jb
}

// playRandom plays a system under random troubles.
func playRandom(wld *world, seed uint64, dur time.Duration, kinds []string) error {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for zon := range zones {
		for num := range 4 {
			lab := []string{[]string{"a", "b"}[num%2], fmt.Sprintf("r%d-%d", zon, num/2)}
			srv := newServer(fmt.Sprintf("i-%d%d-%x", zon, num, rnd.Uint32()), wld.queues[num/2].service, zones[zon], lab, 32000, 131072, wld.jdg)
			if err := wld.addServer(srv); err != nil {
				return err
			}
		}
	}
	if err := wld.addDaemons(zones, perZone()); err != nil {
		return err
	}
	if err := wld.startAll(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), dur)
	defer stop()
	var grp sync.WaitGroup
	for cli := range 10 {
		own := rand.New(rand.NewPCG(seed, uint64(100+cli)))
		grp.Go(func() { wld.runClient(ctx, own, cli) })
	}
	for range 2 {
		own := rand.New(rand.NewPCG(seed, rnd.Uint64()))
		grp.Go(func() { wld.troubles(ctx, own, kinds) })
	}
	grp.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

func (wld *world) runClient(ctx context.Context, rnd *rand.Rand, cli int) {
	for num := 0; ctx.Err() == nil; num++ {
		jb := randomJob(rnd, cli<<16|num, wld.queues)
		wld.jdg.add(jb)
		var grp sync.WaitGroup
		if rnd.IntN(5) == 0 {
			after, dmn := time.Duration(rnd.IntN(1500))*time.Millisecond, wld.daemons[rnd.IntN(len(wld.daemons))]
			grp.Go(func() {
				time.Sleep(after)
				for range 3 {
					if sta := wld.cancelJob(context.Background(), dmn, jb); sta == 200 || sta == 410 {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		for range 3 {
			sta := wld.handIn(context.Background(), wld.daemons[rnd.IntN(len(wld.daemons))], jb)
			wld.jdg.mu.Lock()
			cancelled := !jb.cancelledAt.IsZero()
			wld.jdg.mu.Unlock()
			if sta != 0 && sta != 502 && sta != 504 || cancelled {
				break
			}
			time.Sleep(1300 * time.Millisecond)
			wld.jdg.mu.Lock()
			cancelled = !jb.cancelledAt.IsZero()
			wld.jdg.mu.Unlock()
			if cancelled {
				break
			}
		}
		grp.Wait()
		time.Sleep(time.Duration(rnd.IntN(150)) * time.Millisecond)
	}
}

func (wld *world) troubles(ctx context.Context, rnd *rand.Rand, kinds []string) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(300+rnd.IntN(2500)) * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		wld.trouble(rnd, kinds[rnd.IntN(len(kinds))])
	}
}

func (wld *world) trouble(rnd *rand.Rand, kind string) {
	dmn := wld.daemons[rnd.IntN(len(wld.daemons))]
	dur := time.Duration(500+rnd.IntN(4500)) * time.Millisecond
	dmn.troubles.Lock()
	defer dmn.troubles.Unlock()
	wld.jdg.say("TROUBLE %s %s for %v", kind, dmn.name, dur)
	switch kind {
	case "kill":
		wld.restart(dmn, syscall.SIGKILL, time.Duration(rnd.IntN(1500))*time.Millisecond)
	case "term":
		wld.restart(dmn, syscall.SIGTERM, time.Duration(rnd.IntN(1500))*time.Millisecond)
	case "pause":
		dmn.signal(syscall.SIGSTOP)
		time.Sleep(dur)
		dmn.signal(syscall.SIGCONT)
	case "crash":
		wld.crash(rnd)
	case "drain":
		wld.drain(rnd)
	case "scaleout":
		wld.scaleOut(rnd)
	case "hup":
		for range 5 {
			dmn.signal(syscall.SIGHUP)
			time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond)
		}
	case "herd":
		wld.herd(rnd)
	case "pauseall":
		wld.pauseAll(dur / 3)
	case "config":
		wld.configure()
	case "late":
		wld.late(rnd, dur)
	case "storedown":
		wld.sto.SetDown(true)
		time.Sleep(dur)
		wld.sto.SetDown(false)
	default:
		wld.linkTrouble(rnd, kind, dmn, dur)
	}
}

// restart ends a process and starts it again after a pause.
func (wld *world) restart(dmn *daemon, sig syscall.Signal, pause time.Duration) {
	dmn.signal(sig)
	dmn.await()
	wld.setUp(dmn, false)
	time.Sleep(pause)
	wld.setUp(dmn, true)
	_ = dmn.start()
}

func (wld *world) linkTrouble(rnd *rand.Rand, kind string, dmn *daemon, dur time.Duration) {
	touching := wld.linksThat(func(lnk *link) bool { return lnk.from == dmn.name || lnk.to == dmn.name })
	from := wld.linksThat(func(lnk *link) bool { return lnk.daemons && lnk.from == dmn.name })
	switch kind {
	case "cut":
		during(wld.between(dmn.name), dur, (*link).hold)
	case "refuse":
		during(wld.between(dmn.name), dur, (*link).refuse)
	case "oneway":
		during(from, dur, (*link).hold)
	case "onewayrefuse":
		during(from, dur, (*link).refuse)
	case "pair":
		oth := wld.daemons[rnd.IntN(len(wld.daemons))]
		during(wld.linksThat(func(lnk *link) bool {
			return lnk.from == dmn.name && lnk.to == oth.name || lnk.to == dmn.name && lnk.from == oth.name
		}), dur, []func(*link, bool){(*link).hold, (*link).refuse}[rnd.IntN(2)])
	case "zonecut":
		during(wld.zoneLinks(dmn.zone), dur, (*link).hold)
	case "zonerefuse":
		during(wld.zoneLinks(dmn.zone), dur, (*link).refuse)
	case "silent":
		for _, lnk := range touching {
			lnk.silence()
		}
	case "reset":
		for _, lnk := range touching {
			lnk.resetAll()
		}
	case "servercut":
		during(wld.linksTo(wld.servers[rnd.IntN(len(wld.servers))].id), dur, (*link).hold)
	case "storecut":
		during(wld.linksThat(func(lnk *link) bool { return lnk.from == dmn.name && lnk.to == "store" }), dur, (*link).hold)
	}
}

// during does something to links for a time.
func during(lnks []*link, dur time.Duration, set func(*link, bool)) {
	for _, lnk := range lnks {
		set(lnk, true)
	}
	time.Sleep(dur)
	for _, lnk := range lnks {
		set(lnk, false)
	}
}

func (wld *world) pickServer(rnd *rand.Rand) *server {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	var live []*server
	for _, srv := range wld.servers {
		srv.mu.Lock()
		if !srv.gone && srv.drainingAt.IsZero() {
			live = append(live, srv)
		}
		srv.mu.Unlock()
	}
	return live[rnd.IntN(len(live))]
}

func (wld *world) replace(rnd *rand.Rand, old *server) {
	lab := []string{[]string{"a", "b"}[rnd.IntN(2)], old.labels[1]}
	_ = wld.addServer(newServer(fmt.Sprintf("i-%x", rnd.Uint32()), old.service, old.zone, lab, old.cpu, old.mem, wld.jdg))
}

func (wld *world) crash(rnd *rand.Rand) {
	srv := wld.pickServer(rnd)
	srv.crash()
	wld.jdg.say("%s crashes", srv.id)
	time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	wld.replace(rnd, srv)
	time.Sleep(3 * time.Second)
	wld.sto.Put("keyed.servers", srv.id, nil)
}

func (wld *world) drain(rnd *rand.Rand) {
	srv := wld.pickServer(rnd)
	srv.mu.Lock()
	srv.drainingAt = time.Now()
	srv.mu.Unlock()
	wld.sto.Put("keyed.servers", srv.id, srv.entry())
	wld.jdg.say("%s drains", srv.id)
	time.Sleep(4 * time.Second)
	srv.crash()
	wld.sto.Put("keyed.servers", srv.id, nil)
	wld.replace(rnd, srv)
}

func (wld *world) late(rnd *rand.Rand, dur time.Duration) {
	var mu sync.Mutex
	lateness := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if rnd.IntN(4) > 0 {
			return 0
		}
		return time.Duration(2000+rnd.IntN(4000)) * time.Millisecond
	}
	set := func(fnc func() time.Duration) {
		wld.mu.Lock()
		defer wld.mu.Unlock()
		for _, srv := range wld.servers {
			srv.mu.Lock()
			srv.lateShare = fnc
			srv.mu.Unlock()
		}
	}
	set(lateness)
	time.Sleep(dur)
	set(nil)
}

// zoneLinks returns the links between the machines of a zone and those of others; the store is in none.
func (wld *world) zoneLinks(zone string) []*link {
	zones := map[string]string{}
	for _, dmn := range wld.daemons {
		zones[dmn.name] = dmn.zone
	}
	wld.mu.Lock()
	for _, srv := range wld.servers {
		zones[srv.id] = srv.zone
	}
	wld.mu.Unlock()
	return wld.linksThat(func(lnk *link) bool {
		from, to := zones[lnk.from], zones[lnk.to]
		return to != "" && from != to && (from == zone || to == zone)
	})
}

// scaleOut adds servers to a zone, unless there are many.
func (wld *world) scaleOut(rnd *rand.Rand) {
	wld.mu.Lock()
	num := len(wld.servers)
	wld.mu.Unlock()
	if num > 50 {
		return
	}
	old := wld.pickServer(rnd)
	for range 6 {
		wld.replace(rnd, old)
	}
}

// herd kills all daemons and starts them again.
func (wld *world) herd(rnd *rand.Rand) {
	for _, dmn := range wld.daemons {
		dmn.signal(syscall.SIGKILL)
	}
	for _, dmn := range wld.daemons {
		dmn.await()
		wld.setUp(dmn, false)
	}
	time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
	for _, dmn := range wld.daemons {
		wld.setUp(dmn, true)
		_ = dmn.start()
	}
}

func (wld *world) pauseAll(dur time.Duration) {
	for _, dmn := range wld.daemons {
		dmn.signal(syscall.SIGSTOP)
	}
	time.Sleep(dur)
	for _, dmn := range wld.daemons {
		dmn.signal(syscall.SIGCONT)
	}
}

// perZone returns how many daemons each zone has.
func perZone() int {
	if num, err := strconv.Atoi(os.Getenv("PERZONE")); err == nil {
		return num
	}
	return 2
}
