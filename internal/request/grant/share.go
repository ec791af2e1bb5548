package grant

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Share returns for how many tasks of the given number that would start in a load's room an owner counts on it, at a contention of at least 1.
// A part of a task is rounded up or down by a hash of the owner, the shard and the number of the load, so that the owners' shares add up to
// about the room.
func Share(tasks int64, contention float64, owner, shard string, load int64) int64 {
	if contention <= 1 {
		return tasks
	}
	return int64(float64(tasks)/contention + fraction(owner, shard, load))
}

// Weigh returns the score of a shard for a task by weighted rendezvous hashing: the shard with the highest score is a random choice with
// probabilities in proportion to the weights. A weight of 0 or less scores lowest.
func Weigh(task, shard string, weight int64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	return math.Log(fraction(task, shard, 0)) / float64(weight)
}

// fraction returns a number above 0 and below 1 that depends on all arguments.
func fraction(one, two string, num int64) float64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, one...)
	buf = append(buf, 0) // Separates the names, so that no two pairs of them hash the same bytes.
	buf = append(buf, two...)
	buf = append(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(num))
	return (float64(xxhash.Sum64(buf)>>11) + 0.5) / (1 << 53)
}
