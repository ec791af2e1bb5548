package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// loseAllPower cuts the power of all instances at once and starts each of them again after a second, when the store is there.
func (sys *system) loseAllPower() {
	for _, name := range sys.instanceNames() {
		sys.powerOff(name)
	}
	time.Sleep(time.Second)
	sys.sto.SetDown(false)
	for _, name := range sys.instanceNames() {
		sys.startInstance(name, sys.instances[name].domain)
	}
}

// expectServed sends a job to each instance and expects its answer within a time.
func (sys *system) expectServed(within time.Duration, firstJob int) {
	sys.t.Helper()
	chk := is.NewRelaxed(sys.t)
	began := time.Now()
	var all []*sentJob
	for num, name := range sys.instanceNames() {
		if sys.instances[name].poweredOff {
			continue
		}
		all = append(all, sys.sendAsync(sys.ctx, name, jobSpec{id: jobID(firstJob + num), tasks: 2, payload: payload{Millis: 100}}))
	}
	for _, snt := range all {
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	}
	sys.t.Logf("all are done after %s", time.Since(began))
	chk.True(time.Since(began) < within)
}

func TestServersHoldHighTokensAfterAPowerLoss(t *testing.T) {
	// Guards against takeovers that are refused for as long as the system has run: all instances lose power, and the servers hold tokens of rounds
	// that only the former processes knew.
	cases := map[string]struct{ takeovers int64 }{
		"10 takeovers before":        {takeovers: 10},
		"a hundred takeovers before": {takeovers: 100},
		"a million takeovers before": {takeovers: 1e6},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 2, func(sys *system) {
				for _, srv := range sys.servers {
					srv.ObeyFrom((cse.takeovers + 8) << 20)
				}
				sys.loseAllPower()
				sys.expectServed(2*time.Second, 0)
			})
		})
	}
}

// raiseRounds has the instances know of so many takeovers more.
func (sys *system) raiseRounds(takeovers int64) {
	dmn := sys.instances[sys.instanceNames()[0]].dmn
	dmn.mu.Lock()
	dmn.rounds.HandleHeard(dmn.rounds.Highest() + takeovers)
	dmn.mu.Unlock()
	time.Sleep(time.Second)
}

// takeOverAgain has each failure domain's leader stop as planned and start again, so that others take over.
func (sys *system) takeOverAgain() {
	for num := range sys.domains {
		name := sys.leader(domainName(num))
		domain := sys.instances[name].domain
		sys.instances[name].stop()
		<-sys.instances[name].done
		sys.startInstance(name, domain)
		time.Sleep(2 * time.Second)
	}
}

// roundsAndRefusals returns the highest round that the instances know, and how many orders the servers have refused so far.
func (sys *system) roundsAndRefusals() (highest int64, refusals int) {
	for _, prc := range sys.instances {
		prc.dmn.mu.Lock()
		if prc.dmn.rounds != nil {
			highest = max(highest, prc.dmn.rounds.Highest())
		}
		prc.dmn.mu.Unlock()
	}
	for _, srv := range sys.servers {
		refusals += srv.Refusals()
	}
	return highest, refusals
}

func TestPowerLossAfterManyTakeovers(t *testing.T) {
	// Guards against takeovers that are refused after all instances lost power, as no process remembers the rounds that were in use.
	hour := map[string]time.Duration{"entry-1-1": time.Hour, "entry-2-1": -time.Hour}
	cases := map[string]struct {
		takeovers int64
		clocks    map[string]time.Duration
		// storeAwayAfter is how long after the restart the store goes away, 0 if it stays.
		storeAwayAfter time.Duration
		// storeAway is set if the store is away while the takeovers come before the loss.
		storeAway bool
		refusals  int
	}{
		"10 takeovers":                                    {takeovers: 10},
		"10 takeovers, clocks an hour off":                {takeovers: 10, clocks: hour},
		"a million takeovers":                             {takeovers: 1e6},
		"a million takeovers, clocks an hour off":         {takeovers: 1e6, clocks: hour},
		"a hundred million takeovers":                     {takeovers: 1e8},
		"a million takeovers, store away after the start": {takeovers: 1e6, storeAwayAfter: 50 * time.Millisecond},
		"10 takeovers while the store was away":           {takeovers: 10, storeAway: true},
		"30,000 takeovers while the store was away":       {takeovers: 30e3, storeAway: true},
		"a million takeovers while the store was away":    {takeovers: 1e6, storeAway: true, refusals: 20},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.clocksAhead = cse.clocks
				if cse.storeAway {
					sys.sto.SetDown(true)
					sys.raiseRounds(cse.takeovers)
					led := sys.leader("domain-1")
					sys.powerOff(led)
					time.Sleep(3 * time.Second)
				} else {
					sys.raiseRounds(cse.takeovers)
					sys.takeOverAgain()
				}
				sys.expectServed(time.Second, 0)
				before, refusedBefore := sys.roundsAndRefusals()
				chk.True(before >= cse.takeovers)
				sys.loseAllPower()
				if cse.storeAwayAfter > 0 {
					time.Sleep(cse.storeAwayAfter)
					sys.sto.SetDown(true)
				}
				sys.expectServed(2*time.Second, 10)
				after, refused := sys.roundsAndRefusals()
				t.Logf("rounds up to %d before, %d after; %d orders refused", before, after, refused-refusedBefore)
				chk.True(after > before)
				chk.True(refused-refusedBefore <= cse.refusals)
				sys.sto.SetDown(false)
			})
		})
	}
}

func TestOnlyOneInstanceIsBack(t *testing.T) {
	// Guards against an instance that hears nobody, as no other one has power again, and whose takeovers are refused for as long as the system has run.
	inTestSystem(t, 2, 2, 2, func(sys *system) {
		sys.raiseRounds(1e6)
		sys.takeOverAgain()
		for _, name := range sys.instanceNames() {
			sys.powerOff(name)
		}
		time.Sleep(time.Second)
		sys.startInstance("entry-1-1", "domain-1")
		// It waits for others for 1.5 s after it is ready, then the job waits for 1.3 s, as a leader whose token was refused had its order.
		sys.expectServed(3*time.Second, 0)
	})
}

func TestUnreadableMarkOfRounds(t *testing.T) {
	// Guards against a record of another writer that ends the following of instances, makes rounds useless, or stays.
	cases := map[string]any{
		"not a number": map[string]any{"Rounds": "x"}, "another field": map[string]any{"Address": "host:1"}, "negative": map[string]any{"Rounds": -5},
		"beyond the range": map[string]any{"Rounds": int64(1) << 60}, "dropped": nil,
	}
	for name, val := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 2, func(sys *system) {
				sys.raiseRounds(1e6)
				sys.takeOverAgain()
				sys.sto.Put(string(platform.InstancesTopic), platform.RoundsKey, val)
				time.Sleep(8 * time.Second) // The mark is written again.
				before, _ := sys.roundsAndRefusals()
				sys.loseAllPower()
				sys.expectServed(2*time.Second, 0)
				after, refusals := sys.roundsAndRefusals()
				is.NewRelaxed(t).True(after > before)
				is.NewRelaxed(t).Equal(refusals, 0)
			})
		})
	}
}
