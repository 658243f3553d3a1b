// Package publisher carries the configuration through the platform's store: a
// Publisher applies an operator's submission by compare-and-swap, and a Follower
// learns of new generations and hands each adopted one to a callback.
//
// Lock order: Follower.order before Follower.state. Only order is held across the
// callback; no lock is held during a call to the store or to a peer.
package publisher
