// Package succession decides which entry instance leads which shard of the pool. It is pure: what is heard
// of the other instances comes in, what to take over or to leave goes out. Two instances may decide
// differently for a while; the fencing tokens keep that harmless.
package succession
