package coordinator

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// Guards against a host that stays ready, and leader, while the store rate-limits all of its
// calls. The leases of its runs would expire although no other host was elected.
func TestRateLimitedHostBecomesUnready(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.DiscardHandler))
	c.config.Store(&Configuration{Version: 1})
	c.recordStoreResult(nil)
	is.True(c.Ready())
	c.lastStoreSuccess.Store(timekeeper.Now().Add(-maxReadyStoreSilence).UnixNano())
	c.recordStoreResult(&storer.RateLimitedError{})
	is.True(!c.Ready())
	c.recordStoreResult(&storer.ConflictError{}) // the store has served the call
	is.True(c.Ready())
}

// Guards against a leader that reports to other hosts that it reaches the store, because its
// reads are served, while none of its writes are.
func TestLeaderReportsStoreSilenceWithoutWrites(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.DiscardHandler))
	c.recordStoreResult(nil)
	ld := &leadership{c: c}
	ld.lastConfirmedSent.Store(timekeeper.Now().UnixNano())
	c.leadership = ld
	a, err := c.servePing(context.Background(), pingRequest{})
	is.NoErr(err)
	is.True(a.Leading && a.StoreSilence < maxLeaderStoreAnswerAge)
	ld.lastConfirmedSent.Store(timekeeper.Now().Add(-maxLeaderStoreAnswerAge).UnixNano())
	a, err = c.servePing(context.Background(), pingRequest{})
	is.NoErr(err)
	is.True(a.StoreSilence >= maxLeaderStoreAnswerAge)
}
