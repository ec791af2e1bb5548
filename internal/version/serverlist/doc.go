// Package serverlist keeps track of how much an instance knows of the platform's list of backend servers.
//
// Every heartbeat of every backend server is a record of that list, and few of them change anything. So one instance, the reader, reads the
// list for all and writes digests of it to a topic of the system's own. The others read the digests, and read the list itself only when no
// digest comes or one is missing. Each digest says which part of the list it covers, so knowledge of the list never goes back, and a
// missing part is noticed. An instance that reaches neither the list nor the digests is sent the changes that it lacks by another one. Where the store
// can't serve reads of the list by all instances, a ReadLimit decides which may read, and when.
//
// The package is pure: it holds no clock, socket or goroutine.
package serverlist
