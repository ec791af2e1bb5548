// Package serverlist keeps an entry instance's place in the platform's list of backend servers.
//
// Every heartbeat of every server is a record of that list, and few of them change anything. So one instance reads the list for
// all and writes digests of it to a topic of the system's own; the others read those, and the list itself only when no digest
// comes or one is missing. A digest says which part of the list it covers: what is known of the list never goes back, and a
// part that is missing shows.
//
// The package is pure: it holds no clock, socket or goroutine.
package serverlist
