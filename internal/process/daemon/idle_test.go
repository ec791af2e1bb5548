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

var measure = flag.Bool("measure", false, "also run the tests of systems that take minutes")

// idleServers is the number of backend servers for each instance of an idle system.
const idleServers = 8

// idleUse is the resource use of a system without jobs: totals as resourceUse returns them, or means per instance and second. Allocations,
// heapBytes and processor include the stand-ins.
type idleUse struct {
	calls, peerBytes, storeBytes, renewals float64
	allocations, heapBytes                 float64
	processor                              time.Duration
}

// Guards against a cost of membership that grows with the number of instances, until an instance has no processor time left for its callers:
// without jobs, calls and bytes of each instance may at most double from 20 instances on, and renewals grow by a fifth.
func TestIdleSystem(t *testing.T) {
	small := measureIdle(t, 20)
	for _, num := range []int{40, 75, 150, 300} {
		if num > 40 && !*measure {
			continue
		}
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			chk := is.NewRelaxed(t)
			large := measureIdle(t, num)
			chk.True(large.calls <= 2*small.calls)
			chk.True(large.peerBytes <= 2*small.peerBytes)
			chk.True(large.storeBytes <= 2*small.storeBytes)
			chk.True(large.renewals <= 1.2*small.renewals)
		})
	}
}

// measureIdle runs a system without jobs and returns the resource use of each instance per second.
func measureIdle(t *testing.T, instances int) idleUse {
	t.Helper()
	const domains = 5
	var got idleUse
	synctest.Test(t, func(t *testing.T) {
		runTestSystem(t, domains, instances/domains, idleServers*instances/domains, func(sys *system) {
			// A new instance reads the list in full and calls all others; this isn't measured.
			sys.sendHeartbeats(6 * time.Second)
			before := sys.resourceUse()
			const length = 5 * time.Second
			sys.sendHeartbeats(length)
			got = sys.resourceUse().since(&before, instances, length)
		})
		time.Sleep(20 * time.Second)
	})
	t.Logf("%d instances, each per second: %.1f calls and %.0f bytes to and from peers, %.0f bytes from the store, %.1f renewals; "+
		"with the stand-ins %.0f allocations, %v of processor time, %.0f bytes of heap", instances, got.calls, got.peerBytes, got.storeBytes, got.renewals,
		got.allocations, got.processor, got.heapBytes)
	return got
}

// sendHeartbeats writes the record of each server every 1.5 s, spread evenly over that time, for a while.
func (sys *system) sendHeartbeats(dur time.Duration) { sys.sendHeartbeatsExcept("", dur) }

// sendHeartbeatsExcept is sendHeartbeats with one server that writes nothing.
func (sys *system) sendHeartbeatsExcept(silent string, dur time.Duration) {
	const interval = 1500 * time.Millisecond
	nms := slices.DeleteFunc(slices.Sorted(maps.Keys(sys.servers)), func(id string) bool { return id == silent })
	pause := interval / time.Duration(len(nms))
	began := time.Now()
	for num := 0; time.Since(began) < dur; num++ {
		id := nms[num%len(nms)]
		var dom int
		_, _ = fmt.Sscanf(id, "server-%d-", &dom) // Can't fail: all servers have such names.
		sys.listServer(id, domainName(dom-1), "ready")
		time.Sleep(time.Until(began.Add(time.Duration(num) * pause)))
	}
}

// resourceUse returns what all current instances have used so far.
func (sys *system) resourceUse() idleUse {
	var sum idleUse
	for _, prc := range sys.instances {
		sts := prc.dmn.mesh.Stats()
		sum.calls += float64(sts.Calls)
		sum.peerBytes += float64(sts.BytesIn + sts.BytesOut)
		sum.storeBytes += float64(prc.dmn.cnt.traffic.store.Stats().BytesIn)
		sum.renewals += float64(prc.dmn.cnt.renewals.Load())
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	sum.allocations, sum.heapBytes = float64(mem.Mallocs), float64(mem.HeapAlloc)
	sum.processor = processorTime(sys.t)
	return sum
}

// since returns the mean use per instance and second since an earlier total; heapBytes is the present heap per instance.
func (idl idleUse) since(was *idleUse, instances int, dur time.Duration) idleUse {
	num := float64(instances) * dur.Seconds()
	return idleUse{
		calls: (idl.calls - was.calls) / num, peerBytes: (idl.peerBytes - was.peerBytes) / num,
		storeBytes: (idl.storeBytes - was.storeBytes) / num, renewals: (idl.renewals - was.renewals) / num,
		allocations: (idl.allocations - was.allocations) / num, heapBytes: idl.heapBytes / float64(instances),
		processor: time.Duration(float64(idl.processor-was.processor) / num),
	}
}
