package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The history of a series: minutes for the windows up to an hour, and coarse slots of ten minutes
// for the window of six hours. One slot more than a window needs, since the newest is not full.
const (
	fineSlot    = time.Minute
	fineSlots   = 61
	coarseSlot  = 10 * time.Minute
	coarseSlots = 37
)

// slot is what was observed in one stretch of time.
type slot struct {
	start time.Time
	total uint64
	met   uint64
	ratio []byte
	time  []byte
}

// live is a slot that is still being filled.
type live struct {
	start time.Time
	total uint64
	met   uint64
	ratio *hdrhistogram.Histogram
	time  *hdrhistogram.Histogram
}

func newLive() *live {
	return &live{ratio: newHistogram(), time: newHistogram()}
}

func (liv *live) observe(response, ideal time.Duration, met bool) {
	liv.total++
	if met {
		liv.met++
	}
	record(liv.time, int64(response/timeUnit))
	if ideal > 0 {
		ratio := float64(response) / float64(ideal) * ratioUnit
		record(liv.ratio, int64(min(ratio, highestValue)))
	}
}

func (liv *live) encode() slot {
	return slot{
		start: liv.start,
		total: liv.total,
		met:   liv.met,
		ratio: encodeHistogram(liv.ratio),
		time:  encodeHistogram(liv.time),
	}
}

func (liv *live) reset(start time.Time) {
	liv.start = start
	liv.total = 0
	liv.met = 0
	liv.ratio.Reset()
	liv.time.Reset()
}

// tier is a history of slots of one width.
type tier struct {
	width time.Duration
	keep  int
	now   *live
	done  []slot
}

func newTier(width time.Duration, keep int) *tier {
	return &tier{width: width, keep: keep, now: newLive()}
}

// turn closes the slot under way once its time is over. A clock that steps back leaves it open.
func (tie *tier) turn(now time.Time) {
	start := now.Truncate(tie.width)
	if !start.After(tie.now.start) {
		return
	}
	if tie.now.total > 0 {
		tie.done = append(tie.done, tie.now.encode())
	}
	tie.now.reset(start)
	oldest := start.Add(-time.Duration(tie.keep-1) * tie.width)
	for len(tie.done) > 0 && tie.done[0].start.Before(oldest) {
		tie.done = tie.done[1:]
	}
}

// slots returns the history, oldest first.
func (tie *tier) slots(now time.Time) []slot {
	tie.turn(now)
	out := append([]slot(nil), tie.done...)
	if tie.now.total > 0 {
		out = append(out, tie.now.encode())
	}
	return out
}

// series is what one partner's jobs of one class took.
type series struct {
	mut    sync.Mutex
	fine   *tier
	coarse *tier
	total  uint64
	met    uint64
}

func newSeries() *series {
	return &series{
		fine:   newTier(fineSlot, fineSlots),
		coarse: newTier(coarseSlot, coarseSlots),
	}
}

func (ser *series) observe(now time.Time, response, ideal time.Duration, met bool) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.total++
	if met {
		ser.met++
	}
	for _, tie := range []*tier{ser.fine, ser.coarse} {
		tie.turn(now)
		tie.now.observe(response, ideal, met)
	}
}

// history is a copy of a series.
type history struct {
	total  uint64
	met    uint64
	fine   []slot
	coarse []slot
}

func (ser *series) history(now time.Time) history {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	return history{
		total:  ser.total,
		met:    ser.met,
		fine:   ser.fine.slots(now),
		coarse: ser.coarse.slots(now),
	}
}
