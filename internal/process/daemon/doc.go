// Package daemon runs an instance on the users' platform: it connects the decision types of packages shard, submission and succession
// to the clock, the network, the store, the log and the lock.
package daemon
