package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type wireReport struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Jobs       int            `json:"jobs"`
	Twins      int            `json:"twins"`
	Retries    int            `json:"retries"`
	Redirected int            `json:"redirected"`
	Lateness   float64        `json:"lateness-seconds"`
	Partners   []wireClass    `json:"partners"`
	Classes    []wireClass    `json:"classes"`
	Reasons    map[string]int `json:"reasons"`
	Wrong      map[string]int `json:"wrong-answers"`
	Messages   wireMessages   `json:"messages"`
	Starts     *wireStarts    `json:"starts,omitempty"`
	Failed     bool           `json:"failed"`
}

type wireClass struct {
	Partner  string             `json:"partner"`
	Class    string             `json:"class"`
	Verdicts map[string]int     `json:"verdicts"`
	Ratio    map[string]float64 `json:"response-ratio"`
	Seconds  map[string]float64 `json:"response-seconds"`
}

type wireMessages struct {
	Useful          map[string]int64 `json:"useful"`
	Wasted          map[string]int64 `json:"wasted"`
	WastedPerUseful float64          `json:"wasted-per-useful"`
	Missing         []string         `json:"missing"`
}

type wireStarts struct {
	Tasks       int      `json:"tasks"`
	Double      int      `json:"double"`
	FalseNotRun int      `json:"false-not-run"`
	Unproven    int      `json:"answered-without-start"`
	Missing     []string `json:"missing"`
}

// percentileNames are in the order of the table's columns.
var percentileNames = []string{"p50", "p99", "p99-9"}

var percentiles = map[string]float64{"p50": 50, "p99": 99, "p99-9": 99.9}

// WriteJSON writes the report as one JSON document.
func (rep *Report) WriteJSON(wrt io.Writer) error {
	out := wireReport{
		Seed:       rep.seed,
		Seconds:    rep.took.Seconds(),
		Jobs:       rep.jobs,
		Twins:      rep.twins,
		Retries:    rep.retries,
		Redirected: rep.redirected,
		Lateness:   rep.lateness.Seconds(),
		Reasons:    rep.reasons,
		Wrong:      rep.wrong,
		Messages: wireMessages{
			Useful:          rep.useful,
			Wasted:          rep.wasted,
			WastedPerUseful: rep.WastedPerUseful(),
			Missing:         rep.metricsMissing,
		},
		Failed: rep.Failed(),
	}
	if rep.journaled {
		out.Starts = &wireStarts{
			Tasks: rep.started, Double: rep.doubleStarts, FalseNotRun: rep.falseNotRun,
			Unproven: rep.unproven,
			Missing:  rep.journalsMissing,
		}
	}
	out.Partners = encodeClasses(rep.partners)
	out.Classes = encodeClasses(rep.classes)
	enc := json.NewEncoder(wrt)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func encodeClasses(classes []ClassReport) []wireClass {
	out := make([]wireClass, 0, len(classes))
	for idx := range classes {
		out = append(out, encodeClass(&classes[idx]))
	}
	return out
}

func encodeClass(cls *ClassReport) wireClass {
	return wireClass{
		Partner:  string(cls.partner),
		Class:    cls.class,
		Verdicts: cls.verdicts,
		Ratio:    percentilesOf(cls.ratio, ratioUnit),
		Seconds:  percentilesOf(cls.time, 1e6),
	}
}

func percentilesOf(hst *hdrhistogram.Histogram, unit float64) map[string]float64 {
	out := make(map[string]float64, len(percentiles))
	for name, pct := range percentiles {
		out[name] = float64(hst.ValueAtPercentile(pct)) / unit
	}
	return out
}

// WriteTable writes the report for people.
func (rep *Report) WriteTable(wrt io.Writer) error {
	tab := tabwriter.NewWriter(wrt, 0, 0, 2, ' ', tabwriter.AlignRight)
	var buf strings.Builder
	fmt.Fprintf(&buf, "seed %d, %d jobs in %.1f s, sent at most %v late\n",
		rep.seed, rep.jobs, rep.took.Seconds(), rep.lateness.Round(time.Millisecond))
	fmt.Fprintf(&buf, "%d twins, %d retries, %d redirected\n\n", rep.twins, rep.retries, rep.redirected)
	buf.WriteString("partner\tclass\tjobs\tdone\tratio p50\tp99\tp99.9\ttime p50\tp99\tp99.9\t\n")
	for _, rows := range [][]ClassReport{rep.partners, rep.classes} {
		for idx := range rows {
			buf.WriteString(rows[idx].row())
		}
	}
	buf.WriteString("\n" + rep.verdictLine())
	buf.WriteString(countLines("reasons", rep.reasons))
	buf.WriteString(countLines("wrong answers", rep.wrong))
	buf.WriteString(rep.messageLines())
	buf.WriteString(rep.startLines())
	if _, err := io.WriteString(tab, buf.String()); err != nil {
		return err
	}
	return tab.Flush()
}

func (cls *ClassReport) row() string {
	jobs := 0
	for _, num := range cls.verdicts {
		jobs += num
	}
	row := fmt.Sprintf("%s\t%s\t%d\t%d\t", cls.partner, cls.class, jobs, cls.verdicts["done"])
	for _, name := range percentileNames {
		row += fmt.Sprintf("%.2f\t", cls.Ratio(percentiles[name]))
	}
	for _, name := range percentileNames {
		row += fmt.Sprintf("%.3f s\t", cls.Time(percentiles[name]).Seconds())
	}
	return row + "\n"
}

func (rep *Report) verdictLine() string {
	counts := make(map[string]int)
	for idx := range rep.partners {
		for name, num := range rep.partners[idx].verdicts {
			counts[name] += num
		}
	}
	return countLines("verdicts", counts)
}

func countLines[N int | int64](title string, counts map[string]N) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
		}
	}
	if len(parts) == 0 {
		return title + ": none\n"
	}
	return title + ": " + strings.Join(parts, ", ") + "\n"
}

func (rep *Report) messageLines() string {
	out := countLines("useful messages", rep.useful) + countLines("wasted messages", rep.wasted)
	out += fmt.Sprintf("wasted per useful message: %.4f\n", rep.WastedPerUseful())
	if len(rep.metricsMissing) > 0 {
		out += "no count from: " + strings.Join(rep.metricsMissing, ", ") + "\n"
	}
	return out
}

func (rep *Report) startLines() string {
	if !rep.journaled {
		return "double starts: not checked, no journal was named\n"
	}
	out := fmt.Sprintf("started tasks %d, double starts %d, started after not-run %d\n",
		rep.started, rep.doubleStarts, rep.falseNotRun)
	if rep.unproven > 0 {
		out += fmt.Sprintf("answered without a start in any journal: %d\n", rep.unproven)
	}
	if len(rep.journalsMissing) > 0 {
		out += "no journal from: " + strings.Join(rep.journalsMissing, ", ") + "\n"
	}
	return out
}
