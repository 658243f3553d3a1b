// Package forwarder sends requests to backend servers over HTTP. Each call of Send makes
// one attempt and reports whether the request may have run. The package makes no decisions
// and retries nothing.
//
// Lock order: Forwarder.mutex, then fasthttp's lock of a host client's connections, then
// connection.mutex.
package forwarder
