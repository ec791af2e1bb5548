package metrics

import (
	"encoding/json"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/job"
)

// maxDocument bounds what Decode reads.
const maxDocument = 64 << 20

type wireDocument struct {
	Vars    wireVars      `json:"chestnutstack"`
	History []wireHistory `json:"history"`
}

type wireVars struct {
	Time     float64                      `json:"time"`
	Since    float64                      `json:"since"`
	Messages wireMessages                 `json:"messages"`
	Verdicts map[string]map[string]uint64 `json:"verdicts"`
	Gauges   map[string]float64           `json:"gauges"`
	Jobs     []wireSeries                 `json:"jobs"`
}

type wireMessages struct {
	Useful map[string]uint64 `json:"useful"`
	Wasted map[string]uint64 `json:"wasted"`
	// Derived for whoever reads the page; Decode works them out again.
	WastedPerUseful float64 `json:"wasted-per-useful"`
}

type wireSeries struct {
	Partner string `json:"partner"`
	Class   string `json:"class"`
	Total   uint64 `json:"total"`
	Met     uint64 `json:"met"`
	// Derived: the last hour, for whoever reads the page.
	LastHour wireSummary `json:"last-hour"`
}

type wireSummary struct {
	Total       uint64             `json:"total"`
	Met         uint64             `json:"met"`
	Ratio       map[string]float64 `json:"response-ratio"`
	TimeSeconds map[string]float64 `json:"response-seconds"`
}

type wireHistory struct {
	Partner string     `json:"partner"`
	Class   string     `json:"class"`
	Fine    []wireSlot `json:"minutes"`
	Coarse  []wireSlot `json:"ten-minutes"`
}

type wireSlot struct {
	Start int64  `json:"start"`
	Total uint64 `json:"total"`
	Met   uint64 `json:"met"`
	Ratio []byte `json:"response-ratio"`
	Time  []byte `json:"response-time"`
}

var percentiles = map[string]float64{"p50": 50, "p99": 99, "p99-9": 99.9}

func seconds(when time.Time) float64 {
	return float64(when.UnixMilli()) / 1000
}

func encodeSnapshot(snp *Snapshot) wireVars {
	out := wireVars{
		Time:     seconds(snp.taken),
		Since:    seconds(snp.since),
		Messages: wireMessages{Useful: snp.useful, Wasted: snp.wasted},
		Verdicts: make(map[string]map[string]uint64, len(snp.verdicts)),
		Gauges:   make(map[string]float64, len(snp.gauges)),
	}
	if useful := sum(snp.useful); useful > 0 {
		out.Messages.WastedPerUseful = float64(sum(snp.wasted)) / float64(useful)
	}
	for partner, counts := range snp.verdicts {
		out.Verdicts[string(partner)] = counts
	}
	for name, val := range snp.gauges {
		// JSON knows neither infinity nor NaN; one bad gauge must not hide all the rest.
		if !math.IsInf(val, 0) && !math.IsNaN(val) {
			out.Gauges[name] = val
		}
	}
	for idx := range snp.series {
		out.Jobs = append(out.Jobs, encodeSeries(snp, &snp.series[idx]))
	}
	return out
}

func sum(counts map[string]uint64) uint64 {
	total := uint64(0)
	for _, num := range counts {
		total += num
	}
	return total
}

func encodeSeries(snp *Snapshot, ser *Series) wireSeries {
	out := wireSeries{
		Partner: string(ser.partner), Class: ser.class, Total: ser.hist.total, Met: ser.hist.met,
	}
	win, err := ser.Window(snp.taken, time.Hour)
	if err != nil {
		return out
	}
	out.LastHour = wireSummary{
		Total:       win.total,
		Met:         win.met,
		Ratio:       make(map[string]float64, len(percentiles)),
		TimeSeconds: make(map[string]float64, len(percentiles)),
	}
	for name, pct := range percentiles {
		out.LastHour.Ratio[name] = win.Ratio(pct)
		out.LastHour.TimeSeconds[name] = win.Time(pct).Seconds()
	}
	return out
}

func encodeHistory(snp *Snapshot) []wireHistory {
	var out []wireHistory
	for idx := range snp.series {
		ser := &snp.series[idx]
		out = append(out, wireHistory{
			Partner: string(ser.partner),
			Class:   ser.class,
			Fine:    encodeSlots(ser.hist.fine),
			Coarse:  encodeSlots(ser.hist.coarse),
		})
	}
	return out
}

func encodeSlots(slots []slot) []wireSlot {
	out := make([]wireSlot, 0, len(slots))
	for _, slt := range slots {
		out = append(out, wireSlot{
			Start: slt.start.Unix(), Total: slt.total, Met: slt.met, Ratio: slt.ratio, Time: slt.time,
		})
	}
	return out
}

// Decode reads what Handler serves, with the history or without. It checks every bound, since an
// entry instance of another version or another program may answer at the address.
func Decode(rdr io.Reader) (*Snapshot, error) {
	dat, err := io.ReadAll(io.LimitReader(rdr, maxDocument+1))
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	if len(dat) > maxDocument {
		return nil, errors.Newf("metrics: more than %d bytes", maxDocument)
	}
	var doc wireDocument
	if err := json.Unmarshal(dat, &doc); err != nil {
		return nil, errors.Wrap(err, "parse metrics")
	}
	if doc.Vars.Messages.Useful == nil {
		return nil, errors.New("metrics: not the variables of an entry instance")
	}
	return decodeDocument(&doc)
}

func decodeDocument(doc *wireDocument) (*Snapshot, error) {
	snp := newSnapshot(fromSeconds(doc.Vars.Time), fromSeconds(doc.Vars.Since))
	for name, num := range doc.Vars.Messages.Useful {
		snp.addMessages(name, false, num)
	}
	for name, num := range doc.Vars.Messages.Wasted {
		snp.addMessages(name, true, num)
	}
	for partner, counts := range doc.Vars.Verdicts {
		for name, num := range counts {
			snp.addVerdicts(job.Partner(partner), name, num)
		}
	}
	for name, val := range doc.Vars.Gauges {
		snp.gauges[name] = val
	}
	if len(doc.Vars.Jobs) > maxSeries || len(doc.History) > maxSeries {
		return nil, errors.Newf("metrics: more than %d series", maxSeries)
	}
	if err := decodeSeries(doc, snp); err != nil {
		return nil, err
	}
	snp.sort()
	return snp, nil
}

func fromSeconds(sec float64) time.Time {
	return time.UnixMilli(int64(math.Round(sec * 1000)))
}

func decodeSeries(doc *wireDocument, snp *Snapshot) error {
	place := make(map[seriesKey]int, len(doc.Vars.Jobs))
	for _, wir := range doc.Vars.Jobs {
		key := seriesKey{partner: job.Partner(wir.Partner), class: wir.Class}
		if _, ok := place[key]; ok {
			return errors.Newf("metrics: two series of %s %s", wir.Partner, wir.Class)
		}
		place[key] = len(snp.series)
		snp.series = append(snp.series, Series{
			partner: key.partner, class: key.class, hist: history{total: wir.Total, met: wir.Met},
		})
	}
	for _, wir := range doc.History {
		idx, ok := place[seriesKey{partner: job.Partner(wir.Partner), class: wir.Class}]
		if !ok {
			return errors.Newf("metrics: history without series: %s %s", wir.Partner, wir.Class)
		}
		if err := decodeHistory(wir, &snp.series[idx].hist); err != nil {
			return errors.Wrapf(err, "metrics: %s %s", wir.Partner, wir.Class)
		}
	}
	return nil
}

func decodeHistory(wir wireHistory, hst *history) error {
	var err error
	if hst.fine, err = decodeSlots(wir.Fine, fineSlots); err != nil {
		return err
	}
	hst.coarse, err = decodeSlots(wir.Coarse, coarseSlots)
	return err
}

func decodeSlots(slots []wireSlot, most int) ([]slot, error) {
	if len(slots) > most {
		return nil, errors.Newf("more than %d slots", most)
	}
	out := make([]slot, 0, len(slots))
	win := NewWindow()
	for _, wir := range slots {
		slt := slot{
			start: time.Unix(wir.Start, 0),
			total: wir.Total,
			met:   wir.Met,
			ratio: wir.Ratio,
			time:  wir.Time,
		}
		if slt.met > slt.total || slt.total > maxBucketCount {
			return nil, errOutOfRange
		}
		// Added up once here, so that every later use of the slot is known to succeed.
		if err := win.add(slt); err != nil {
			return nil, err
		}
		out = append(out, slt)
	}
	return out, nil
}
