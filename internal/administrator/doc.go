// Package administrator is the transport between operators and entry hosts: a JSON
// server under /admin/ in front of a Backend, and the client that the command line
// uses. It makes no decisions and repeats no request.
package administrator
