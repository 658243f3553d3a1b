package publisher

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// fakeStore is an in-memory store with faults that the tests turn on and off.
type fakeStore struct {
	storer.Store // nil: Hosts is never called

	mu       sync.Mutex
	revision uint64
	entries  map[string]storer.Entry
	changed  chan struct{} // closed and replaced at each change

	unavailable bool
	dropEvents  bool                        // watches end without events
	loseAnswer  func(key string) answerLoss // called for each compare-and-swap; empty: the answer arrives
	delay       func() time.Duration
	gets        int // number of calls of Get
}

// answerLoss says whether and when a compare-and-swap takes effect although its answer is
// lost.
type answerLoss string

const (
	lostAfterWrite      answerLoss = "after the write"
	lostWithoutWrite    answerLoss = "without the write"
	lostBeforeLateWrite answerLoss = "one second before the write"
)

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]storer.Entry{}, changed: make(chan struct{}),
		loseAnswer: func(string) answerLoss { return "" }, delay: func() time.Duration { return time.Millisecond }}
}

// beginCall waits for the delay and returns an error if the store is unavailable.
func (s *fakeStore) beginCall(ctx context.Context) error {
	s.mu.Lock()
	d := s.delay()
	s.mu.Unlock()
	if err := sleep(ctx, d); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return &storer.UnavailableError{Reason: "turned off by the test"}
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := s.beginCall(ctx); err != nil {
		return storer.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	e := s.entries[key]
	e.Key = key
	return e, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var es []storer.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			es = append(es, e)
		}
	}
	return es, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	if err := s.beginCall(ctx); err != nil {
		return false, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.loseAnswer(key) {
	case lostAfterWrite:
		s.swap(key, expect, value)
	case lostWithoutWrite:
	case lostBeforeLateWrite:
		time.AfterFunc(time.Second, func() { s.mu.Lock(); defer s.mu.Unlock(); s.swap(key, expect, value) })
	default:
		return s.swap(key, expect, value), s.entries[key].Revision, nil
	}
	return false, 0, &storer.UnknownOutcomeError{Key: key, Reason: "lost"}
}

func (s *fakeStore) swap(key string, expect uint64, value []byte) bool {
	if s.entries[key].Revision != expect {
		return false
	}
	s.revision++
	s.entries[key] = storer.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *fakeStore) Delete(ctx context.Context, key string, expect uint64) (bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return false, nil
	}
	delete(s.entries, key)
	return true, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	if err := s.beginCall(ctx); err != nil {
		return storer.Events{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		events := storer.Events{StoreRevision: s.revision}
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && e.Revision > after && !s.dropEvents {
				events.Events = append(events.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events.Events) > 0 {
			return events, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return events, nil
		}
	}
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

var (
	ana  = ed25519.NewKeyFromSeed([]byte(strings.Repeat("a", ed25519.SeedSize)))
	ben  = ed25519.NewKeyFromSeed([]byte(strings.Repeat("b", ed25519.SeedSize)))
	keys = configurator.Keys{"ana": ana.Public().(ed25519.PublicKey), "ben": ben.Public().(ed25519.PublicKey)}
)

// submission returns a signed submission with the given name as its firm and operator.
func submission(generation uint64, firm string) Submission {
	text := configurator.Print(&configurator.Configuration{Generation: generation, Replaces: generation - 1, Firm: firm,
		Measures: configurator.Measures{Latency: 1},
		Policy: configurator.Policy{Routing: configurator.RoutingAdaptive, Placement: configurator.PlacementInterference, Limits: configurator.LimitFair,
			Retries: configurator.RetryBudget, OwnershipTTL: 3 * time.Second, JobRecoveryDelay: time.Minute, MaxRequestTimeout: 30 * time.Second},
		FailureDomains: []configurator.FailureDomain{{Name: "Haskovo", Region: "Bulgaria"}},
		EntryHosts:     []configurator.EntryHost{{Name: "haskovo-1", FailureDomain: "Haskovo", Address: netip.MustParseAddrPort("10.0.0.1:7100")}}})
	return Submission{Text: string(text), Signature: configurator.Sign(text, ana), Key: "ana", Replaces: generation - 1, AppliedBy: firm}
}

// record returns the record of submission(generation, firm).
func record(generation uint64, firm string) configurator.Record {
	s := submission(generation, firm)
	return configurator.Record{Generation: generation, Text: s.Text, Signature: s.Signature, Key: s.Key, AppliedBy: firm}
}

// fakePeer fails the given number of calls and then answers with record.
type fakePeer struct {
	mu       sync.Mutex
	record   configurator.Record
	failures int
	delay    time.Duration
}

func (p *fakePeer) FetchConfiguration(ctx context.Context) (configurator.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := sleep(ctx, p.delay); err != nil || p.failures > 0 {
		p.failures--
		return configurator.Record{}, fmt.Errorf("peer failed: %v", err)
	}
	return p.record, nil
}

// host is a running follower that collects the adopted generations and the log.
type host struct {
	*Follower
	mu      sync.Mutex
	adopted []uint64
	log     strings.Builder
}

// Write stores a log line.
func (h *host) Write(line []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(line)
}

// logged returns how many log lines contain text.
func (h *host) logged(text string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Count(h.log.String(), text)
}

func startHost(ctx context.Context, t *testing.T, s storer.Store, seed uint64, peers ...Peer) *host {
	t.Helper()
	h := &host{}
	h.Follower = NewFollower(FollowerOptions{Store: s, Keys: keys, Peers: func() []Peer { return peers },
		OnAdopted: func(r configurator.Record, _ *configurator.Configuration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.adopted = append(h.adopted, r.Generation)
		},
		Log:    slog.New(slog.NewTextHandler(h, nil)),
		Random: rand.New(rand.NewPCG(seed, 1))})
	go func() { _ = h.Run(ctx) }()
	return h
}

func (h *host) generations() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.adopted...)
}
