// Package member joins what an entry instance hears of the others into one view of the pool.
//
// It is pure: events, the time and a seeded generator go in, actions come out. Evidence comes from
// the platform's list, which lags, from the heartbeats of peers, and from calls that were refused
// or timed out. The earliest evidence of leaving counts, and a list that shrinks suddenly is not
// believed without other evidence.
package member
