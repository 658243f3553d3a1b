// Package publisher carries the configuration through the platform's store: a
// Publisher applies an operator's submission by compare-and-swap, and a Follower
// learns of new generations and hands each adopted one to a callback.
//
// Lock order: Follower.mu is the only lock that is held across a callback; Publisher
// holds no lock during a store call.
package publisher
