package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// Ratios are recorded in ten-thousandths and times in microseconds, with three digits.
const (
	ratioUnit    = 10_000
	highestRatio = 10_000 * ratioUnit
	highestTime  = int64(time.Hour / time.Microsecond)
	digits       = 3
)

// classTally is what happened to the jobs of one class.
type classTally struct {
	ratio    *hdrhistogram.Histogram
	time     *hdrhistogram.Histogram
	verdicts map[verdict.Verdict]int
}

func newClassTally() *classTally {
	return &classTally{
		ratio:    hdrhistogram.New(1, highestRatio, digits),
		time:     hdrhistogram.New(1, highestTime, digits),
		verdicts: make(map[verdict.Verdict]int),
	}
}

type classKey struct {
	partner job.Partner
	class   string
}

// tally collects what the replies said.
type tally struct {
	mut      sync.Mutex
	classes  map[classKey]*classTally
	reasons  map[string]int
	wrong    map[string]int
	retries  int
	twins    int
	lateness time.Duration
	// notRun holds the submissions of which every reply said not-run, with false for those of
	// which some reply said otherwise.
	notRun map[job.SubmissionID]bool
	// answered holds the number of tasks of the submissions that were answered.
	answered map[job.SubmissionID]int
}

func newTally() *tally {
	return &tally{
		classes: make(map[classKey]*classTally),
		reasons: make(map[string]int),
		wrong:   make(map[string]int),
		notRun:  make(map[job.SubmissionID]bool),

		answered: make(map[job.SubmissionID]int),
	}
}

// reply records any reply: of a first arrival, a retry or a twin.
func (tly *tally) reply(arr *arrival, rpl reply) {
	tly.mut.Lock()
	defer tly.mut.Unlock()
	if rpl.wrong != "" {
		tly.wrong[rpl.wrong]++
	}
	if rpl.verdict == verdict.Done {
		tly.answered[arr.scoped] = len(arr.tasks)
	} else {
		tly.reasons[rpl.verdict.String()+": "+rpl.reason]++
	}
	so, known := tly.notRun[arr.scoped]
	tly.notRun[arr.scoped] = rpl.verdict == verdict.NotRun && (so || !known)
}

// end records how a job ended in the eyes of its caller. Only whole answers have a response time.
func (tly *tally) end(arr *arrival, rpl reply, response time.Duration) {
	tly.mut.Lock()
	defer tly.mut.Unlock()
	key := classKey{partner: arr.partner, class: arr.kind.class}
	cls, ok := tly.classes[key]
	if !ok {
		cls = newClassTally()
		tly.classes[key] = cls
	}
	cls.verdicts[rpl.verdict]++
	if rpl.verdict != verdict.Done {
		return
	}
	record(cls.time, highestTime, response.Microseconds())
	ratio := float64(response) / float64(arr.ideal()) * ratioUnit
	record(cls.ratio, highestRatio, int64(min(ratio, highestRatio)))
}

func record(hst *hdrhistogram.Histogram, highest, val int64) {
	// The value is in range, which is the only thing that RecordValue complains about.
	_ = hst.RecordValue(min(max(val, 1), highest))
}

func (tly *tally) retry() {
	tly.mut.Lock()
	defer tly.mut.Unlock()
	tly.retries++
}

func (tly *tally) twin() {
	tly.mut.Lock()
	defer tly.mut.Unlock()
	tly.twins++
}

// late records how long after its due time a job was sent at the latest.
func (tly *tally) late(dur time.Duration) {
	tly.mut.Lock()
	defer tly.mut.Unlock()
	tly.lateness = max(tly.lateness, dur)
}
