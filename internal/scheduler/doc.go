// Package scheduler holds one shard's state machine: its jobs, service instances and
// workers, its journal, and the adoption of what a new owner finds running. Step takes
// an event and a time and returns actions; the package does no I/O and reads no clock.
package scheduler
