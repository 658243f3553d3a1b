// Package commander is the client of the workers: it sends commands and requests for
// reports as JSON by HTTP POST. It makes no decisions and retries no request.
package commander
