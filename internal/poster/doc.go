// Package poster sends JSON bodies by HTTP POST for the transports to the platform and
// to the workers. It repeats nothing, says truthfully whether any byte of a failed
// request left the process, and closes the connection of an abandoned call.
//
// A Poster has no locks of its own; fasthttp's HostClient guards its connections.
package poster
