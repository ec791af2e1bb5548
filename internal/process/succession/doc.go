// Package succession decides which instance leads which shard of the backend servers. It is pure: heartbeats and losses of other
// instances come in, shards to take over or to give up go out. Two instances may decide differently for a while; fencing tokens make that
// harmless.
package succession
