// Package publisher distributes the configuration through the platform's store: a
// Publisher applies an operator's submission by compare-and-swap, and a Follower
// detects new generations and passes each adopted one to a callback.
//
// Lock order: Follower.adoptionMu before Follower.stateMu. Only adoptionMu is held
// during the callback; no lock is held during a call to the store or to a peer.
package publisher
