// Package backendstandin is a backend server for development, tests and measurements: it speaks the
// real protocol, keeps the real promises, and can be told to fail.
//
// What a task does is read from its payload, see Work. A task starts at most once: the id of every
// start is kept for Config.Memory after the task has ended, and a start whose not-after time lies
// further ahead than that is refused, so that no copy of it can arrive once the id is forgotten.
package backendstandin
