// Package dispatcher takes each request through the limiter, the router and the
// forwarder to its final outcome. It decides on retries and on forwarding to another
// failure domain, and records each such decision.
//
// Lock order: Dispatcher.mutex guards the limiter, the router and the table of waiting
// requests. No other lock is taken and no I/O is done while it is held.
package dispatcher
