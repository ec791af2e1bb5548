// Package dispatch is the scheduler of one instance: it admits jobs, decides which task starts on which backend
// server and when, and borrows slots from and lends slots to other instances.
//
// It does no input or output: events come in as method calls that carry the time, and the work to be done is
// returned as Actions. Package entry connects it to sockets, goroutines and clocks.
package dispatch
