package mesh

import (
	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/shard"
)

// encodeHeadroom returns what the tasks of each priority leave of a shard's free room, as heartbeats have it; nil if nothing is kept.
func encodeHeadroom(lod *shard.Load) []*meshpb.Headroom {
	var msgs []*meshpb.Headroom
	for pri := 1; pri < shard.Priorities; pri++ {
		for len(lod.Kept[pri].Processor) > 0 && len(msgs) < pri-1 {
			msgs = append(msgs, &meshpb.Headroom{})
		}
		if len(lod.Kept[pri].Processor) > 0 {
			msgs = append(msgs, &meshpb.Headroom{Processor: lod.Kept[pri].Processor, Memory: lod.Kept[pri].Memory})
		}
	}
	return msgs
}

// decodeHeadroom sets what tasks leave of a shard's free room. What isn't of the same servers as the free room, or is negative, isn't used.
func decodeHeadroom(msgs []*meshpb.Headroom, lod *shard.Load) {
	for idx, msg := range msgs[:min(len(msgs), shard.Priorities-1)] {
		prc, mem := msg.GetProcessor(), msg.GetMemory()
		if len(prc) == 0 || len(prc) != len(lod.Free) || len(mem) != len(prc) || anyNegative(prc) || anyNegative(mem) {
			continue
		}
		lod.Kept[idx+1] = shard.ServerRoom{Processor: prc, Memory: mem}
	}
}

func anyNegative(nums []int64) bool {
	for _, num := range nums {
		if num < 0 {
			return true
		}
	}
	return false
}
