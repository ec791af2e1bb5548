// Package daemon is an entry instance on the users' platform: the shell that gives the decisions of
// packages shard, submission and succession their clock, sockets, locks and logs.
package daemon
