// Package platformstandin takes the platform's place in tests and in the embedded default: an
// append-only log with offsets and limited retention, and a list of instances that lags.
//
// It can be told to fail in the ways the platform does: refuse, stall, lose a reply after the
// effect, leave open connections silent, lag, forget records. It keeps everything in memory.
package platformstandin
