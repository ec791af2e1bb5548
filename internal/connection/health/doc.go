// Package health decides whether the connection to a backend server still works, when to ask, and
// when to open a fresh one.
//
// A connection can go silent for good while new ones work, and TCP takes minutes to notice. A quiet
// connection is no evidence by itself: tasks run for up to several seconds without a message. So
// the monitor waits for the time at which an answer was expected, then asks with an empty batch,
// which a backend server answers at once however long its tasks take. Only an unanswered question
// counts as a timeout.
//
// The first timeout makes the connection potentially failed: new work goes elsewhere and a fresh
// connection is tried, again after each further timeout with exponential back-off; more timeouts in
// a row make it failed. An answer on the current connection or a fresh one that is up makes it
// active again. This is the potentially-failed state of RFC 7829 (SCTP-PF: A Quick Failover
// Algorithm for the Stream Control Transmission Protocol), with its recommended threshold
// of 0; docs/notes/health.md compares it with plain counting of consecutive timeouts.
//
// The package is pure: the caller passes the time in and carries out the actions.
package health
