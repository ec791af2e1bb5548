package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// contact is for how long a machine must have had no trouble to be in touch.
const contact = 3 * time.Second

// longJob is a job whose steps follow one another.
func longJob(id string, que queue, steps int) *job {
	const took = 700 * time.Millisecond
	jb := &job{id: id, q: que, spec: "spec " + id, patience: time.Duration(steps)*took + 8*time.Second}
	for num := range steps {
		stp := step{count: 2, cpu: 2000, mem: 64, took: took}
		if num > 0 {
			stp.dependsOn = []int{num - 1}
		}
		jb.steps = append(jb.steps, stp)
	}
	return jb
}

// small starts a small deployment: two daemons and four servers in each of two zones.
func (wld *world) small() error {
	for zon := range 2 {
		for num := range 4 {
			srv := newServer(fmt.Sprintf("i-%d%d", zon, num), wld.queues[0].service, zones[zon], []string{"a"}, 32000, 131072, wld.jdg)
			if err := wld.addServer(srv); err != nil {
				return err
			}
		}
	}
	if err := wld.addDaemons(zones[:2], 2); err != nil {
		return err
	}
	return wld.startAll()
}

// troubled reports whether the play has its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// handInLater hands a job in, in the background; the channel is closed once its answer is there.
func (wld *world) handInLater(dmn *daemon, jb *job) <-chan struct{} {
	wld.jdg.add(jb)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		wld.handIn(context.Background(), dmn, jb)
	}()
	return answered
}

// cancelUntilAnswered asks a daemon to cancel a job, and if need be the next ones, the last of them again and again, until one says that it has, or that there is none.
func (wld *world) cancelUntilAnswered(jb *job, pause time.Duration, dmns ...*daemon) {
	for try := range 100 {
		dmn := dmns[min(try, len(dmns)-1)]
		if sta := wld.cancelJob(context.Background(), dmn, jb); sta == 200 || sta == 410 {
			return
		}
		time.Sleep(pause)
	}
}

const (
	// freezeTime is that of kea-attiki's node_freeze.
	freezeTime = 4 * time.Second
	// frozenClients hand in a job each to the frozen machine.
	frozenClients = 60
)

// playCancelBehindFreeze has clients hand jobs in to a frozen machine, and cancel them there, before the balancer takes it out of its rotation.
func playCancelBehindFreeze(wld *world) error {
	if err := wld.small(); err != nil {
		return err
	}
	owner, mate := wld.daemons[0], wld.daemons[1]
	began := time.Now()
	if troubled() {
		owner.signal(syscall.SIGSTOP)
		wld.jdg.calmAt(began.Add(freezeTime + contact))
	}
	var grp sync.WaitGroup
	for num := range frozenClients {
		grp.Go(func() {
			time.Sleep(50*time.Millisecond + time.Duration(num)*5*time.Millisecond)
			jb := longJob(fmt.Sprintf("5c0e7a21d94b36%02x", num), wld.queues[0], 10)
			answered := wld.handInLater(owner, jb)
			time.Sleep(500 * time.Millisecond)
			wld.cancelUntilAnswered(jb, 100*time.Millisecond, owner, mate)
			<-answered
		})
	}
	if troubled() {
		time.Sleep(time.Until(began.Add(freezeTime)))
		owner.signal(syscall.SIGCONT)
	}
	grp.Wait()
	return nil
}

// cutTime is less than that of kea-attiki's zone_cut with refused connections, 5.5 s.
const cutTime = 5 * time.Second

// playCancelInCut has a client cancel a job by an instance in another zone than that which has the job, while connections between the zones are refused.
func playCancelInCut(wld *world) error {
	if err := wld.small(); err != nil {
		return err
	}
	owner, other := wld.daemons[0], wld.daemons[2]
	jb := longJob("5c0e7a21d94b36f8", wld.queues[0], 24)
	answered := wld.handInLater(owner, jb)
	time.Sleep(500 * time.Millisecond)
	cut := wld.zoneLinks(owner.zone)
	healed := make(chan struct{})
	if troubled() {
		wld.jdg.say("zone %s is cut off from zone %s; connections between them are refused", owner.zone, other.zone)
		wld.jdg.calmAt(time.Now().Add(cutTime + contact))
	}
	go func() {
		defer close(healed)
		if troubled() {
			during(cut, cutTime, (*link).refuse)
			wld.jdg.say("the cut is over")
		}
	}()
	time.Sleep(time.Second)
	wld.cancelUntilAnswered(jb, 300*time.Millisecond, other)
	<-healed
	<-answered
	return nil
}

// playCancelAfterRestart has a client cancel a job by an instance that was killed and has started again while its zone is cut off from that of the
// instance which has the job.
func playCancelAfterRestart(wld *world) error {
	if err := wld.small(); err != nil {
		return err
	}
	owner, other := wld.daemons[0], wld.daemons[2]
	jb := longJob("5c0e7a21d94b36f8", wld.queues[0], 24)
	answered := wld.handInLater(owner, jb)
	time.Sleep(500 * time.Millisecond)
	cut := wld.zoneLinks(owner.zone)
	healed := make(chan struct{})
	if troubled() {
		wld.jdg.say("zone %s is cut off from zone %s, silently", owner.zone, other.zone)
		wld.jdg.calmAt(time.Now().Add(cutTime + contact))
	}
	go func() {
		defer close(healed)
		if troubled() {
			during(cut, cutTime, (*link).hold)
			wld.jdg.say("the cut is over")
		}
	}()
	if troubled() {
		time.Sleep(300 * time.Millisecond)
		wld.restart(other, syscall.SIGKILL, 500*time.Millisecond)
	}
	time.Sleep(time.Second)
	wld.cancelUntilAnswered(jb, 300*time.Millisecond, other)
	<-healed
	<-answered
	return nil
}

// repeatAfter is how long after the 2xx answers to a job's POST and to its DELETE the POST comes once more.
const repeatAfter = 4 * time.Second

// playLateRepeat has the POST of a cancelled job come once more, seconds after its 2xx answer.
func playLateRepeat(wld *world) error {
	if err := wld.small(); err != nil {
		return err
	}
	jb := longJob("5c0e7a21d94b36f8", wld.queues[0], 6)
	owner, mate := wld.daemons[0], wld.daemons[1]
	answered := wld.handInLater(owner, jb)
	time.Sleep(time.Second)
	wld.cancelUntilAnswered(jb, 300*time.Millisecond, owner)
	<-answered
	time.Sleep(repeatAfter)
	if troubled() {
		wld.jdg.say("the POST comes once more")
		wld.handIn(context.Background(), mate, jb)
	}
	return nil
}

const (
	// applyTime is ConfigApplyMs, ackTime AckMs.
	applyTime = 2 * time.Second
	ackTime   = 4 * time.Second
)

// playCancelOnDroppedQueue has a client cancel a job after its queue was taken out of the desired state.
func playCancelOnDroppedQueue(wld *world) error {
	if err := wld.small(); err != nil {
		return err
	}
	owner := wld.daemons[0]
	jb := longJob("5c0e7a21d94b36f8", wld.queues[0], 26)
	answered := wld.handInLater(owner, jb)
	time.Sleep(500 * time.Millisecond)
	if troubled() {
		wld.queues = wld.queues[1:]
		wld.configure()
		wld.jdg.say("a desired state without the queue of the job is acknowledged")
	}
	time.Sleep(applyTime + time.Second)
	wld.jdg.asksToCancel(jb)
	for range 40 {
		if sta := wld.cancelJob(context.Background(), owner, jb); sta == 200 || sta == 410 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	<-answered
	return nil
}
