// Package grant divides the room that a leader advertises among the owners that see it, without messages between them.
//
// All owners see the same loads. If each of them counts on all of the room in a load, all send tasks for it, and all tasks but a few come back.
// An owner therefore counts on a share of the room that it learns from what becomes of its orders, and owners prefer different shards.
// The package does no input or output and has no clock; all randomness comes from hashes.
package grant
