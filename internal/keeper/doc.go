// Package keeper decides until when the owner of a shard may act on it (Tenure) and
// from when another entry host may claim it (Successor). It does no I/O and reads no
// clock: all times are passed in and must come from one monotonic clock per process.
//
// The two sides fit together without synchronized clocks. An owner counts a renewal
// or a promise from the time just before it sent the message; a successor counts from
// the time it received it, which is never earlier. The owner's interval is shortened
// by Margin, so that it ends first although the two clocks drift apart.
//
// Values of these types are not safe for concurrent use.
package keeper
