package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// BenchmarkGrownSystem runs 39 instances and 351 backend servers under 850 jobs, that is 2,800 starts of tasks, per second. With -cpuprofile it
// shows what takes processor time in a start, in the daemons and in the stand-ins.
func BenchmarkGrownSystem(ben *testing.B) {
	tasks, used := 0, time.Duration(0)
	var calls uint64
	var renewals int64
	for ben.Loop() {
		began := processorTime(ben)
		runTestSystem(ben, 3, 13, 117, func(sys *system) {
			rnd := rand.New(rand.NewPCG(1, 1))
			kinds := []jobSpec{
				{tasks: 8, payload: payload{Millis: 60}}, {tasks: 4, payload: payload{Millis: 900}}, {tasks: 2, payload: payload{Millis: 200}},
			}
			for num := range 8500 {
				job := kinds[[]int{0, 0, 1, 2, 2, 2, 2, 2, 2, 2}[rnd.IntN(10)]]
				job.id = jobID(num)
				tasks += job.tasks
				sys.sendAsync(sys.ctx, sys.randomInstance(rnd), job)
				if num%4 == 0 {
					id := fmt.Sprintf("server-%d-%d", 1+rnd.IntN(3), 1+rnd.IntN(117))
					sys.listServer(id, "domain-"+id[7:8], "ready")
				}
				time.Sleep(1176 * time.Microsecond)
			}
			time.Sleep(2 * time.Second)
			used += processorTime(ben) - began
			for _, prc := range sys.instances {
				calls += prc.dmn.mesh.Stats().Calls
				renewals += prc.dmn.cnt.renewals.Load()
			}
		})
	}
	ben.ReportMetric(float64(calls)/float64(tasks), "batches/task")
	ben.ReportMetric(float64(renewals)/float64(tasks), "looks/task")
	ben.ReportMetric(float64(used.Microseconds())/float64(tasks), "us-cpu/task")
}

// processorTime returns the processor time that this process has used, in user and kernel mode.
func processorTime(tst testing.TB) time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		tst.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
