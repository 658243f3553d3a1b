// Package server assembles one entry host: the transports, the decisions and the
// loops between them. Run returns when the host has shut down.
//
// Lock order: peerTable.mu, endpointTable.mu and granter.mu are leaves; none is held
// during I/O, while another one is taken, or while a component is called that has a
// lock of its own, except that granter.mu is held during the pure router.Allocator.
package server
