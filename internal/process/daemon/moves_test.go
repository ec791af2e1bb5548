package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// ordersEach5s bounds the orders and recalls of a task in 5 s, ordersAtOnce those in a millisecond, in which messages take no time here: two returns,
	// a recall and two returns more come before the first pause.
	ordersEach5s, ordersAtOnce = 40, 8
)

// checkOrders checks that no task went round between its owner and leaders in a time, by the log. Orders that follow to a new leader don't count.
func (sys *system) checkOrders(dur time.Duration) {
	most := int(ordersEach5s * max(dur, 5*time.Second) / (5 * time.Second))
	all, atOnce := map[string]int{}, map[string]int{}
	scn := bufio.NewScanner(strings.NewReader(sys.logText()))
	scn.Buffer(nil, 1<<20)
	for scn.Scan() {
		at, line, _ := strings.Cut(scn.Text(), " ")
		if !strings.Contains(line, `"message":"order"`) || strings.Contains(line, `"followed":true`) {
			continue
		}
		var ord struct {
			Task string `json:"task"`
		}
		if err := json.Unmarshal([]byte(line), &ord); err != nil {
			sys.t.Errorf("log line: %v", err)
		}
		all[ord.Task]++
		atOnce[ord.Task+" at "+at]++
	}
	for tsk, num := range all {
		if num > most {
			sys.t.Errorf("%d orders and recalls of task %s", num, tsk)
		}
	}
	for when, num := range atOnce {
		if num > ordersAtOnce {
			sys.t.Errorf("%d orders and recalls in a millisecond of task %s", num, when)
		}
	}
	sys.t.Logf("%d orders and recalls of %d tasks", total(all), len(all))
}

func total(nums map[string]int) int {
	sum := 0
	for _, num := range nums {
		sum += num
	}
	return sum
}

// Guards against orders that go round at network speed while leaders have processor free on servers that can't take the tasks.
func TestOrdersDoNotCirculateBetweenInstances(t *testing.T) {
	const gap, length = 15 * time.Millisecond, 6 * time.Second
	plays := map[string]func(rnd *rand.Rand, srv string, sys *system) (change bool){
		"memory for none, one or all tasks": func(rnd *rand.Rand, srv string, sys *system) bool {
			sys.servers[srv].SetRoom(serverProcessor, []int64{63, 64, serverMemory}[rnd.IntN(3)], shrunkRoomCounts)
			return true
		},
		"processor for none, one or two tasks": func(rnd *rand.Rand, srv string, sys *system) bool {
			sys.servers[srv].SetRoom([]int64{8000, 16000, serverProcessor}[rnd.IntN(3)], serverMemory, shrunkRoomCounts)
			return true
		},
		"servers of another service beside them": func(_ *rand.Rand, srv string, sys *system) bool {
			sys.services[srv] = "other"
			return !strings.HasSuffix(srv, "-1")
		},
	}
	for name, play := range plays {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				inTestSystem(t, 3, 2, 4, func(sys *system) {
					rnd := rand.New(rand.NewPCG(seed, 41))
					sys.services = map[string]string{}
					sys.sendHeartbeats(time.Second)
					var snts []*sentJob
					for num := 0; time.Duration(num)*gap < length; num++ {
						if srv := fmt.Sprintf("server-%d-%d", 1+rnd.IntN(3), 1+rnd.IntN(4)); num%20 == 0 && play(rnd, srv, sys) {
							sys.listServer(srv, domainName(int(srv[len("server-")]-'1')), "ready")
						}
						snts = append(snts, sys.sendAsync(sys.ctx, sys.randomInstance(rnd), jobSpec{
							id: jobID(num), tasks: 2, payload: payload{Millis: 150}, callerTimeout: 3 * time.Second,
						}))
						time.Sleep(gap)
					}
					sts := countStatuses(snts)
					t.Logf("answers by status: %v", sts)
					if sts[http.StatusOK] == 0 {
						t.Errorf("no job was served")
					}
					sys.checkOrders(3 * time.Second)
				})
			})
		}
	}
}
