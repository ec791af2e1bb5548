package slot_test

import (
	"math/bits"
	"testing"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
)

// For any declared capacity, the slots of a task's width must hold what it needs, and one slot fewer must not.
func FuzzWidth(fuz *testing.F) {
	fuz.Add(uint32(8), uint64(128<<30), uint64(16<<30))
	fuz.Add(uint32(8), uint64(3), uint64(2))
	fuz.Add(uint32(1), uint64(1)<<63, uint64(1)<<63)
	fuz.Fuzz(func(tst *testing.T, slots uint32, capacity, need uint64) {
		// Beyond 2^52 the shares are rounded; no machine has that much.
		slots, capacity, need = slots%64+1, capacity%(1<<52)+1, need%(1<<52)
		shp := slot.Shape{Slots: slots, Capacity: job.Needs{MemoryBytes: capacity}}
		wid := shp.Width(job.Needs{MemoryBytes: need})
		if (wid == 0) != (need > capacity) {
			tst.Fatalf("width %d for %d of %d", wid, need, capacity)
		}
		if wid > 1 && holds(wid-1, slots, capacity, need) {
			tst.Fatalf("width %d of %d is too large for %d of %d", wid, slots, need, capacity)
		}
		if wid > 0 && !holds(wid, slots, capacity, need) {
			tst.Fatalf("width %d of %d is too small for %d of %d", wid, slots, need, capacity)
		}
	})
}

// holds reports whether wid of all slots is at least the share need/capacity.
func holds(wid, slots uint32, capacity, need uint64) bool {
	hiw, low := bits.Mul64(uint64(wid), capacity)
	hin, lon := bits.Mul64(uint64(slots), need)
	return hiw > hin || hiw == hin && low >= lon
}
