// Package lessor implements the lease of a shard: until when the owner may act on the shard
// (Lease) and from when another entry host may claim it (Successor). It does no I/O and
// reads no clock: all times are passed in and must come from one monotonic clock per process.
//
// The clocks need not be synchronized. The owner's lease runs from just before it sent the
// renewal or the heartbeat that was answered with a promise; a successor waits from the time
// at which it received the message, which is never earlier. The owner's lease is shorter by
// Margin, so that it ends first although the two clocks drift apart.
//
// Values of these types are not safe for concurrent use.
package lessor
