// Package entry is the daemon behind the platform's balancer, the only long-running process of the
// system. It gives the pure decisions of package dispatch their clock, sockets and locks.
//
// An instance has no disk and keeps nothing: what must last is in the platform's log, what its peers
// may ask for is in memory for a bounded time.
package entry
