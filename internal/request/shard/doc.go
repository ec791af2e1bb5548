// Package shard decides for the backend servers of one shard of the pool: which waiting task starts
// where, what is renewed, stopped and given up. It is pure: events and the time go in, actions come out.
//
// The instance that leads a shard is the only one that starts tasks on its backend servers. The
// proof is the fencing token, not the view: a backend server obeys only the highest token that it has seen,
// and its new leader counts nothing as free before the server has accepted the new token and has
// listed what runs there.
package shard
