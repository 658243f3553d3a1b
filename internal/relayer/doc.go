// Package relayer forwards TCP connections between two loopback addresses for partition
// tests. Either direction can be cut while connections are open. A cut holds back the
// bytes of its direction, as a network that loses every packet does. Connections stay
// open until the cut ends or the relay stops.
//
// A single lock guards the cut and the set of open connections.
package relayer
