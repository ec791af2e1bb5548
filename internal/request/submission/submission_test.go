package submission

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutstack/internal/request/name"
)

// Guards against jobs that are charged for less than their orders hold: the names of a step are in the order of each of its tasks.
func TestSizeCountsNames(t *testing.T) {
	long := name.Compact(strings.Repeat("r", 4000))
	cases := map[string]struct {
		plain, named Submission
	}{
		"rack":    {plain: oneStep(Step{}), named: oneStep(Step{Rack: long})},
		"label":   {plain: oneStep(Step{}), named: oneStep(Step{Label: long})},
		"service": {plain: oneStep(Step{}), named: Submission{Service: long, Steps: oneStep(Step{}).Steps}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(cse.named.Size()-cse.plain.Size(), int64(MaxTasks*len(long)))
		})
	}
}

// oneStep returns a submission of one step, which has as many tasks as it may.
func oneStep(stp Step) Submission {
	stp.Count = MaxTasks
	return Submission{Steps: []Step{stp}}
}
