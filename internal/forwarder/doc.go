// Package forwarder sends requests to backend servers over HTTP, one attempt for each
// call, and tells whether a request may have run. It makes no decisions and retries
// nothing.
//
// Lock order: Forwarder.mutex, then pool.mutex, then fasthttp's connection lock.
package forwarder
