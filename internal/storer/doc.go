// Package storer is the client of the platform's key-value store and host list: it sends
// JSON by HTTP POST. It makes no decisions and never retries a write.
package storer
