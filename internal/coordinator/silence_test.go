package coordinator

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// Guards against a host that stays ready, and leads on, while the store refuses all of its
// calls: its leases would end with nobody else elected.
func TestRefusedHostCountsAsCutOff(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Peers{}, slog.New(slog.DiscardHandler))
	c.config.Store(&Configuration{Version: 1})
	c.storeAnswered(nil)
	is.True(c.Ready())
	c.storeSeen.Store(timekeeper.Now().Add(-unreadyAfter).UnixNano())
	c.storeAnswered(&storer.RateLimitedError{})
	is.True(!c.Ready())
	c.storeAnswered(&storer.ConflictError{}) // it has served the call
	is.True(c.Ready())
}

// Guards against a leader that tells others that its store is fine because its reads are
// served, while none of its writes is.
func TestLeaderWithoutWritesTells(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Peers{}, slog.New(slog.DiscardHandler))
	c.storeAnswered(nil)
	ld := &leader{c: c}
	ld.confirmedAt.Store(timekeeper.Now().UnixNano())
	c.leader = ld
	a, err := c.servePing(context.Background(), ping{})
	is.NoErr(err)
	is.True(a.Leading && a.StoreSilence < leaderStoreLost)
	ld.confirmedAt.Store(timekeeper.Now().Add(-leaderStoreLost).UnixNano())
	a, err = c.servePing(context.Background(), ping{})
	is.NoErr(err)
	is.True(a.StoreSilence >= leaderStoreLost)
}
