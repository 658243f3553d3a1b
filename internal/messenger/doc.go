// Package messenger is the transport between entry hosts: drpc with msgpack. It makes
// no decisions and retries nothing.
package messenger
