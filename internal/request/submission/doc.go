// Package submission decides for the submissions that an owner instance has accepted: which shard gets which task, what is retried, and
// the answer to the caller. It is pure: its input is events and the time, its output actions.
package submission
