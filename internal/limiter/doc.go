// Package limiter decides which requests are admitted, in which order they start and
// which are dropped, and counts the retry budget. It is a state machine: it does no
// I/O, reads no clock, starts no goroutine and is not safe for concurrent use.
package limiter
