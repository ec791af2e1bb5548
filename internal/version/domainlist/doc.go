// Package domainlist keeps what an instance knows of the failure domains that operators have closed to new work.
//
// Operators close a domain by a record in the platform's log and open it by removing the record. An instance knows the log up to an
// offset, and of two instances the one with the higher offset knows all that the other does. So an instance that the store refuses to
// serve adopts what a peer knows, and a late or repeated answer of the store never undoes later knowledge.
//
// The package is pure: it holds no clock, socket or goroutine.
package domainlist
