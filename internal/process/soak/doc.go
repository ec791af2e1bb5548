// Package soak plays the real daemons as separate processes on one machine, against stand-ins of the platform's store
// and backend servers, under seeded load and troubles, and checks the system's promises from what callers and
// backend servers see. Troubles come from outside the processes: by signals, and by proxies on every way between them.
package soak
