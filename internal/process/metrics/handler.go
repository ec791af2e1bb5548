package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"chestnutstack/internal/request/job"
)

const (
	varName     = "chestnutstack"
	historyName = "history"
	memoryName  = "memstats"
)

// Path is where Handler belongs. With HistoryQuery it serves the history too, which Decode reads.
const (
	Path         = "/debug/vars"
	HistoryQuery = "history=1"
)

// Handler serves all the variables as JSON to whoever asks. The history of the histograms is many
// times the size of the rest and is sent only on request, so that frequent reading stays cheap.
func (set *Set) Handler() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		serve(wrt, req, set.Snapshot())
	})
}

// HandlerFor is Handler for readers who may not see each other's jobs: identify says on whose
// behalf a request comes. Without an identity, only messages and gauges are shown.
func (set *Set) HandlerFor(identify func(req *http.Request) (job.Partner, bool)) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		snp := set.Snapshot()
		if partner, ok := identify(req); ok {
			serve(wrt, req, snp.Only(partner))
			return
		}
		serve(wrt, req, snp.Only())
	})
}

func serve(wrt http.ResponseWriter, req *http.Request, snp *Snapshot) {
	wrt.Header().Set("Content-Type", "application/json; charset=utf-8")
	vars := newVars(snp, req.URL.Query().Has(historyName))
	// The reader may have gone; there is nobody left to tell.
	_, _ = fmt.Fprintln(wrt, vars.String())
}

// newVars returns the variables of a Set and the memory statistics of the process. The process-wide
// registry's cmdline stays out: tokens may stand on the command line.
func newVars(snp *Snapshot, withHistory bool) *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set(varName, expvar.Func(func() any { return encodeSnapshot(snp) }))
	if withHistory {
		vars.Set(historyName, expvar.Func(func() any { return encodeHistory(snp) }))
	}
	if mem := expvar.Get(memoryName); mem != nil {
		vars.Set(memoryName, mem)
	}
	return vars
}

// MarshalJSON returns what Handler serves with the history.
func (snp *Snapshot) MarshalJSON() ([]byte, error) {
	doc := wireDocument{Vars: encodeSnapshot(snp), History: encodeHistory(snp)}
	return json.Marshal(doc)
}
