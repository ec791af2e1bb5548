// Package headroom decides which servers are set aside for urgent tasks, which room waits for an urgent task, and which runs are stopped for urgent
// tasks that found none.
//
// It has no state of servers or orders: callers pass what runs and what waits, and carry the decisions out.
package headroom
