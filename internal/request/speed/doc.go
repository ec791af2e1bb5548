// Package speed estimates how long tasks run: the lasting speed of each backend server, told from the sizes of its tasks and from faults, and
// how far the estimates of a route's callers are from the run times.
//
// All factors of run times are handled as their natural logarithms, so that "twice as long" and "half as long" are equally far from equal.
package speed
