package connector_test

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/connector"
)

// acquire acquires n connections and returns how many it got.
func acquire(b *connector.Budget, n int, now time.Time) int {
	got := 0
	for range n {
		if b.Acquire(now) {
			got++
		}
	}
	return got
}

// A leader polls 3,000 workers on a host with 4,100 descriptors. Guards against connections to workers that leave no
// descriptors to callers and to the store, and against polls that leave none to commands.
func TestBudgetLeavesDescriptors(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := connector.NewBudget(4100, 0.16)
	polls := 0
	for range 4100 {
		if b.AcquirePoll(now) {
			polls++
		}
	}
	connections := acquire(b, 4100, now)
	is.True(polls >= 3000)
	is.True(connections > polls)
	is.True(4100-connections >= 500)
	b.Release()
	b.ReleasePoll()
	is.Equal(acquire(b, 2, now), 1)
	is.True(b.AcquirePoll(now))
	is.True(!b.AcquirePoll(now))
}

// The operating system allows fewer descriptors than the process assumes. Guards against a budget that goes on running
// into that limit, and against one that stays small after a burst of callers has ended.
func TestBudgetFindsLimit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := connector.NewBudget(10000, 0.16)
	is.Equal(acquire(b, 1000, now), 1000)
	is.Equal(b.Exhausted(now), 900)
	is.Equal(b.Exhausted(now), 900) // of another connection at the same time
	is.True(!b.Acquire(now))
	limit, open := b.Limit(now.Add(10 * time.Second))
	is.Equal(open, 1000)
	is.True(limit >= 980 && limit <= 1000)
	limit, _ = b.Limit(now.Add(time.Hour))
	is.Equal(limit, 8000)
}

// failingListener fails to accept with each of its errors, one after the other.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Descriptors run out for a while. Guards against a server that takes this for the end of its listener and serves no one
// afterwards: it happened to a leader with 3,000 workers, whose readiness checks ended too.
func TestListenerSurvivesExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		exhausted := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		l := connector.NewListener(&failingListener{errs: []error{exhausted, exhausted, exhausted}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		begin := time.Now()
		_, err := l.Accept()
		is.True(errors.Is(err, net.ErrClosed)) // the listener was closed after three failures
		is.True(time.Since(begin) > 0)         // it pauses
	})
}
