package soak

import (
	"context"
	"strings"
	"syscall"
	"time"

	"chestnutstack/platform/standin"
)

const (
	// lateness is how long after its order a server carries a start out that it left unanswered.
	lateness = 2500 * time.Millisecond
	// lapseOfEntry is when the store drops the entry of a server that it does not hear.
	lapseOfEntry = 3 * time.Second
	// stopGap is the pause between two instances of a rolling stop.
	stopGap = 700 * time.Millisecond
	// slowWay is added to each piece on a slow way: less than what the system takes for silence.
	slowWay   = 30 * time.Millisecond
	slowStore = 400 * time.Millisecond
	// slower is how many times as long a task takes on a slow server.
	slower = 6
)

// injection is a trouble with what it hits.
type injection struct {
	trouble
	ins, oth *instance
	srv      *server
}

// inject does a trouble and undoes it; it returns when that is over.
func (ply *play) inject(ctx context.Context, trb trouble) error {
	num := len(ply.sys.ins)
	inj := &injection{
		trouble: trb, ins: ply.sys.ins[trb.one%num], oth: ply.sys.ins[(trb.one+1+trb.two%(num-1))%num],
		srv: ply.sys.servers[trb.two%len(ply.sys.servers)],
	}
	switch trb.kind {
	case kill, stop, rollingStop, killAll, powerOff, pauseProcess, reload:
		return ply.injectProcesses(ctx, inj)
	case cutDomain, cutStore, cutOneWay, silence, resetAll, slowLinks:
		ply.injectLinks(ctx, inj)
	case storeDown, storeSlow, storeLoses, storeForgets, configuration, closeDomain:
		ply.injectStore(ctx, inj)
	case serverRestartUnseen:
		ply.restartUnseen(ctx, inj)
	case serverLate, serverCrash, serverRestart, serverLeaves, serverFails, serverStands, serverSlow:
		ply.injectServer(ctx, inj)
	case roomShrinks, roomShrinksUnseen:
		ply.shrinkRoom(ctx, inj)
	}
	return nil
}

func (ply *play) injectProcesses(ctx context.Context, inj *injection) error {
	switch inj.kind {
	case kill:
		return ply.restart(ctx, inj.ins, syscall.SIGKILL, inj.lasts)
	case stop:
		return ply.restart(ctx, inj.ins, syscall.SIGTERM, 0)
	case rollingStop:
		for _, ins := range ply.sys.ins {
			if err := ply.restart(ctx, ins, syscall.SIGTERM, stopGap); err != nil {
				return err
			}
		}
	case killAll:
		return ply.killAll(ctx, inj.lasts)
	case powerOff:
		ply.sys.each(touching(inj.ins.mch.Name), (*link).cutBoth)
		err := ply.restart(ctx, inj.ins, syscall.SIGKILL, inj.lasts)
		ply.sys.each(touching(inj.ins.mch.Name), (*link).heal)
		return err
	case pauseProcess:
		inj.ins.signal(syscall.SIGSTOP)
		sleep(ctx, inj.lasts)
		inj.ins.signal(syscall.SIGCONT)
	default:
		return ply.reload(inj.ins)
	}
	return nil
}

// reload changes a setting of an instance and tells it so.
func (ply *play) reload(ins *instance) error {
	ins.restarts.Lock()
	defer ins.restarts.Unlock()
	ins.awaitFirstLine()
	ins.mch.StopTimeout -= time.Millisecond
	if err := ins.writeSettings(); err != nil {
		return err
	}
	ins.signal(syscall.SIGHUP)
	return nil
}

func (ply *play) injectLinks(ctx context.Context, inj *injection) {
	name := inj.ins.mch.Name
	chosen, do := touching(name), (*link).cutBoth
	switch inj.kind {
	case cutDomain:
		dom := inj.ins.mch.Domain
		chosen = func(lnk *link) bool {
			return (ply.sys.domainOf(lnk.from) == dom) != (ply.sys.domainOf(lnk.to) == dom)
		}
	case cutStore:
		chosen = func(lnk *link) bool { return lnk.from == name && lnk.to == storeName }
	case cutOneWay:
		chosen = func(lnk *link) bool { return lnk.from == name && lnk.to == inj.oth.mch.Name }
		do = func(lnk *link) { lnk.set(func() { lnk.cut = true }) }
	case slowLinks:
		do = func(lnk *link) { lnk.set(func() { lnk.delay = slowWay }) }
	case silence:
		ply.sys.each(chosen, (*link).silence)
		return
	default:
		ply.sys.each(chosen, (*link).reset)
		return
	}
	ply.sys.each(chosen, do)
	sleep(ctx, inj.lasts)
	ply.sys.each(chosen, (*link).heal)
}

func (ply *play) injectStore(ctx context.Context, inj *injection) {
	sto := ply.sys.sto
	switch inj.kind {
	case storeDown:
		sto.SetDown(true)
		sleep(ctx, inj.lasts)
		sto.SetDown(false)
	case storeSlow:
		sto.SetDelay(slowStore)
		sleep(ctx, inj.lasts)
		sto.SetDelay(0)
	case storeLoses:
		sto.LoseAnswers(1 + inj.one%2)
	case storeForgets:
		sto.CompactServers()
		sto.CompactConfigurations()
	case closeDomain:
		ply.closeDomain(ctx, inj.ins.mch.Domain, inj.lasts)
	default:
		ply.watchVersion(ply.sys.configure())
	}
}

// closedInForce is within what a closed failure domain gets no work any more (the platform's bound for it).
const closedInForce = 5 * time.Second

// closeDomain closes a failure domain to new work and opens it again. Where two closings of one domain overlap, the end of the first one opens it.
func (ply *play) closeDomain(ctx context.Context, domain string, lasts time.Duration) {
	servers := "server-" + strings.TrimPrefix(domain, domainPrefix) + "-"
	ply.sys.sto.CloseDomain(domain)
	ply.sys.ldg.Close(servers, time.Now().Add(closedInForce))
	sleep(ctx, lasts)
	ply.sys.ldg.Open(servers)
	ply.sys.sto.OpenDomain(domain)
}

func (ply *play) injectServer(ctx context.Context, inj *injection) {
	var trb standin.Trouble
	switch inj.kind {
	case serverLate:
		inj.srv.now.Load().LoseAnswers(1+inj.one%3, lateness)
		return
	case serverCrash:
		ply.crash(ctx, inj.srv, inj.lasts)
		return
	case serverRestart:
		ply.restartServer(ctx, inj)
		return
	case serverLeaves:
		ply.leave(ctx, inj.srv)
		return
	case serverFails:
		trb.Fails = true
	case serverStands:
		trb.Stands = true
	default:
		trb.Slower = slower
	}
	inj.srv.now.Load().SetTrouble(trb)
	sleep(ctx, inj.lasts)
	inj.srv.now.Load().SetTrouble(standin.Trouble{})
}

func (lnk *link) cutBoth() { lnk.set(func() { lnk.cut, lnk.back = true, true }) }

// restart ends the process of an instance and starts the next one after a pause.
func (ply *play) restart(ctx context.Context, ins *instance, sig syscall.Signal, pause time.Duration) error {
	ins.restarts.Lock()
	defer ins.restarts.Unlock()
	ins.signal(sig)
	if !ins.await() && sig == syscall.SIGTERM {
		ply.chk.note("%s did not end within its time to stop", ins.mch.Name)
	}
	if err := ply.sys.listening(ins, false); err != nil {
		return err
	}
	sleep(ctx, pause)
	return ply.sys.start(ins)
}

func (ply *play) killAll(ctx context.Context, pause time.Duration) error {
	for _, ins := range ply.sys.ins {
		ins.restarts.Lock() // All go through them in one order, so that none waits for another.
		defer ins.restarts.Unlock()
	}
	for _, ins := range ply.sys.ins {
		ins.signal(syscall.SIGKILL)
	}
	for _, ins := range ply.sys.ins {
		ins.await()
		if err := ply.sys.listening(ins, false); err != nil {
			return err
		}
	}
	sleep(ctx, pause)
	for _, ins := range ply.sys.ins {
		if err := ply.sys.start(ins); err != nil {
			return err
		}
	}
	return nil
}

// crash ends a backend server with all that runs there; its next life comes at the same address.
func (ply *play) crash(ctx context.Context, srv *server, pause time.Duration) {
	srv.changes.Lock()
	defer srv.changes.Unlock()
	sys := ply.sys
	to := func(lnk *link) bool { return lnk.to == srv.name }
	old := srv.now.Load()
	sys.each(to, (*link).cutBoth)
	old.Close()
	sys.grp.Go(func() error {
		sleep(ctx, lapseOfEntry)
		sys.sto.Unlist(old)
		return nil
	})
	sleep(ctx, pause)
	sys.startServer(srv)
	sys.each(to, (*link).heal)
}

// restartServer crashes a backend server, which starts again under its ID after a time for which it refuses connections, or half of the time
// answers nothing.
func (ply *play) restartServer(ctx context.Context, inj *injection) {
	inj.srv.changes.Lock()
	defer inj.srv.changes.Unlock()
	srv, to := inj.srv.now.Load(), func(lnk *link) bool { return lnk.to == inj.srv.name }
	if inj.one%2 == 0 {
		ply.sys.each(to, (*link).cutBoth)
	}
	ply.sys.each(to, (*link).reset)
	srv.Close()
	sleep(ctx, inj.lasts)
	srv.Restart()
	ply.sys.sto.List(srv, service, inj.srv.address, inj.srv.domain, false)
	ply.sys.each(to, (*link).heal)
}

// leave has a backend server announce that it leaves, finish what runs and go; a new one comes in its place.
func (ply *play) leave(ctx context.Context, srv *server) {
	srv.changes.Lock()
	defer srv.changes.Unlock()
	old := srv.now.Load()
	ply.sys.sto.List(old, service, srv.address, srv.domain, true)
	sleep(ctx, drainTime)
	old.Close()
	ply.sys.sto.Unlist(old)
	ply.sys.startServer(srv)
}

// drainTime is how long a leaving server still serves: new starts stop within 2 s, and tasks take up to 0.9 s.
const drainTime = 4 * time.Second
