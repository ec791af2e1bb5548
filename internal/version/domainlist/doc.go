// Package domainlist keeps what an entry instance knows of the failure domains that operators have closed to new work.
//
// Operators close a domain by a record in the platform's log and open it by dropping the record. What an instance knows reaches up to
// an offset of that log, and of two instances the one that knows more knows all that the other does. So an instance that the
// store turns away takes over what a peer knows, and a late or repeated answer of the store never takes an instance back.
//
// The package is pure: it holds no clock, socket or goroutine.
package domainlist
