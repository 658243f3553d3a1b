package coordinator

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

// Most hosts of a large deployment are too weak to lead. Guards against a leader that spends its
// processor on the pings of hosts that would leave a campaign to others anyway.
func TestWeakHostsPingLessOften(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	leader, _ := newTestLeadership(nil)
	leader.c.processID = "a/1"
	_, closeServer := messenger.NewMethodServer(l, leader.c.peerMethods(), slog.New(slog.DiscardHandler))
	defer closeServer()
	for _, c := range []struct {
		share float64
		pause time.Duration
	}{
		{0.8, pingInterval},
		{0.11, yieldingPingInterval},
	} {
		h := New(Settings{Name: "b", ProcessorShare: c.share}, Dependencies{}, slog.New(slog.DiscardHandler))
		defer h.closeClients()
		h.term, h.termKnown = term{Host: "a", Process: "a/1", Address: l.Addr().String(), Share: 0.8, Revision: 1}, true
		is.Equal(h.checkLeader(context.Background(), &headObservation{}), c.pause)
	}
}

// Guards against a count of all jobs for each ping, and against a count that is kept for longer than the
// platform allows.
func TestPendingCountIsKeptBriefly(t *testing.T) {
	is := is.New(t)
	ld, _ := newTestLeadership(nil)
	ld.apply(orchestrator.Inherited{})
	ld.loaded = true
	is.Equal(ld.pending()["q"], 0)
	ld.pendingAt = timekeeper.Now().Add(time.Minute) // whatever the test takes, the count is young
	ld.apply(orchestrator.JobAccepted{Job: orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}, Policy: orchestrator.Policy{Queue: "q"}}})
	is.Equal(ld.pending()["q"], 0)
	ld.pendingAt = timekeeper.Now().Add(-pendingCacheTime)
	is.Equal(ld.pending()["q"], 1)
	is.True(maxPendingAge+pendingCacheTime < 2*time.Second)
}
