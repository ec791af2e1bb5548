package submission

import (
	"fmt"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// BenchmarkChooseShard measures the choice of a shard for a task, at numbers of instances that each lead one shard, with and without sharing.
func BenchmarkChooseShard(b *testing.B) {
	for _, instances := range []int{30, 100, 235, 300} {
		for _, active := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d instances, sharing %t", instances, active), func(b *testing.B) {
				hrn := newHarness()
				hrn.crd.cfg.Features.Reservations = true
				for num := range instances {
					name := shard.Name(fmt.Sprintf("a.%d", num))
					hrn.setLeader(name, num%3 == 0, shard.InstanceID(fmt.Sprintf("leader-%d/1", num)), 1, 9)
				}
				hrn.submit(1, "j", 1)
				hrn.crd.now, hrn.crd.sharing.active = hrn.now.Add(time.Second), active
				tsk := hrn.crd.tasks["j.0.0.0"]
				for b.Loop() {
					hrn.crd.chooseShard(tsk, &tsk.job.sub.Steps[0])
				}
			})
		}
	}
}
