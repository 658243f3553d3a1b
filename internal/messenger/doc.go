// Package messenger is the transport between entry hosts: remote procedure calls over
// drpc, with messages encoded as msgpack. It makes no decisions and retries nothing.
//
// drpc runs one call at a time on a connection. A Client therefore has three connection
// pools for its peer: one connection for the method Exchange (heartbeats) alone, up to
// MaxConcurrentForwards connections, opened on demand, for Forward (requests that are passed
// on) and Invoke (methods of a NewMethodServer), and one connection for all other methods. A
// slow or large call can delay only calls of its own pool. The connection of a call that was
// canceled or that timed out is closed.
//
// No lock of this package is held while another lock is taken, or during a call, a dial or the
// closing of a connection.
package messenger
