// Package messenger is the transport between entry hosts: drpc with msgpack. It makes
// no decisions and retries nothing.
//
// drpc runs one call at a time on a connection. A Client therefore has three lanes to
// its peer: one connection for Exchange alone, a few for Forward, which grow with demand,
// and one for everything else. A slow or large call can delay only calls of its own lane.
// The connection of an abandoned call is closed.
//
// Lock order: a lane's lock, then the counter of its connections. A lane calls nothing
// while it holds its lock.
package messenger
