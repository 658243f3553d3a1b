// Package forwarder sends requests to backend servers over HTTP, one attempt for each
// call, and tells whether a request may have run. It makes no decisions and retries
// nothing.
//
// Lock order: Forwarder.mutex, then fasthttp's lock of a host client's connections, then
// connection.mutex.
package forwarder
