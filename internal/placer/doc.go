// Package placer decides which worker runs a task, which batch tasks are preempted for urgent
// tasks and service instances, and which batch tasks are throttled or moved when they degrade
// a service. It estimates from workers' reports how much classes of tasks slow each other
// down, and quarantines workers that fail their tasks.
//
// The package does no I/O, reads no clock and starts no goroutine. A Placer is not safe
// for concurrent use: the owner of a shard calls it from one goroutine, so there is no
// lock order.
//
// The caller passes its own view of its workers. Every task that is running, starting,
// stopping, not yet acknowledged or possibly left over from an earlier owner must be among
// the worker's AssignedTasks. After an Assign the caller adds the task to the worker's AssignedTasks
// before the next call.
package placer
