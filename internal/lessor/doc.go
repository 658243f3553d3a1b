// Package lessor implements the lease of a shard: until when the owner may act on the shard
// (Lease) and from when another entry host may claim the shard (Successor). The package does no
// I/O and reads no clock: all times are passed in and must come from one monotonic clock per
// process.
//
// The clocks need not be synchronized. The owner's lease starts just before the owner sends the
// renewal, or the heartbeat that is answered with a promise. A successor waits from the time at
// which it receives the message, which is never earlier. The owner's lease is shorter than the
// successor's waiting time by Margin, so that the lease ends first although the two clocks drift
// apart.
//
// Values of these types are not safe for concurrent use.
package lessor
