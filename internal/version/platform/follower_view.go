package platform

import (
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
)

// Entry returns the current version of an entry, which may be a deletion.
func (flw *Follower) Entry(name string) (catalogue.Entry, bool) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Entry(name)
}

// Class returns what governs an entry now, or nil; it is shared and must not be changed.
func (flw *Follower) Class(name string) *job.Class {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Class(name)
}

// Classes returns what governs now, by name.
func (flw *Follower) Classes() []*job.Class {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Classes()
}

// List returns the entries in force, by name, and the offset that they are of.
func (flw *Follower) List() ([]catalogue.Entry, uint64) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.List(), flw.state.Offset()
}

// Token returns the current version of a token, which may be revoked or expired.
func (flw *Follower) Token(name string) (catalogue.Token, bool) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Token(name)
}

// Log returns up to limit edits from an offset on, and the offset that the oldest kept one follows.
func (flw *Follower) Log(from uint64, limit int) ([]Logged, uint64) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.history.edits(from, limit), flw.history.base
}
