// Package order chooses the job whose task starts next: fair queueing of slot time (the time that tasks occupy slots of backend servers)
// between partners, and within a partner shortest remaining job first, with ageing so that no job waits without bound.
//
// It also estimates the run time of the tasks of a catalogue entry.
package order
