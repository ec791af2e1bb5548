package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// reader returns the name of the instance that reads the list of servers for the others.
func (wld *world) reader() string {
	for name, prc := range wld.entries {
		prc.dmn.mu.Lock()
		first := prc.dmn.elector != nil && prc.dmn.readerRank() == 0
		prc.dmn.mu.Unlock()
		if first {
			return name
		}
	}
	return ""
}

// The instance that reads the list of servers for all is lost when a server says that it is leaving, and tasks go on starting there.
func TestReaderOfTheListIsLost(t *testing.T) {
	cases := map[string]func(wld *world, reader string){
		"nothing happens":                 func(*world, string) {},
		"it is killed":                    func(wld *world, reader string) { wld.kill(reader) },
		"it loses power":                  func(wld *world, reader string) { wld.powerOff(reader) },
		"the store turns it away":         func(wld *world, reader string) { wld.net.Separate(wld.entries[reader].host, storeHost) },
		"the list's history is dropped":   func(wld *world, _ string) { wld.sto.Compact(string(platform.ServersTopic)) },
		"the digests' history is dropped": func(wld *world, _ string) { wld.sto.Compact(string(platform.ServerDigestsTopic)) },
		"digests of nonsense are written": func(wld *world, _ string) { wld.writeNonsense() },
		"a digest that jumps ahead is written": func(wld *world, _ string) {
			wld.sto.Put(string(platform.ServerDigestsTopic), platform.ServerDigestsKey, map[string]any{"by": "x", "from": 0, "to": 1 << 19})
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, 3, 3, func(wld *world) {
				chk := is.NewRelaxed(t)
				wld.beatServers(3 * time.Second)
				trouble(wld, wld.reader())
				wld.beatServers(100 * time.Millisecond)
				wld.list("server-1-1", "domain-1", "draining")
				wld.beatServersBut("server-1-1", 2*time.Second)
				for _, prc := range wld.live() {
					prc.dmn.mu.Lock()
					ent := prc.dmn.entries["server-1-1"]
					prc.dmn.mu.Unlock()
					chk.True(ent.Leaving || !wld.reaches(prc))
				}
				wld.net.Heal()
				wld.beatServersBut("server-1-1", 4*time.Second)
				before := wld.listReads()
				wld.beatServersBut("server-1-1", 4*time.Second)
				chk.True(wld.listReads()-before <= 2*10) // One or two read each 0.4 s.
				job := jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 100}}
				chk.Equal(wld.send(wld.ctx, wld.live()[0].name, job), http.StatusOK)
			})
		})
	}
}

func (wld *world) writeNonsense() {
	for _, val := range []any{"x", map[string]any{"by": "", "from": 9, "to": 3}, map[string]any{"by": "x", "from": -4, "to": 1 << 60}} {
		wld.sto.Put(string(platform.ServerDigestsTopic), platform.ServerDigestsKey, val)
	}
}

// live returns the instances that were neither killed nor lost power.
func (wld *world) live() []*process {
	var prcs []*process
	for _, name := range wld.names() {
		if prc := wld.entries[name]; !prc.dmn.leaving.Load() {
			prcs = append(prcs, prc)
		}
	}
	return prcs
}

// reaches reports whether an instance reaches the store.
func (wld *world) reaches(prc *process) bool {
	ctx, cancel := context.WithTimeout(wld.ctx, 100*time.Millisecond)
	defer cancel()
	con, err := wld.net.Dialer(prc.host)(ctx, "tcp", storeHost+":1")
	if err == nil {
		_ = con.Close() // Nothing was written.
	}
	return err == nil
}

func (wld *world) listReads() int64 {
	var num int64
	for _, prc := range wld.entries {
		num += prc.dmn.cnt.listReads.Load()
	}
	return num
}

// Of twelve instances of a failure domain only two watch a leader, and the others learn late that it has lost its power.
func TestLeaderOfALargeDomainLosesPower(t *testing.T) {
	inWorld(t, 2, 12, 24, func(wld *world) {
		chk := is.NewRelaxed(t)
		time.Sleep(time.Second)
		led := wld.leader("domain-1")
		chk.True(led != "")
		wld.powerOff(led)
		time.Sleep(900 * time.Millisecond)
		for _, prc := range wld.live() {
			if prc.domain != "domain-1" {
				continue
			}
			prc.dmn.mu.Lock()
			chk.True(!prc.dmn.elector.Vacant("domain-1"))
			for id := range prc.dmn.elector.Others() {
				chk.True(id != wld.entries[led].dmn.self)
			}
			prc.dmn.mu.Unlock()
		}
		began := time.Now()
		for num := range 12 {
			job := jobSpec{id: jobID(num), tasks: 6, payload: payload{Millis: 100}}
			chk.Equal(wld.send(wld.ctx, fmt.Sprintf("entry-2-%d", num+1), job), http.StatusOK)
		}
		chk.True(time.Since(began) < 12*200*time.Millisecond)
	})
}

// The store turns many instances of a large system away, a whole failure domain even, and most instances hear each other seldom.
func TestConfigurationReachesManyThatAreTurnedAway(t *testing.T) {
	cases := map[string]func(num int, prc *process) bool{
		"a third of all":         func(num int, _ *process) bool { return num%3 == 0 },
		"a whole failure domain": func(_ int, prc *process) bool { return prc.domain == "domain-2" },
	}
	for name, away := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, 12, 2, func(wld *world) {
				chk := is.NewRelaxed(t)
				time.Sleep(2 * time.Second)
				for num, prc := range wld.live() {
					if away(num, prc) {
						wld.net.Separate(prc.host, storeHost)
					}
				}
				wld.route("/thumb/", "/new/")
				time.Sleep(2 * time.Second)
				for at := range wld.entries {
					chk.Equal(wld.queue(at, "/new/"), http.StatusOK)
				}
			})
		})
	}
}
