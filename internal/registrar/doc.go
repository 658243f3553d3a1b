// Package registrar keeps one entry host's view of membership: which entry hosts are
// alive, judged by heartbeats, and which hosts are leaving, judged by the platform's
// lagging list, by operators and by the hosts themselves. It does no I/O and reads no
// clock. A Registrar has one mutex and calls nothing while it holds it.
package registrar
