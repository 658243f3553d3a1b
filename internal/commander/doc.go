// Package commander is the transport to workers: JSON over HTTP POST. It makes no
// decisions and retries nothing.
package commander
