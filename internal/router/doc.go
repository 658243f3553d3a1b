// Package router chooses a service instance for each request and keeps this entry
// host's use of every instance within its share of slots. It is a state machine: it
// does no I/O, reads no clock, starts no goroutine and is not safe for concurrent use.
//
// Router holds one entry host's view. Allocator belongs to the owner of a shard and
// lends the slots that no base share covers.
package router
