// Package catalogue decides what governs the pool: it applies records in log order by a rule that
// comes out alike for every reader.
//
// It is pure: no clock, socket or goroutine. An edit names the version that it is based on, and is
// accepted only if that is still the current one. So each edit is accepted at most once, however
// often a lost reply had it appended, and an accepted version gives way only to a later one.
package catalogue
