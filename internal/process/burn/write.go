package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

type wireReport struct {
	Taken   time.Time   `json:"taken"`
	Passed  bool        `json:"passed"`
	Entries int         `json:"entries"`
	Missing []string    `json:"missing"`
	Young   []string    `json:"young"`
	Alarms  []wireAlarm `json:"alarms"`
	Classes []wireRow   `json:"classes"`
}

type wireAlarm struct {
	Name         string  `json:"name"`
	ShortSeconds float64 `json:"short-seconds"`
	LongSeconds  float64 `json:"long-seconds"`
	Threshold    float64 `json:"threshold"`
}

type wireRow struct {
	Partner       string     `json:"partner"`
	Class         string     `json:"class"`
	TargetSeconds float64    `json:"target-seconds"`
	Share         float64    `json:"share"`
	Rates         []wireRate `json:"rates"`
	P50Seconds    float64    `json:"last-hour-p50-seconds"`
	P99Seconds    float64    `json:"last-hour-p99-seconds"`
	Passed        []string   `json:"passed"`
}

type wireRate struct {
	WindowSeconds float64 `json:"window-seconds"`
	Jobs          uint64  `json:"jobs"`
	Missed        uint64  `json:"missed"`
	Burn          float64 `json:"burn"`
}

// WriteJSON writes the report as one JSON document.
func (rep *Report) WriteJSON(wrt io.Writer) error {
	out := wireReport{
		Taken: rep.taken.UTC(), Passed: rep.Passed(), Entries: rep.sources,
		Missing: rep.missing, Young: rep.young,
	}
	for _, alm := range alarms {
		out.Alarms = append(out.Alarms, wireAlarm{
			Name: alm.Name, ShortSeconds: alm.Short.Seconds(), LongSeconds: alm.Long.Seconds(),
			Threshold: alm.Threshold,
		})
	}
	for idx := range rep.rows {
		out.Classes = append(out.Classes, encodeRow(&rep.rows[idx]))
	}
	enc := json.NewEncoder(wrt)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func encodeRow(row *Row) wireRow {
	out := wireRow{
		Partner:       string(row.objective.Partner),
		Class:         row.objective.Class,
		TargetSeconds: row.objective.Target.Seconds(),
		Share:         row.objective.Share,
		P50Seconds:    row.p50.Seconds(),
		P99Seconds:    row.p99.Seconds(),
		Passed:        row.passed,
	}
	for _, rat := range row.rates {
		out.Rates = append(out.Rates, wireRate{
			WindowSeconds: rat.window.Seconds(), Jobs: rat.jobs, Missed: rat.missed, Burn: rat.burn,
		})
	}
	return out
}

// WriteTable writes the report for people.
func (rep *Report) WriteTable(wrt io.Writer) error {
	tab := tabwriter.NewWriter(wrt, 0, 0, 2, ' ', 0)
	var buf strings.Builder
	buf.WriteString(strings.Join(rep.header(), "\t") + "\n")
	for idx := range rep.rows {
		buf.WriteString(strings.Join(rep.rows[idx].cells(), "\t") + "\n")
	}
	if _, err := io.WriteString(tab, buf.String()); err != nil {
		return err
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(wrt, "\n"+strings.Join(rep.remarks(), "\n")+"\n")
	return err
}

func (rep *Report) header() []string {
	out := []string{"PARTNER", "CLASS", "OBJECTIVE"}
	for _, width := range windows() {
		out = append(out, "BURN "+short(width))
	}
	return append(out, "MISSED/JOBS "+short(time.Hour), "P50", "P99", "ALARM")
}

func (row *Row) cells() []string {
	out := []string{string(row.objective.Partner), row.objective.Class, row.objective.text()}
	for _, rat := range row.rates {
		out = append(out, row.burnText(rat))
	}
	hour := row.rate(time.Hour)
	alarm := "-"
	if len(row.passed) > 0 {
		alarm = strings.Join(row.passed, ", ")
	}
	return append(out,
		fmt.Sprintf("%d/%d", hour.missed, hour.jobs), timeText(row.p50), timeText(row.p99), alarm)
}

func (row *Row) burnText(rat Rate) string {
	if !row.objective.valid() || rat.jobs == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", rat.burn)
}

func (obj Objective) text() string {
	if !obj.valid() {
		return "none"
	}
	return fmt.Sprintf("%.4g%% in %v", obj.Share*100, obj.Target)
}

func timeText(dur time.Duration) string {
	if dur == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g s", dur.Seconds())
}

func short(dur time.Duration) string {
	if dur%time.Hour == 0 {
		return fmt.Sprintf("%dh", dur/time.Hour)
	}
	return fmt.Sprintf("%dm", dur/time.Minute)
}

// remarks say what the figures rest on.
func (rep *Report) remarks() []string {
	out := []string{fmt.Sprintf("taken %s from %d of %d entry instances",
		rep.taken.UTC().Format(time.RFC3339), rep.sources-len(rep.missing), rep.sources)}
	if len(rep.missing) > 0 {
		out = append(out, "no answer from: "+strings.Join(rep.missing, ", "))
	}
	if len(rep.young) > 0 {
		out = append(out, "history shorter than the longest window: "+strings.Join(rep.young, ", "))
	}
	for _, alm := range alarms {
		out = append(out, fmt.Sprintf("alarm %s: burn over %.4g in both %s and %s, %d missed or more",
			alm.Name, alm.Threshold, short(alm.Short), short(alm.Long), minMissed))
	}
	verdict := "no threshold is passed"
	if rep.Passed() {
		verdict = "A THRESHOLD IS PASSED"
	}
	return append(out, verdict)
}
