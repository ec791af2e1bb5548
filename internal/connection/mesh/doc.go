// Package mesh carries the messages of entry instances to each other: jsonrpc2 over TCP, one
// connection in each direction, and over it batches of messages that arrive once and in order, or not
// at all.
//
// Two instances share a session until one of them has not heard the other for a while. Then both start
// anew: each is told that the other was lost, and nothing of the old session arrives later. So an
// order that is not answered within its session is no longer carried out by a live instance.
package mesh
