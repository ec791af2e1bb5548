// Package metrics counts what an entry instance does and how long its jobs take, and shows it by
// expvar.
//
// Every Set has variables of its own instead of the process-wide registry of expvar, so that
// several entry instances can live in one process. Response times and ratios are kept as
// histograms over a sliding history, in a form that merges over entry instances: Decode reads what
// Handler serves.
package metrics
