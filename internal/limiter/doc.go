// Package limiter implements admission control: it decides which requests are queued,
// in which order they start and which are dropped, and it enforces the retry budget.
// It is a state machine: it does no I/O, reads no clock, starts no goroutine and is
// not safe for concurrent use.
package limiter
