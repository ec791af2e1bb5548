package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// benchList is a pool of the design size by default: seven failure domains, 26,000 workers.
func benchList(entries, servers int) []Instance {
	list := make([]Instance, 0, entries+servers)
	for idx := range entries {
		list = append(list, Instance{
			ID: fmt.Sprintf("riga-entry-%03d", idx), Incarnation: fmt.Sprintf("01J%023d", idx), Kind: KindEntry,
			PeerAddress: fmt.Sprintf("10.20.%d.%d:7400", idx/250, idx%250), FailureDomain: fmt.Sprintf("riga-%d", idx%7),
		})
	}
	for idx := range servers {
		list = append(list, Instance{
			ID: fmt.Sprintf("deckforge-runner-%05d", idx), Incarnation: fmt.Sprintf("01J%023d", idx), Kind: KindServer,
			Address: fmt.Sprintf("10.30.%d.%d:7500", idx/250, idx%250), FailureDomain: fmt.Sprintf("riga-%d", idx%7),
			Slots: 8, Rack: fmt.Sprintf("rack-%d", idx/8), Worker: fmt.Sprintf("worker-%d", idx),
		})
	}
	return list
}

func benchTracker(entries, servers int) (*Tracker, []Instance) {
	list := benchList(entries, servers)
	trk := New(DefaultConfig(), list[0], rand.New(rand.NewPCG(1, 1)))
	trk.ListRead(start, list)
	trk.View(start)
	return trk, list
}

var sizes = map[string][2]int{
	"6-entries-50-servers":     {6, 50},
	"24-entries-3700-servers":  {24, 3700},
	"96-entries-26000-servers": {96, 26000},
}

func BenchmarkListRead(b *testing.B) {
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			trk, list := benchTracker(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				trk.ListRead(start, list)
				trk.View(start)
			}
		})
	}
}

// BenchmarkEntryChange is a view after an entry instance died, or came back.
func BenchmarkEntryChange(b *testing.B) {
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			trk, list := benchTracker(size[0], size[1])
			peer := dispatch.PeerID(list[1].ID)
			b.ReportAllocs()
			back := Fact{ID: list[1].ID, Kind: KindEntry, Incarnation: list[1].Incarnation, State: Alive}
			for b.Loop() {
				trk.PeerRefused(start, peer)
				trk.View(start)
				back.Epoch++
				trk.apply(start, back)
				trk.View(start)
			}
		})
	}
}

func BenchmarkServerChange(b *testing.B) {
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			trk, list := benchTracker(size[0], size[1])
			srv := list[len(list)-1]
			b.ReportAllocs()
			inc := 0
			for b.Loop() {
				inc++
				trk.ServerHeard(start, dispatch.ServerID(srv.ID), fmt.Sprintf("%d", inc%2))
				trk.View(start)
			}
		})
	}
}

func BenchmarkRound(b *testing.B) {
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			trk, _ := benchTracker(size[0], size[1])
			other, _ := benchTracker(size[0], size[1])
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				trk.Wake(now)
				for _, snd := range trk.Actions(now).Sends {
					other.Answer(now, snd.Heartbeat)
				}
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			list := benchList(size[0], size[1])
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				trk := New(DefaultConfig(), list[0], rand.New(rand.NewPCG(1, 1)))
				trk.ListRead(start, list)
				trk.View(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(trk)
			}
		})
	}
}
