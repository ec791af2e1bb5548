package metrics

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutstack/internal/request/job"
)

// Snapshot is what an entry instance had counted at one time.
type Snapshot struct {
	taken    time.Time
	since    time.Time
	useful   map[string]uint64
	wasted   map[string]uint64
	verdicts map[job.Partner]map[string]uint64
	gauges   map[string]float64
	series   []Series
}

func newSnapshot(taken, since time.Time) *Snapshot {
	return &Snapshot{
		taken:    taken,
		since:    since,
		useful:   make(map[string]uint64),
		wasted:   make(map[string]uint64),
		verdicts: make(map[job.Partner]map[string]uint64),
		gauges:   make(map[string]float64),
	}
}

// Taken returns when the snapshot was taken, by the entry instance's clock.
func (snp *Snapshot) Taken() time.Time { return snp.taken }

// Since returns when the entry instance began to count.
func (snp *Snapshot) Since() time.Time { return snp.since }

// Useful returns the messages of useful kinds by name; it must not be changed.
func (snp *Snapshot) Useful() map[string]uint64 { return snp.useful }

// Wasted returns the messages of wasted kinds by name; it must not be changed.
func (snp *Snapshot) Wasted() map[string]uint64 { return snp.wasted }

// Verdicts returns what callers were told, by partner and verdict; it must not be changed.
func (snp *Snapshot) Verdicts() map[job.Partner]map[string]uint64 { return snp.verdicts }

// Gauges returns the gauges by name; it must not be changed.
func (snp *Snapshot) Gauges() map[string]float64 { return snp.gauges }

// Series returns the job series, ordered by partner and class; it must not be changed.
func (snp *Snapshot) Series() []Series { return snp.series }

// Only returns a copy that shows the jobs and verdicts of some partners and of no other.
func (snp *Snapshot) Only(partners ...job.Partner) *Snapshot {
	out := *snp
	out.verdicts = make(map[job.Partner]map[string]uint64)
	out.series = nil
	for partner, counts := range snp.verdicts {
		if slices.Contains(partners, partner) {
			out.verdicts[partner] = counts
		}
	}
	for _, ser := range snp.series {
		if slices.Contains(partners, ser.partner) {
			out.series = append(out.series, ser)
		}
	}
	return &out
}

func (snp *Snapshot) addMessages(name string, wasted bool, num uint64) {
	if wasted {
		snp.wasted[name] += num
		return
	}
	snp.useful[name] += num
}

func (snp *Snapshot) addVerdicts(partner job.Partner, name string, num uint64) {
	if snp.verdicts[partner] == nil {
		snp.verdicts[partner] = make(map[string]uint64)
	}
	snp.verdicts[partner][name] += num
}

func (snp *Snapshot) sort() {
	slices.SortFunc(snp.series, func(one, two Series) int {
		return cmp.Or(cmp.Compare(one.partner, two.partner), cmp.Compare(one.class, two.class))
	})
}

// Series is the history of one partner's jobs of one class.
type Series struct {
	partner job.Partner
	class   string
	hist    history
}

// Partner returns whose jobs the series is about.
func (ser *Series) Partner() job.Partner { return ser.partner }

// Class returns the class of the jobs.
func (ser *Series) Class() string { return ser.class }

// Total returns the jobs that were answered since the entry instance began to count.
func (ser *Series) Total() uint64 { return ser.hist.total }

// Met returns how many of Total met their objective.
func (ser *Series) Met() uint64 { return ser.hist.met }

// Window sums up the slots that reach into the last stretch of time before now, so that a window
// is never shorter than asked for, and longer by less than a slot. The longest is six hours.
func (ser *Series) Window(now time.Time, width time.Duration) (*Window, error) {
	win := NewWindow()
	return win, ser.AddTo(win, now, width)
}

// AddTo is Window, added to what another entry instance observed.
func (ser *Series) AddTo(win *Window, now time.Time, width time.Duration) error {
	slots, slotWidth := ser.hist.fine, fineSlot
	if width > (fineSlots-1)*fineSlot {
		slots, slotWidth = ser.hist.coarse, coarseSlot
	}
	begin := now.Add(-width)
	for _, slt := range slots {
		if !slt.start.Add(slotWidth).After(begin) {
			continue
		}
		if err := win.add(slt); err != nil {
			return err
		}
	}
	return nil
}

// Point is the share of jobs that missed their objective in one slot of the history.
type Point struct {
	// Start of the slot, and how long it is.
	Start time.Time
	Width time.Duration
	Total uint64
	Met   uint64
}

// Points returns the history slot by slot: minutes, or ten minutes if coarse.
func (ser *Series) Points(coarse bool) []Point {
	slots, width := ser.hist.fine, fineSlot
	if coarse {
		slots, width = ser.hist.coarse, coarseSlot
	}
	out := make([]Point, 0, len(slots))
	for _, slt := range slots {
		out = append(out, Point{Start: slt.start, Width: width, Total: slt.total, Met: slt.met})
	}
	return out
}

// Window is what was observed in a stretch of time, by one entry instance or several.
type Window struct {
	total uint64
	met   uint64
	ratio *hdrhistogram.Histogram
	time  *hdrhistogram.Histogram
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{ratio: newHistogram(), time: newHistogram()}
}

func (win *Window) add(slt slot) error {
	win.total += slt.total
	win.met += slt.met
	if err := mergeEncoded(win.ratio, slt.ratio); err != nil {
		return err
	}
	return mergeEncoded(win.time, slt.time)
}

// Total returns the jobs that were answered.
func (win *Window) Total() uint64 { return win.total }

// Met returns how many met their objective.
func (win *Window) Met() uint64 { return win.met }

// Ratio returns the response time over the ideal at a percentile, 0 to 100; 0 if nothing is known.
func (win *Window) Ratio(percentile float64) float64 {
	return float64(win.ratio.ValueAtPercentile(percentile)) / ratioUnit
}

// Time returns the response time at a percentile, 0 to 100; 0 if nothing is known.
func (win *Window) Time(percentile float64) time.Duration {
	return time.Duration(win.time.ValueAtPercentile(percentile)) * timeUnit
}
