// Package router chooses a service instance for each request and limits this entry
// host's use of every instance to its share of the slots. It is a state machine: it does
// no I/O, reads no clock, starts no goroutine and is not safe for concurrent use.
//
// The slots of an instance are divided into a fixed base share for each entry host and a
// pool. Router holds one entry host's view. Allocator belongs to the owner of a shard and
// grants slots of the pools for a limited time.
package router
