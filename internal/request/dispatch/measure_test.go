package dispatch_test

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

var (
	measure     = flag.Bool("measure", false, "print the tables of docs/measurements/dispatch.md")
	measureSeed = flag.Uint64("seed", 1, "seed of the measured workload")
	measureLong = flag.Duration("duration", time.Minute, "length of the measured workload, in virtual time")
)

// row returns the outcome as a row of the table that begins with tableHead.
func (out *outcome) row() string {
	var kinds []string
	for knd, num := range out.wasted {
		if num > 0 {
			kinds = append(kinds, fmt.Sprintf("%s %.2f%%", knd, 100*float64(num)/float64(out.useful)))
		}
	}
	sort.Strings(kinds)
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f%% | %s | %d | %d |",
		out.policy,
		quantile(out.jobs, 0.5), quantile(out.jobs, 0.99), quantile(out.jobs, 0.999),
		quantile(out.tasks, 0.5), quantile(out.tasks, 0.99), quantile(out.tasks, 0.999),
		100*out.waste(), strings.Join(kinds, ", "), out.refused, out.failed)
}

const tableHead = `| policy | job p50 | p99 | p99.9 | task p50 | p99 | p99.9 | wasted | by kind | refused | failed |
|---|---|---|---|---|---|---|---|---|---|---|`

func TestMeasureLoads(tst *testing.T) {
	if !*measure {
		tst.Skip("prints a table; run with -measure -v")
	}
	for _, shp := range []shape{riga, attica} {
		for _, load := range []float64{0.3, 0.6, 0.8, 0.9, 0.95, 1.5} {
			trf := traffic{load: load, duration: *measureLong, misdeclared: 1}
			fmt.Printf("\n%s, %.0f%% load, seed %d, %s\n\n%s\n", shp.name, 100*load, *measureSeed, *measureLong, tableHead)
			wkl := newWorkload(shp, trf, *measureSeed)
			fmt.Println(ideal(shp, trf, wkl).row())
			fmt.Println(runDispatchers(shp, dispatch.DefaultConfig(), trf, wkl, *measureSeed, nil).row())
			trf.prefer = job.PreferMessages
			out := runDispatchers(shp, dispatch.DefaultConfig(), trf, newWorkload(shp, trf, *measureSeed), *measureSeed, nil)
			out.policy = "Dispatcher, prefer messages"
			fmt.Println(out.row())
			fmt.Println(runLateBinding("own guess, late binding", shp, trf, wkl, *measureSeed, 500*time.Millisecond).row())
			if load > 1 {
				// Under overload the policies without a queue send hundreds of messages for each task.
				continue
			}
			fmt.Println(runServerChoice("random, retry on refusal", randomServer, shp, trf, wkl, *measureSeed).row())
			fmt.Println(runServerChoice("two choices", twoChoices, shp, trf, wkl, *measureSeed).row())
			fmt.Println(runServerChoice("own guess", mostFree, shp, trf, wkl, *measureSeed).row())
		}
	}
}

// At a load of 60 % without faults every job must be answered in full, and no task may start twice, fail or be
// refused.
func TestLightLoadCompletesEveryJob(tst *testing.T) {
	iss := is.New(tst)
	trf := traffic{load: 0.6, duration: 3 * time.Second, misdeclared: 1}
	wkl := newWorkload(riga, trf, 1)
	out := runDispatchers(riga, dispatch.DefaultConfig(), trf, wkl, 1, nil)
	iss.Equal(len(out.jobs), len(wkl.jobs)) // every job has a whole answer
	iss.Equal(out.doubleStarts, 0)          // no task started twice
	iss.Equal(out.failed+out.refused+out.openJobs, 0)
}
