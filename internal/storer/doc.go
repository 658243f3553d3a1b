// Package storer is the transport to the platform's key-value store and host list:
// JSON over HTTP POST. It makes no decisions and never repeats a write.
package storer
