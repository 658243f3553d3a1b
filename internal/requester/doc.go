// Package requester sends JSON bodies by HTTP POST. The clients of the platform's store and of
// the workers use it. It never retries a request, reports whether any byte of a failed
// request was sent, and closes the connection of a canceled call.
//
// A Requester has no locks of its own; fasthttp's HostClient synchronizes its connection pool.
package requester
