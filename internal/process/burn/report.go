package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/job"
)

// Alarm is a pair of windows with the burn rate that must be exceeded in both.
type Alarm struct {
	Name      string
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// alarms spend 2% of a month's budget in an hour, or 5% in six.
var alarms = []Alarm{
	{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
	{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
}

// minMissed is how many jobs must have missed their objective in the long window. In a quiet hour
// a single slow job among ten would otherwise burn at ten times the rate of a 99% objective.
const minMissed = 5

// Objective is what a partner's class promises.
type Objective struct {
	Partner job.Partner
	Class   string
	// Target is the response time that Share of the jobs must meet.
	Target time.Duration
	Share  float64
}

func (obj Objective) valid() bool { return obj.Share > 0 && obj.Share < 1 }

// Source is an entry instance and what it had counted; nil if it did not answer.
type Source struct {
	Name     string
	Snapshot *metrics.Snapshot
}

// Rate is the burn in one window.
type Rate struct {
	window time.Duration
	jobs   uint64
	missed uint64
	burn   float64
}

// Window returns the length of the window.
func (rat Rate) Window() time.Duration { return rat.window }

// Jobs returns the jobs that were answered in the window.
func (rat Rate) Jobs() uint64 { return rat.jobs }

// Missed returns how many of Jobs missed their objective.
func (rat Rate) Missed() uint64 { return rat.missed }

// Burn returns the burn rate; 0 without jobs.
func (rat Rate) Burn() float64 { return rat.burn }

// Row is what the report says of one class of one partner.
type Row struct {
	objective Objective
	rates     []Rate
	passed    []string
	// times are the response times of the last hour.
	p50, p99 time.Duration
	points   []point
}

// Objective returns what the class promises; its share is 0 if the catalogue states none.
func (row *Row) Objective() Objective { return row.objective }

// Rates returns the burn in each window, the shortest first; it must not be changed.
func (row *Row) Rates() []Rate { return row.rates }

// Passed returns the names of the alarms whose thresholds are passed; it must not be changed.
func (row *Row) Passed() []string { return row.passed }

func (row *Row) rate(window time.Duration) Rate {
	for _, rat := range row.rates {
		if rat.window == window {
			return rat
		}
	}
	return Rate{window: window}
}

// point is the burn in ten minutes of the history.
type point struct {
	start  time.Time
	width  time.Duration
	jobs   uint64
	missed uint64
	burn   float64
}

// Report is the burn of every class, over the entry instances that answered.
type Report struct {
	taken   time.Time
	rows    []Row
	sources int
	missing []string
	// young names entry instances that began to count within the longest window.
	young []string
}

// Taken returns when the newest of the entry instances' answers was taken.
func (rep *Report) Taken() time.Time { return rep.taken }

// Rows returns the classes, ordered by partner and class; it must not be changed.
func (rep *Report) Rows() []Row { return rep.rows }

// Missing returns the entry instances that did not answer; it must not be changed.
func (rep *Report) Missing() []string { return rep.missing }

// Passed reports whether the threshold of an alarm is passed in any class.
func (rep *Report) Passed() bool {
	return slices.ContainsFunc(rep.rows, func(row Row) bool { return len(row.passed) > 0 })
}

type rowKey struct {
	partner job.Partner
	class   string
}

// New returns the report for the objectives and what the entry instances counted. If several
// objectives are given for a class, the strictest share counts.
func New(objectives []Objective, sources []Source) (*Report, error) {
	rep := &Report{sources: len(sources)}
	rep.survey(sources)
	keys := make(map[rowKey]Objective)
	for _, src := range sources {
		if src.Snapshot == nil {
			continue
		}
		for _, ser := range src.Snapshot.Series() {
			key := rowKey{partner: ser.Partner(), class: ser.Class()}
			keys[key] = Objective{Partner: ser.Partner(), Class: ser.Class()}
		}
	}
	for _, obj := range objectives {
		key := rowKey{partner: obj.Partner, class: obj.Class}
		if obj.valid() && obj.Share > keys[key].Share {
			keys[key] = obj
		}
	}
	for _, obj := range keys {
		row, err := newRow(obj, sources)
		if err != nil {
			return nil, errors.Wrapf(err, "%s %s", obj.Partner, obj.Class)
		}
		rep.rows = append(rep.rows, row)
	}
	slices.SortFunc(rep.rows, func(one, two Row) int {
		return cmp.Or(
			cmp.Compare(one.objective.Partner, two.objective.Partner),
			cmp.Compare(one.objective.Class, two.objective.Class),
		)
	})
	return rep, nil
}

func (rep *Report) survey(sources []Source) {
	longest := alarms[len(alarms)-1].Long
	for _, src := range sources {
		if src.Snapshot == nil {
			rep.missing = append(rep.missing, src.Name)
			continue
		}
		if src.Snapshot.Taken().After(rep.taken) {
			rep.taken = src.Snapshot.Taken()
		}
		if src.Snapshot.Taken().Sub(src.Snapshot.Since()) < longest {
			rep.young = append(rep.young, src.Name)
		}
	}
	slices.Sort(rep.missing)
	slices.Sort(rep.young)
}

func newRow(obj Objective, sources []Source) (Row, error) {
	row := Row{objective: obj}
	series := seriesOf(obj, sources)
	for _, width := range windows() {
		win, err := series.sum(width)
		if err != nil {
			return Row{}, err
		}
		rat := Rate{window: width, jobs: win.Total(), missed: win.Total() - win.Met()}
		rat.burn = obj.burn(rat.jobs, rat.missed)
		row.rates = append(row.rates, rat)
		if width == time.Hour {
			row.p50, row.p99 = win.Time(50), win.Time(99)
		}
	}
	for _, alm := range alarms {
		if row.passes(alm) {
			row.passed = append(row.passed, alm.Name)
		}
	}
	row.points = series.points(obj)
	return row, nil
}

func (row *Row) passes(alm Alarm) bool {
	short, long := row.rate(alm.Short), row.rate(alm.Long)
	return short.burn > alm.Threshold && long.burn > alm.Threshold && long.missed >= minMissed
}

func windows() []time.Duration {
	var out []time.Duration
	for _, alm := range alarms {
		out = append(out, alm.Short, alm.Long)
	}
	slices.Sort(out)
	return out
}

// burn returns the burn rate, or 0 if there is nothing to go by.
func (obj Objective) burn(jobs, missed uint64) float64 {
	if !obj.valid() || jobs == 0 {
		return 0
	}
	return float64(missed) / float64(jobs) / (1 - obj.Share)
}
