// Package subset decides to which backend servers an entry instance keeps sessions, since it can't
// keep one to each: a backend server takes about 60 connections, and a session costs memory.
//
// Sessions to the backend servers whose home the entry instance is are always kept. Sessions to
// others are opened when a loan is to be used and kept for the next one, up to a bound; beyond it
// the one that was used least recently is closed, but never one that a task waits on. After a long
// time without use it is closed in any case, so that the connections of a backend server do not
// stay taken by entry instances that no longer borrow there.
//
// The package is pure: events and time in, actions out.
package subset
