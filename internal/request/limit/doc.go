// Package limit keeps the limits of catalogue entries over the whole pool without coordination.
//
// Each limit is a number of units. Every unit has one home entry instance by rendezvous hash, and
// homes lend idle units to peers with an expiry. Concurrency, rate and team quota are the same
// mechanism: a unit of a rate is in use for a fixed time after a start, a unit of the others until
// the task ends. The package is pure: events and the time go in, actions come out.
package limit
