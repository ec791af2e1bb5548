package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// leaderZone is the zone whose only daemon is cut off.
const leaderZone = "glyfada"

// twoLeaders cuts the only daemon of a zone off from all other daemons, so that one of these takes its shard over. Just after that, an idle backend server
// of the zone crashes and starts again under its ID, and clients hand jobs in at all daemons.
func twoLeaders(ctx context.Context, sys *system, trouble bool) ([]string, error) {
	const (
		tasks = 12
		takes = 900 * time.Millisecond
		// apart is the time between the jobs at the daemon that is cut off and those at the others.
		apart = 10 * time.Millisecond
	)
	var alone *daemon
	var others []*daemon
	for _, dmn := range sys.daemons {
		if dmn.zone == leaderZone {
			alone = dmn
		} else {
			others = append(others, dmn)
		}
	}
	if trouble {
		if err := sys.restartUnderTwoLeaders(ctx, alone); err != nil {
			return nil, err
		}
	}
	cli := newClient(sys)
	var wtg sync.WaitGroup
	handIn := func(to *daemon, num int) {
		jb := job{id: fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&(1<<48-1), num), steps: 1, tasks: tasks, takes: takes, deadline: 4 * time.Second}
		wtg.Go(func() { cli.submit(ctx, to, jb) })
	}
	handIn(alone, 0)
	sleep(ctx, apart)
	for num, dmn := range others {
		handIn(dmn, num+1)
	}
	wtg.Wait()
	sleep(ctx, leaderCut)
	var brk []string
	for _, one := range sys.std.Broken() {
		if strings.Contains(one, " over its capacity") {
			brk = append(brk, "LIMIT: "+one)
		}
	}
	return brk, ctx.Err()
}

// leaderCut is the length of the cut.
const leaderCut = 4 * time.Second

// restartUnderTwoLeaders cuts the leader of the zone off, waits until another daemon leads its backend servers, and has one of these start again.
func (sys *system) restartUnderTwoLeaders(ctx context.Context, alone *daemon) error {
	const (
		// The cut begins afterHold after a call of the leader to its idle servers, which it calls each second.
		afterHold = 740 * time.Millisecond
		// The backend server goes down settled after the takeover, for the time down.
		settled = 100 * time.Millisecond
		down    = 400 * time.Millisecond
		// patience is how long the script waits for a call, or for the takeover.
		patience = 3 * time.Second
	)
	var srvs []*server
	for _, srv := range sys.servers {
		if srv.zone == leaderZone {
			srvs = append(srvs, srv)
		}
	}
	srv := srvs[0]
	if err := awaitHold(ctx, srv, patience); err != nil {
		return err
	}
	sleep(ctx, afterHold)
	lnks := sys.linksBetween(alone.name)
	sys.rec.note("%s is cut off from all other daemons", alone.name)
	for _, lnk := range lnks {
		lnk.silence()
	}
	sys.grp.Go(func() error {
		sleep(ctx, leaderCut)
		for _, lnk := range lnks {
			lnk.heal()
		}
		sys.rec.note("end of the cut")
		return nil
	})
	if err := awaitTakeover(ctx, srvs, patience); err != nil {
		return err
	}
	sleep(ctx, settled)
	sys.rec.note("another daemon leads the servers of %s; %s crashes", leaderZone, srv.name)
	srv.setDown(true)
	sleep(ctx, down)
	srv.Restart()
	srv.setDown(false)
	sys.sto.List(srv.Server, service, srv.address, srv.zone, false)
	sys.rec.note("%s has started again under its ID", srv.name)
	return nil
}

// awaitHold waits until a leader has called a backend server.
func awaitHold(ctx context.Context, srv *server, timeout time.Duration) error {
	began := time.Now()
	for time.Since(began) < timeout {
		if srv.held().After(began) {
			return nil
		}
		sleep(ctx, time.Millisecond)
	}
	return fmt.Errorf("no leader calls %s", srv.name)
}

// awaitTakeover waits until all backend servers obey a higher fencing token than before.
func awaitTakeover(ctx context.Context, srvs []*server, timeout time.Duration) error {
	began := time.Now()
	for time.Since(began) < timeout {
		taken := 0
		for _, srv := range srvs {
			if _, since := srv.leader(); since.After(began) {
				taken++
			}
		}
		if taken == len(srvs) {
			return nil
		}
		sleep(ctx, time.Millisecond)
	}
	return fmt.Errorf("the servers of the shard have no other leader after %v", timeout)
}
