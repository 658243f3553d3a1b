// Package server assembles one entry host: it creates the components, connects them to
// their listeners and runs the background loops. Run returns when the host has shut down.
//
// Lock order: peerTable.mu, endpointTable.mu and granter.mu are leaf locks. None of them
// is held during I/O, while another lock is taken, or while a component with its own
// lock is called. granter.mu is held during calls to router.Allocator, which has no lock
// and does no I/O.
package server
