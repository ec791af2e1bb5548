package burn

import (
	"slices"
	"time"

	"chestnutstack/internal/process/metrics"
)

// merged is the same class in the histories of several entry instances.
type merged struct {
	series []metrics.Series
	// taken has the time of each history by its entry instance's own clock, so that a clock that
	// is off shifts no window.
	taken []time.Time
}

func seriesOf(obj Objective, sources []Source) merged {
	var out merged
	for _, src := range sources {
		if src.Snapshot == nil {
			continue
		}
		for _, ser := range src.Snapshot.Series() {
			if ser.Partner() == obj.Partner && ser.Class() == obj.Class {
				out.series = append(out.series, ser)
				out.taken = append(out.taken, src.Snapshot.Taken())
			}
		}
	}
	return out
}

func (mrg merged) sum(width time.Duration) (*metrics.Window, error) {
	win := metrics.NewWindow()
	for idx := range mrg.series {
		if err := mrg.series[idx].AddTo(win, mrg.taken[idx], width); err != nil {
			return nil, err
		}
	}
	return win, nil
}

// points returns the burn in steps of ten minutes, oldest first.
func (mrg merged) points(obj Objective) []point {
	byStart := make(map[int64]*point)
	for idx := range mrg.series {
		for _, pnt := range mrg.series[idx].Points(true) {
			key := pnt.Start.Unix()
			if byStart[key] == nil {
				byStart[key] = &point{start: pnt.Start, width: pnt.Width}
			}
			byStart[key].jobs += pnt.Total
			byStart[key].missed += pnt.Total - pnt.Met
		}
	}
	out := make([]point, 0, len(byStart))
	for _, pnt := range byStart {
		pnt.burn = obj.burn(pnt.jobs, pnt.missed)
		out = append(out, *pnt)
	}
	slices.SortFunc(out, func(one, two point) int { return one.start.Compare(two.start) })
	return out
}
