// Package submission decides for the submissions that an owner instance has accepted: which shard gets which task, what is retried, and the
// answer to the caller. It is pure: its input is events and the time, its output actions.
//
// Package job has the state of other submissions, those that entry instances accept for the catalogue's entries. Its verdict NotRun means
// the same as the result NotRun; where a submission is Unfinished, such a job has the verdict MayHaveRun, or Failed if some of it is known
// to have run.
package submission
