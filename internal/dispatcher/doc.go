// Package dispatcher takes each request through the limiter, the router and the
// forwarder to its final outcome. It decides on retries and on forwarding to another
// failure domain, and records each of these decisions.
//
// Lock order: Dispatcher.mutex guards the limiter, the router and the tables of waiting
// and forwarded requests. While it is held, no other lock is taken and no I/O is done.
package dispatcher
