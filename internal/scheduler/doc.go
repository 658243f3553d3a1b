// Package scheduler implements the state machine of one shard: its jobs, service
// instances and workers, its journal, and the adoption of tasks that a new owner finds
// running. Shard.Step takes an event and a time and returns actions. The package does no
// I/O and reads no clock.
package scheduler
