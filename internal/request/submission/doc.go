// Package submission decides for the submissions that an entry instance has taken in: which shard gets
// which task, what is tried again, and what the caller is told. It is pure: events and the time go in,
// actions come out.
package submission
