package coordinator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// A process is paused at different points of its check. Guards against a pause that goes unnoticed: also while the
// check itself has not run again yet.
func TestPauseIsNoticed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1e9, 0)
	var p pauseDetector
	is.True(!p.pausedSince(start, start.Add(time.Hour))) // not started yet
	is.Equal(p.check(start), time.Duration(0))
	is.True(!p.pausedSince(start, start.Add(maxPause-1)))
	for _, pause := range []time.Duration{maxPause, 5 * time.Second, 30 * time.Second} {
		asked, woken := start.Add(time.Millisecond), start.Add(pause)
		is.True(p.pausedSince(asked, woken)) // a request is served before the check
		is.Equal(p.check(woken), pause)
		is.True(p.pausedSince(asked, woken))
		is.True(!p.pausedSince(woken, woken.Add(time.Millisecond)))
		start = woken
	}
}

// watchedStore answers a watch of the configuration once it is released, and reads at once.
type watchedStore struct {
	storer.TransactionalStore
	release chan struct{}
}

func (s watchedStore) Watch(context.Context, string, uint64, time.Duration) (storer.Events, error) {
	<-s.release
	return storer.Events{StoreRevision: 5}, nil
}

func (s watchedStore) List(context.Context, string) ([]storer.Entry, uint64, error) {
	return nil, 5, nil
}

// A host is paused while it watches the configuration, and the operators withdraw a queue meanwhile. Guards against
// requests that are handled by the configuration from before the pause, and against the answer to
// the old watch, which says nothing about the time of the pause.
func TestConfigurationIsConfirmedAfterPause(t *testing.T) {
	is := is.New(t)
	store := watchedStore{release: make(chan struct{})}
	c := New(Settings{Name: "a"}, Dependencies{Store: store}, slog.New(slog.DiscardHandler))
	c.recordStoreResult(nil)
	c.config.Store(&Configuration{Version: 1})
	begin := timekeeper.Now()
	c.pauses.check(begin)
	is.True(c.Configured() && c.Ready())
	var s configurationSync
	watched := make(chan error)
	go func() { watched <- c.watchConfiguration(context.Background(), &s) }()
	c.pauses.check(timekeeper.Now().Add(5 * time.Second)) // the process continues 5 s later
	store.release <- struct{}{}
	is.NoErr(<-watched)
	is.True(!c.Configured() && !c.Ready())
	c.pauses.resumedAt.Store(timekeeper.Now().UnixNano()) // the virtual 5 s have passed
	is.NoErr(c.readConfiguration(context.Background(), &s))
	is.True(c.Configured() && c.Ready())
}
