package submission

import "testing"

// Guards against a job whose callers are both told that the other one's submission goes on, so that nothing of it runs.
func TestOneOwnerKeepsAJobOfTwo(t *testing.T) {
	cases := map[string]struct{ tasks, shards int }{
		"one task":               {tasks: 1, shards: 1},
		"two tasks, one shard":   {tasks: 2, shards: 1},
		"two tasks, two shards":  {tasks: 2, shards: 2},
		"four tasks, two shards": {tasks: 4, shards: 2},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			const seeds = 500
			lost := 0
			for seed := range uint64(seeds) {
				two := newTwoOwners(seed, cse.shards)
				two.submit(2, cse.tasks)
				two.deliverAll()
				if len(two.answers) == 2 {
					lost++
				}
			}
			if lost > 0 {
				t.Errorf("both submissions were ended in %d of %d plays", lost, seeds)
			}
		})
	}
}
