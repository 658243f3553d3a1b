// Package registrar tracks the membership of hosts for one entry host: which entry hosts are
// alive, according to their heartbeats, and which hosts are leaving, according to the
// platform's host list, to operators and to the hosts themselves. The package does no I/O and
// reads no clock. A Registrar has one mutex and makes no calls to other packages of the project
// while it holds the mutex.
package registrar
