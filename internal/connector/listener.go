package connector

import (
	"log/slog"
	"net"
	"time"
)

const (
	// acceptRetryDelay is the pause before the next connection is accepted after descriptors have run out.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines on refused connections.
	acceptLogInterval = 2 * time.Second
)

// Listener is a net.Listener that waits for descriptors when they have run out. Servers take the error of an Accept
// for the end of their listener, and would serve no one for the rest of the process's life.
type Listener struct {
	net.Listener
	log      *slog.Logger
	loggedAt time.Time // used by Accept only
	failures int       // since loggedAt
}

// NewListener returns a listener that accepts the connections of l. Its Accept must not be called concurrently.
func NewListener(l net.Listener, log *slog.Logger) *Listener { return &Listener{Listener: l, log: log} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !IsExhausted(err) {
			return c, err
		}
		l.failures++
		if time.Since(l.loggedAt) >= acceptLogInterval {
			l.log.Warn("AcceptDelayed", "Address", l.Addr().String(), "Failures", l.failures, "Cause", err.Error())
			l.loggedAt, l.failures = time.Now(), 0
		}
		time.Sleep(acceptRetryDelay)
	}
}
