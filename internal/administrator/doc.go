// Package administrator is the transport between operators and entry hosts: an HTTP server
// that passes JSON requests under /admin/ to a Backend, and the client that the command
// line uses. It makes no decisions and retries no request.
package administrator
