package shard

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlacementInAShortage measures one placement round of a shard of nine busy servers with 30 waiting orders.
func BenchmarkPlacementInAShortage(b *testing.B) {
	for name, fea := range map[string]Features{"without": {}, "headroom": {Headroom: true}} {
		b.Run(name, func(b *testing.B) {
			var ents []ServerEntry
			for num := range 9 {
				ents = append(ents, serverEntry(fmt.Sprint("s", num), 2*size+size/2))
			}
			har := newHarness(&testing.T{}, ents...)
			har.ldr.cfg.Features = fea
			for num := range 6 {
				har.send(0, fmt.Sprintf("urgent%d.0", num), time.Second)
			}
			for num := range 27 {
				har.send(1+num%2, fmt.Sprintf("less%d.%d", num/2, num), time.Second)
			}
			har.goOn(500 * time.Millisecond)
			for num := range 15 {
				har.send(0, fmt.Sprintf("waiting%d.0", num), 900*time.Millisecond)
			}
			small := har.order(2, "small.0") // No server suits it, so that each round goes through the queue.
			small.Processor, small.Label = 1, "none"
			har.record(har.ldr.HandleOrder(har.now, small))
			b.ResetTimer()
			for range b.N {
				har.ldr.place(har.now)
			}
		})
	}
}
