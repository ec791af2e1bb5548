package slot

import "chestnutstack/internal/request/job"

// Shape is the size of a backend server; a task takes the same number of slots on all servers of one shape.
type Shape struct {
	// Slots is the number of slots of the backend server.
	Slots uint32
	// Capacity is the total of resources that all slots share; processors or memory of 0 are not known and limit
	// nothing.
	Capacity job.Needs
}

// Width returns how many slots a task with these needs takes, or 0 if it can never fit. The resource of which the
// task needs the largest share decides.
func (shp Shape) Width(nds job.Needs) uint32 {
	wid := max(
		share(uint64(nds.Processors), uint64(shp.Capacity.Processors), shp.Slots),
		share(nds.MemoryBytes, shp.Capacity.MemoryBytes, shp.Slots),
		accelerators(nds.Accelerators, shp),
		1,
	)
	if wid > shp.Slots {
		return 0
	}
	return wid
}

// accelerators returns the slots that the needed accelerators take. A capacity of 0 means that the server has
// none, while processors and memory of 0 are only undeclared.
func accelerators(need uint32, shp Shape) uint32 {
	if need > shp.Capacity.Accelerators {
		return shp.Slots + 1
	}
	return share(uint64(need), uint64(shp.Capacity.Accelerators), shp.Slots)
}

// share returns how many of the slots the needed part of the capacity takes, rounded up; more than all if it
// exceeds the capacity.
func share(need, capacity uint64, slots uint32) uint32 {
	if need == 0 || capacity == 0 {
		return 0
	}
	if need > capacity {
		return slots + 1
	}
	// The division comes first, since the product of a large memory size and the slots would overflow.
	quo, rem := need/capacity, need%capacity
	part := (float64(quo) + float64(rem)/float64(capacity)) * float64(slots)
	wid := uint32(part)
	if float64(wid) < part {
		wid++
	}
	return wid
}
