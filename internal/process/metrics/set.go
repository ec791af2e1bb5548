package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	// maxSeries bounds the memory of a Set; what comes later counts as otherName.
	maxSeries   = 128
	maxPartners = 16
	maxGauges   = 256
	otherName   = "other"

	verdicts = int(verdict.Failed) + 1
	// Counters are a cache line apart, so that two processors that count different kinds do not
	// wait for each other.
	cacheLine = 64
)

type counter struct {
	atomic.Uint64
	_ [cacheLine - 8]byte
}

type seriesKey struct {
	partner job.Partner
	class   string
}

type verdictCounts [verdicts]atomic.Uint64

// Set is what one entry instance counts; it is safe for concurrent use.
type Set struct {
	clock    func() time.Time
	since    time.Time
	messages [kinds]counter

	// The maps are replaced, never changed: they are read with every observation and grow only
	// when a partner or a class is seen for the first time.
	series   atomic.Pointer[map[seriesKey]*series]
	verdicts atomic.Pointer[map[job.Partner]*verdictCounts]
	growing  sync.Mutex

	gaugeMut sync.Mutex
	gauges   map[string]func() float64
}

// New returns an empty Set that dates observations by clock.
func New(clock func() time.Time) *Set {
	set := &Set{clock: clock, since: clock(), gauges: make(map[string]func() float64)}
	set.series.Store(&map[seriesKey]*series{})
	set.verdicts.Store(&map[job.Partner]*verdictCounts{})
	return set
}

// Count adds messages of a kind.
func (set *Set) Count(knd Kind, num uint64) { set.messages[knd].Add(num) }

// ObserveJob records the response time of a job that was answered, the time that its longest task
// needed (0 if unknown), and whether the objective of its catalogue entry was met.
func (set *Set) ObserveJob(
	partner job.Partner, class string, response, ideal time.Duration, met bool,
) {
	key := seriesKey{partner: partner, class: class}
	ser, ok := (*set.series.Load())[key]
	if !ok {
		ser = set.addSeries(key)
	}
	ser.observe(set.clock(), response, ideal, met)
}

func (set *Set) addSeries(key seriesKey) *series {
	set.growing.Lock()
	defer set.growing.Unlock()
	old := *set.series.Load()
	if len(old) >= maxSeries-1 {
		key = seriesKey{partner: otherName, class: otherName}
	}
	if ser, ok := old[key]; ok {
		return ser
	}
	grown := maps.Clone(old)
	grown[key] = newSeries()
	set.series.Store(&grown)
	return grown[key]
}

// Verdict counts what a partner was told of a submission.
func (set *Set) Verdict(partner job.Partner, vdt verdict.Verdict) {
	if vdt < 0 || int(vdt) >= verdicts {
		vdt = verdict.Unspecified
	}
	cnt, ok := (*set.verdicts.Load())[partner]
	if !ok {
		cnt = set.addPartner(partner)
	}
	cnt[vdt].Add(1)
}

func (set *Set) addPartner(partner job.Partner) *verdictCounts {
	set.growing.Lock()
	defer set.growing.Unlock()
	old := *set.verdicts.Load()
	if len(old) >= maxPartners-1 {
		partner = otherName
	}
	if cnt, ok := old[partner]; ok {
		return cnt
	}
	grown := maps.Clone(old)
	grown[partner] = new(verdictCounts)
	set.verdicts.Store(&grown)
	return grown[partner]
}

// Gauge shows the value of a function under a name, in place of an earlier one of that name.
func (set *Set) Gauge(name string, fnc func() float64) {
	set.gaugeMut.Lock()
	defer set.gaugeMut.Unlock()
	if _, ok := set.gauges[name]; !ok && len(set.gauges) >= maxGauges {
		return
	}
	set.gauges[name] = fnc
}

// Snapshot returns a copy of everything that the Set holds.
func (set *Set) Snapshot() *Snapshot {
	now := set.clock()
	snp := newSnapshot(now, set.since)
	for knd := range kinds {
		snp.addMessages(knd.String(), knd.Wasted(), set.messages[knd].Load())
	}
	for partner, cnt := range *set.verdicts.Load() {
		for vdt := range cnt {
			if num := cnt[vdt].Load(); num > 0 {
				snp.addVerdicts(partner, verdict.Verdict(vdt).String(), num)
			}
		}
	}
	for key, ser := range *set.series.Load() {
		snp.series = append(snp.series, Series{
			partner: key.partner, class: key.class, hist: ser.history(now),
		})
	}
	snp.sort()
	set.readGauges(snp)
	return snp
}

func (set *Set) readGauges(snp *Snapshot) {
	set.gaugeMut.Lock()
	gauges := maps.Clone(set.gauges)
	set.gaugeMut.Unlock()
	// A gauge may take locks of its own, or count; it is called without ours.
	for name, fnc := range gauges {
		snp.gauges[name] = fnc()
	}
}
