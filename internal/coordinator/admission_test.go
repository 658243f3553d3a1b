package coordinator

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// jobStore serves entries, counts transactions and fails calls with the given errors.
type jobStore struct {
	entryStore
	commits            int
	commitErr, readErr error
}

func (s *jobStore) Commit(context.Context, storer.Transaction) (uint64, error) {
	s.commits++
	return 9, s.commitErr
}

func (s *jobStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if s.readErr != nil {
		return storer.Entry{}, s.readErr
	}
	return s.entryStore.Get(ctx, key)
}

// overload is the outlook of a service whose waiting work takes 1,000 s.
func overload(t *testing.T) []byte {
	t.Helper()
	e := admitter.Entry{Class: admitter.Class{Service: "s"}, Cores: 100, Work: 1e5, Rate: 100, Ratio: 1}
	b, err := admitter.Outlook{Entries: []admitter.Entry{e}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func admissionJob() orchestrator.Job {
	return orchestrator.Job{ID: "j1", Policy: orchestrator.Policy{Queue: "q", Service: "s", Stretch: 2},
		Steps: []orchestrator.Step{{Count: 4, Size: orchestrator.Resources{CPU: 1000}, Estimate: time.Second}}}
}

// Load: a host whose leader has 1,000 s of waiting work. Guards against a refusal without a fresh outlook of the present
// leader, against a refusal that calls a job not accepted that may have been accepted before, and against a refused
// job that is stored.
func TestAdmissionDecisions(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(c *Coordinator, s *jobStore)
		want  Outcome
	}{
		{"overload", func(*Coordinator, *jobStore) {}, OutcomeOverloaded},
		{"admission off", func(c *Coordinator, _ *jobStore) { c.settings.Admission = false }, OutcomeDone},
		{"new leader without outlook", func(c *Coordinator, _ *jobStore) {
			c.receiveOutlook(pingAnswer{Leading: true}, timekeeper.Now())
		}, OutcomeDone},
		{"leader without outlook", func(c *Coordinator, _ *jobStore) { c.leadership = &leadership{c: c} }, OutcomeDone},
		{"outlook of another version", func(c *Coordinator, _ *jobStore) {
			c.receiveOutlook(pingAnswer{Leading: true, Outlook: []byte{0xc1, 7}}, timekeeper.Now())
		}, OutcomeDone},
		{"host that does not lead", func(c *Coordinator, _ *jobStore) { c.receiveOutlook(pingAnswer{}, timekeeper.Now()) }, OutcomeOverloaded},
		{"job accepted before", func(_ *Coordinator, s *jobStore) { s.entries = map[string][]byte{prefixJob + "j1": nil} }, OutcomeDone},
		{"job that has ended", func(_ *Coordinator, s *jobStore) { s.entries = map[string][]byte{prefixRecord + "j1": nil} }, OutcomeDone},
		{"store does not say whether it has the job", func(_ *Coordinator, s *jobStore) { s.readErr = &storer.UnavailableError{} }, OutcomeDone},
		{"earlier transaction undecided", func(c *Coordinator, s *jobStore) {
			s.commitErr = &storer.UnknownOutcomeError{}
			c.receiveOutlook(pingAnswer{Leading: true}, timekeeper.Now())
			c.Submit(context.Background(), admissionJob())
			c.receiveOutlook(pingAnswer{Leading: true, Outlook: overload(t)}, timekeeper.Now())
			s.commitErr = nil
			c.recordStoreResult(nil)
		}, OutcomeDone},
		{"earlier transaction undecided, a later one not executed", func(c *Coordinator, s *jobStore) {
			c.receiveOutlook(pingAnswer{Leading: true}, timekeeper.Now())
			for _, s.commitErr = range []error{&storer.UnknownOutcomeError{}, &storer.RateLimitedError{}} {
				c.Submit(context.Background(), admissionJob())
			}
			c.receiveOutlook(pingAnswer{Leading: true, Outlook: overload(t)}, timekeeper.Now())
			s.commitErr = nil
			c.recordStoreResult(nil)
		}, OutcomeDone},
		{"forwarded transaction undecided", func(c *Coordinator, s *jobStore) {
			c.settings.Forwarding, c.leadership = true, &leadership{c: c}
			c.leadership.pendingJobs, c.leadership.loaded, c.leadership.pendingAt = map[string]int{}, true, timekeeper.Now()
			c.leadership.lastConfirmedSent.Store(timekeeper.Now().UnixNano())
			s.commitErr = &storer.UnknownOutcomeError{}
			_, err := c.serveSubmit(context.Background(), submitRequest{Host: "a", Job: admissionJob(), Timeout: time.Second})
			if err != nil || s.commits != 1 {
				t.Errorf("%d transactions were sent, error %v", s.commits, err)
			}
			c.leadership, s.commitErr = nil, nil
			c.recordStoreResult(nil)
		}, OutcomeDone},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &jobStore{}
			h := New(Settings{Name: "b", Admission: true}, Dependencies{Store: s}, slog.New(slog.DiscardHandler))
			h.recordStoreResult(nil)
			h.term, h.termKnown = term{Revision: 7}, true
			h.receiveOutlook(pingAnswer{Leading: true, Outlook: overload(t)}, timekeeper.Now())
			c.setUp(h, s)
			s.commits = 0
			a := h.Submit(context.Background(), admissionJob())
			is.Equal(a.Outcome, c.want)
			is.Equal(s.commits, map[bool]int{true: 0, false: 1}[a.Outcome == OutcomeOverloaded])
			if a.Outcome == OutcomeOverloaded {
				is.Equal(a.RetryAfter, 30*time.Second)
			}
		})
	}
}

// Load: lost pings. Guards against decisions by an outlook that is older than 2 s.
func TestOutlookAges(t *testing.T) {
	is := is.New(t)
	h := New(Settings{Name: "b", Admission: true}, Dependencies{Store: &jobStore{}}, slog.New(slog.DiscardHandler))
	h.recordStoreResult(nil)
	h.term, h.termKnown = term{Revision: 7}, true
	h.receiveOutlook(pingAnswer{Leading: true, Outlook: overload(t)}, timekeeper.Now().Add(-admitter.MaxAge))
	is.Equal(h.Submit(context.Background(), admissionJob()).Outcome, OutcomeDone)
}

// Guards against a leader that sends an outlook although admission is off, or before it has measured, and against an
// answer that hosts of an older version can't read.
func TestOutlookInPings(t *testing.T) {
	is := is.New(t)
	ld, _ := newTestLeadership(nil)
	ld.apply(orchestrator.Inherited{})
	ld.loaded = true
	ping := func() pingAnswer {
		a, err := ld.c.servePing(context.Background(), pingRequest{})
		is.NoErr(err)
		return a
	}
	is.Equal(len(ping().Outlook), 0)
	off, err := msgpack.Marshal(ping())
	is.NoErr(err)
	is.True(!bytes.Contains(off, []byte("Outlook")))

	ld.c.settings.Admission = true
	is.Equal(len(ping().Outlook), 0)

	ld, _ = newTestLeadership(nil) // one that has measured for 2 s
	ld.c.settings.Admission, ld.loaded = true, true
	ld.apply(orchestrator.Inherited{})
	ld.apply(orchestrator.JobAccepted{Job: admissionJob()})
	ld.orch.Outlook(timekeeper.Now().Add(-2 * time.Second))
	a := ping()
	o, err := admitter.Decode(a.Outlook)
	is.NoErr(err)
	is.Equal(len(o.Entries), 1)
	b, err := msgpack.Marshal(a)
	is.NoErr(err)
	var older struct{ Leading bool }
	is.NoErr(msgpack.Unmarshal(b, &older))
	is.True(older.Leading)
	is.True(len(b) < 500)
	ld.c.settings.Admission = false
	is.Equal(len(ping().Outlook), 0)
}
