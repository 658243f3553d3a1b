// Package messenger is the transport between entry hosts: remote procedure calls over
// drpc, with messages encoded as msgpack. It makes no decisions and retries nothing.
//
// drpc runs one call at a time on a connection. A Client therefore has three connection
// pools for its peer: one connection for Exchange alone, up to MaxConcurrentForwards
// connections for Forward and Invoke, opened on demand, and one connection for all other
// methods. A slow or large call can delay only calls of its own pool. The connection of a
// call that was canceled or that timed out is closed.
//
// Lock order: none; no lock of this package is held while another one is taken, or
// during a call, a dial or the closing of a connection.
package messenger
