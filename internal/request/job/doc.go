// Package job holds the state of a submission: its tasks, the state of each, and the final answer, which is complete or an error.
//
// It is pure: no clock, socket or goroutine. The rules for which task may be sent again are in Task.
package job
