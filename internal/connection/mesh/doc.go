// Package mesh carries the messages between instances: jsonrpc2 over TCP, one connection in each direction, and over it batches
// of messages that are delivered exactly once and in order, or not at all.
//
// Two instances share a session until one of them has not received anything from the other for too long. Then both end the
// session: the Handler of each is told that the other was lost, and no message of the old session is delivered afterwards. So an
// order that was not answered within its session is no longer carried out by a live instance.
//
// A batch is one call: the sender's heartbeat and the messages that wait, none at times; on the wire it is a meshpb.Delivery with a
// meshpb.Beat. Its receipt, the result of the call, has the receiver's heartbeat, unless the receiver doesn't know the session yet.
// The messages of a batch are acknowledged once its receipt has arrived and doesn't say that the batch was stale.
package mesh
