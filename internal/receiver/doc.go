// Package receiver is the HTTP server for callers. It checks each request, gives it an
// identity, passes it to a Handler and writes exactly one final answer.
//
// It holds no lock of its own.
package receiver
