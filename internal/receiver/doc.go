// Package receiver is the HTTP server for callers. It checks each request, assigns it an
// identity, passes it to a Handler and writes exactly one final answer.
//
// The package has no lock of its own.
package receiver
