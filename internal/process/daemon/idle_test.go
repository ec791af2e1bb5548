package daemon

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var measure = flag.Bool("measure", false, "also play the idle systems that take minutes")

// idleServers is how many backend servers there are for each instance of an idle system.
const idleServers = 8

// idle is what an instance of a system without jobs spends in a second.
type idle struct {
	calls, peerBytes, storeBytes, looks float64
	allocations, heapBytes              float64
	processor                           time.Duration
}

// What an instance of a system without jobs spends on knowing the others grows with their number, until it has no time for its callers.
func TestIdleSystem(t *testing.T) {
	small := playIdle(t, 20)
	for _, num := range []int{40, 75, 150, 300} {
		if num > 40 && !*measure {
			continue
		}
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			chk := is.NewRelaxed(t)
			large := playIdle(t, num)
			chk.True(large.calls <= 2*small.calls)
			chk.True(large.peerBytes <= 2*small.peerBytes)
			chk.True(large.storeBytes <= 2*small.storeBytes)
			chk.True(large.looks <= 1.2*small.looks)
		})
	}
}

func playIdle(t *testing.T, instances int) idle {
	t.Helper()
	const domains = 5
	var got idle
	synctest.Test(t, func(t *testing.T) {
		playInWorld(t, domains, instances/domains, idleServers*instances/domains, func(wld *world) {
			// A new instance reads the list in full and talks to all.
			wld.beatServers(6 * time.Second)
			before := wld.spent()
			const length = 5 * time.Second
			wld.beatServers(length)
			got = wld.spent().since(&before, instances, length)
		})
		time.Sleep(20 * time.Second)
	})
	t.Logf("%d instances, each in a second: %.1f calls and %.0f bytes with peers, %.0f bytes from the store, %.1f looks; with the stand-ins "+
		"%.0f allocations, %v of processor, %.0f bytes of heap", instances, got.calls, got.peerBytes, got.storeBytes, got.looks,
		got.allocations, got.processor, got.heapBytes)
	return got
}

// beatServers writes the heartbeat of each server every 1.5 s, in turn, for a while.
func (wld *world) beatServers(dur time.Duration) { wld.beatServersBut("", dur) }

// beatServersBut is beatServers with one server that writes nothing.
func (wld *world) beatServersBut(silent string, dur time.Duration) {
	const interval = 1500 * time.Millisecond
	nms := slices.DeleteFunc(slices.Sorted(maps.Keys(wld.servers)), func(id string) bool { return id == silent })
	pause := interval / time.Duration(len(nms))
	began := time.Now()
	for num := 0; time.Since(began) < dur; num++ {
		id := nms[num%len(nms)]
		var dom int
		_, _ = fmt.Sscanf(id, "server-%d-", &dom) // All are named so.
		wld.list(id, domainName(dom-1), "ready")
		time.Sleep(time.Until(began.Add(time.Duration(num) * pause)))
	}
}

// spent is what all instances have spent so far.
func (wld *world) spent() idle {
	var sum idle
	for _, prc := range wld.entries {
		sts := prc.dmn.mesh.Stats()
		sum.calls += float64(sts.Calls)
		sum.peerBytes += float64(sts.BytesIn + sts.BytesOut)
		sum.storeBytes += float64(prc.dmn.cnt.traffic.store.Stats().BytesIn)
		sum.looks += float64(prc.dmn.cnt.renewals.Load())
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	sum.allocations, sum.heapBytes = float64(mem.Mallocs), float64(mem.HeapAlloc)
	sum.processor = processorTime(wld.t)
	return sum
}

// since returns what each instance has spent in a second of some time.
func (idl idle) since(was *idle, instances int, dur time.Duration) idle {
	num := float64(instances) * dur.Seconds()
	return idle{
		calls: (idl.calls - was.calls) / num, peerBytes: (idl.peerBytes - was.peerBytes) / num,
		storeBytes: (idl.storeBytes - was.storeBytes) / num, looks: (idl.looks - was.looks) / num,
		allocations: (idl.allocations - was.allocations) / num, heapBytes: idl.heapBytes / float64(instances),
		processor: time.Duration(float64(idl.processor-was.processor) / num),
	}
}
