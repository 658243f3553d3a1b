// Package relayer forwards TCP connections between two loopback addresses for partition
// tests. It can be cut in either direction while connections are open: bytes of a cut
// direction are held back, as on a network that loses every packet, and connections stay
// open until the cut ends or the relay stops.
//
// One lock guards the cut and the set of open connections.
package relayer
