package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutstack/internal/request/job"
)

// Report is what a run found.
type Report struct {
	seed       uint64
	took       time.Duration
	jobs       int
	twins      int
	retries    int
	redirected int
	lateness   time.Duration
	classes    []ClassReport
	partners   []ClassReport
	reasons    map[string]int
	wrong      map[string]int

	useful         map[string]int64
	wasted         map[string]int64
	metricsMissing []string

	journaled       bool
	started         int
	doubleStarts    int
	falseNotRun     int
	unproven        int
	journalsMissing []string
}

// ClassReport is what a run found of one class.
type ClassReport struct {
	partner  job.Partner
	class    string
	verdicts map[string]int
	ratio    *hdrhistogram.Histogram
	time     *hdrhistogram.Histogram
}

// allClasses stands in the place of a class for all of a partner's jobs.
const allClasses = "all"

func newClassReport(partner job.Partner, class string) ClassReport {
	return ClassReport{
		partner:  partner,
		class:    class,
		verdicts: make(map[string]int),
		ratio:    hdrhistogram.New(1, highestRatio, digits),
		time:     hdrhistogram.New(1, highestTime, digits),
	}
}

// Partner returns whose jobs they were.
func (cls *ClassReport) Partner() job.Partner { return cls.partner }

// Class returns the class.
func (cls *ClassReport) Class() string { return cls.class }

// Verdicts returns how often callers got each verdict; it must not be changed.
func (cls *ClassReport) Verdicts() map[string]int { return cls.verdicts }

// Ratio returns the response time of whole answers over the ideal at a percentile, 0 to 100.
func (cls *ClassReport) Ratio(percentile float64) float64 {
	return float64(cls.ratio.ValueAtPercentile(percentile)) / ratioUnit
}

// Time returns the response time of whole answers at a percentile, 0 to 100.
func (cls *ClassReport) Time(percentile float64) time.Duration {
	return time.Duration(cls.time.ValueAtPercentile(percentile)) * time.Microsecond
}

func newReport(rnr *runner, jobs int, took time.Duration) *Report {
	tly := rnr.tally
	rep := &Report{
		seed:       rnr.cfg.Seed,
		took:       took,
		jobs:       jobs,
		twins:      tly.twins,
		retries:    tly.retries,
		redirected: int(rnr.client.redirected.Load()),
		lateness:   tly.lateness,
		reasons:    tly.reasons,
		wrong:      tly.wrong,
		journaled:  len(rnr.cfg.Journals) > 0,
	}
	for key, cls := range tly.classes {
		out := ClassReport{
			partner: key.partner, class: key.class, ratio: cls.ratio, time: cls.time,
			verdicts: make(map[string]int),
		}
		for vdt, num := range cls.verdicts {
			out.verdicts[vdt.String()] = num
		}
		rep.classes = append(rep.classes, out)
	}
	slices.SortFunc(rep.classes, func(one, two ClassReport) int {
		return cmp.Or(cmp.Compare(one.partner, two.partner), cmp.Compare(one.class, two.class))
	})
	rep.addPartners()
	return rep
}

// addPartners sums up the classes of each partner.
func (rep *Report) addPartners() {
	for idx := range rep.classes {
		cls := &rep.classes[idx]
		last := len(rep.partners) - 1
		if last < 0 || rep.partners[last].partner != cls.partner {
			rep.partners = append(rep.partners, newClassReport(cls.partner, allClasses))
			last++
		}
		sum := &rep.partners[last]
		// The histograms have the same range, so that no value is dropped.
		sum.ratio.Merge(cls.ratio)
		sum.time.Merge(cls.time)
		for name, num := range cls.verdicts {
			sum.verdicts[name] += num
		}
	}
}

// addMessages adds what the entry instances counted during the run. One that did not answer, or
// restarted and so counts from zero, is named instead.
func (rep *Report) addMessages(before, after snapshots) {
	rep.useful = make(map[string]int64)
	rep.wasted = make(map[string]int64)
	for url, end := range after {
		begin := before[url]
		if begin == nil || !begin.Since().Equal(end.Since()) {
			rep.metricsMissing = append(rep.metricsMissing, url)
			continue
		}
		addDelta(rep.useful, begin.Useful(), end.Useful())
		addDelta(rep.wasted, begin.Wasted(), end.Wasted())
	}
	for url := range before {
		if after[url] == nil {
			rep.metricsMissing = append(rep.metricsMissing, url)
		}
	}
	slices.Sort(rep.metricsMissing)
}

func addDelta(sum map[string]int64, begin, end map[string]uint64) {
	for name, num := range end {
		sum[name] += int64(num) - int64(begin[name])
	}
}

func (rep *Report) addStarts(jrn journals, tly *tally) {
	if !rep.journaled {
		return
	}
	rep.started = len(jrn.starts)
	rep.doubleStarts = jrn.double()
	rep.falseNotRun = jrn.falseNotRun(tly.notRun)
	rep.unproven = jrn.unproven(tly.answered)
	rep.journalsMissing = jrn.missing
}

// Classes returns the findings by class, ordered by partner and class; it must not be changed.
func (rep *Report) Classes() []ClassReport { return rep.classes }

// Partners returns the findings over all classes of each partner; it must not be changed.
func (rep *Report) Partners() []ClassReport { return rep.partners }

// Jobs returns the number of jobs that arrived.
func (rep *Report) Jobs() int { return rep.jobs }

// DoubleStarts returns the number of tasks that started more than once.
func (rep *Report) DoubleStarts() int { return rep.doubleStarts }

// FalseNotRun returns the number of submissions that started although callers were told not-run.
func (rep *Report) FalseNotRun() int { return rep.falseNotRun }

// Unproven returns the number of tasks that were answered although no journal has a start of them:
// a journal was cut short or lost, and double starts in it cannot be seen.
func (rep *Report) Unproven() int { return rep.unproven }

// Wrong returns the number of answers that claimed to be whole and were not, or were another's.
func (rep *Report) Wrong() int {
	num := 0
	for _, cnt := range rep.wrong {
		num += cnt
	}
	return num
}

// WastedPerUseful returns the wasted messages over the useful ones; 0 if nothing was counted.
func (rep *Report) WastedPerUseful() float64 {
	useful := total(rep.useful)
	if useful == 0 {
		return 0
	}
	return float64(total(rep.wasted)) / float64(useful)
}

func total(counts map[string]int64) int64 {
	sum := int64(0)
	for _, num := range counts {
		sum += num
	}
	return sum
}

// Failed reports whether a promise was broken: a task that started twice, a wrong or partial
// answer, or work that ran after not-run. Journals that show no start at all of what was answered
// fail the run too: they would hide every double start.
func (rep *Report) Failed() bool {
	blind := rep.journaled && rep.started == 0 && rep.unproven > 0
	return blind || rep.doubleStarts > 0 || rep.falseNotRun > 0 || rep.Wrong() > 0
}
