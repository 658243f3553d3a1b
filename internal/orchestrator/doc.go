// Package orchestrator decides when and where the tasks of jobs run. A job has steps of
// tasks that depend on each other; each task is started on a worker under a lease, and
// started again until it has ended well or has used up its attempts.
//
// An Orchestrator is a state machine of one leader. It takes typed events and the
// current time and returns typed actions; it does no I/O, reads no clock and starts no
// goroutine, so that a run of it can be repeated from its events. It is not safe for
// concurrent use: its caller holds one lock around all calls.
//
// What the leader must not forget stands in Records, which the caller writes to the
// store. The end of a run is acknowledged to its worker only after the record that
// holds it has been written. Starts are not written: a new leader learns what runs from
// the workers, and waits for the leases of those that it cannot reach.
package orchestrator
