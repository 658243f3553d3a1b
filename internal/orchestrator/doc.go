// Package orchestrator decides when and where the tasks of jobs run. A job has steps of
// tasks, and steps may depend on earlier ones. Each task is started on a worker under a
// lease, and started again until it has succeeded or has used up its attempts.
//
// Tasks with a LatencyTarget are latency-critical. Tasks of steps with Fills are best-effort:
// they run on the processors that other tasks leave unused, and are throttled when they
// raise the tail latency of latency-critical tasks on the same worker.
//
// An Orchestrator is the state machine of one leader. It takes typed events and the
// current time and returns typed actions; it does no I/O, reads no clock and starts no
// goroutine, so that its decisions can be replayed from its events. It is not safe for
// concurrent use: its caller holds one lock around all calls.
//
// State that must survive the leader is kept in Records, which the caller writes to the
// store. The end of a run is acknowledged to its worker only after the record that contains
// it has been written. Starts are not written: a new leader polls the workers for their
// runs, and waits until the leases of unreachable workers have ended. A worker lists a bounded number
// of ends at a time, so that a run which it lists neither as running nor as ended is lost only if all
// ends before have been listed.
package orchestrator
