// Package shard contains the decisions of a shard's leader: which waiting task starts on which backend server, which leases are renewed,
// and which runs are stopped or started again elsewhere. It does no I/O: events and the time go in, actions come out.
//
// The instance that leads a shard is the only one that starts tasks on its backend servers. This rests on the fencing token, not on the
// instances' views: a backend server obeys only the highest token that it has seen, and a new leader counts no capacity as free until the
// server has accepted the new token and listed its runs.
package shard
