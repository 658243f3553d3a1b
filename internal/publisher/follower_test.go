package publisher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
)

// inEffectBound is the time within which a configuration takes effect on reachable hosts.
const inEffectBound = 7 * time.Second

// simulate runs f in virtual time, then cancels its context and waits for the goroutines
// that use it.
func simulate(t *testing.T, f func(ctx context.Context, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, is.New(t))
		cancel()
		synctest.Wait()
	})
}

// Guards against a configuration that takes effect too late on some hosts: with a working
// watch, with a watch that misses events, with a slow store, and right after an outage.
func TestInEffectWithinBound(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(*fakeStore)
		bound time.Duration
	}{
		{"watch", func(*fakeStore) {}, time.Second},
		{"watch misses events", func(s *fakeStore) { s.dropEvents = true }, inEffectBound},
		{"slow store", func(s *fakeStore) {
			s.dropEvents = true
			s.delay = func() time.Duration { return 1400 * time.Millisecond }
		}, inEffectBound},
		{"outage ended", func(s *fakeStore) { s.unavailable = true }, inEffectBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, is *is.I) {
				s := newFakeStore()
				publisher := NewPublisher(s, keys, "writer", time.Now)
				_, err := publisher.Apply(ctx, submission(1, "first"))
				is.NoErr(err)
				var hosts []*host
				for i := range 8 {
					hosts = append(hosts, startHost(ctx, t, s, uint64(i)))
				}
				time.Sleep(10 * time.Second)
				s.set(c.set)
				time.Sleep(time.Minute + 100*time.Millisecond) // just after the periodic reads
				s.set(func(s *fakeStore) { s.unavailable = false })
				_, err = publisher.Apply(ctx, submission(2, "second"))
				is.NoErr(err)
				time.Sleep(c.bound)
				for _, h := range hosts {
					is.Equal(h.generations(), []uint64{1, 2}) // in effect once, in order
				}
			})
		})
	}
}

// Guards against hosts that all read the store at the same moment after an outage, and
// against an outage that is not logged or is logged at each read.
func TestReadsAreJitteredAfterOutage(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		s.set(func(s *fakeStore) { s.unavailable = true })
		var h *host
		for i := range 8 {
			h = startHost(ctx, t, s, uint64(i))
		}
		time.Sleep(time.Minute)
		s.set(func(s *fakeStore) { s.unavailable = false; s.gets = 0 })
		maxGets := 0
		for range 20 {
			s.set(func(s *fakeStore) { s.gets = 0 })
			time.Sleep(100 * time.Millisecond)
			s.set(func(s *fakeStore) { maxGets = max(maxGets, s.gets) })
		}
		is.True(maxGets <= 4) // reads of 8 hosts in any 100 ms
		is.Equal(h.logged("store unavailable"), 1)
		is.Equal(h.logged("store available"), 1)
	})
}

// Guards against a host that keeps an old configuration during a store outage although a
// peer has a newer one.
func TestFetchFromPeerByHeartbeat(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		slow, good := &fakePeer{record: record(2, "second"), delay: time.Hour}, &fakePeer{record: record(2, "second")}
		h := startHost(ctx, t, s, 1, Peer{Name: "slow", Fetcher: slow}, Peer{Name: "good", Fetcher: good})
		time.Sleep(time.Second)
		s.set(func(s *fakeStore) { s.unavailable = true })
		h.RecordGeneration("slow", 2)
		h.RecordGeneration("unlisted", 2) // not among the peers
		h.RecordGeneration("good", 2)
		time.Sleep(inEffectBound)
		is.Equal(h.generations(), []uint64{1, 2})
	})
}

// Guards against a return to an older configuration when a peer that was partitioned, or
// a store that was restored from a backup, offers a lower generation.
func TestNeverReverts(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		publisher := NewPublisher(s, keys, "writer", time.Now)
		_, err := publisher.Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		old, err := s.Get(ctx, CurrentKey)
		is.NoErr(err)
		_, err = publisher.Apply(ctx, submission(2, "second"))
		is.NoErr(err)
		peer := &fakePeer{record: record(1, "first")}
		h := startHost(ctx, t, s, 1, Peer{Name: "peer", SameFailureDomain: true, Fetcher: peer})
		time.Sleep(time.Second)
		h.RecordGeneration("peer", 9) // higher than the generation that the peer answers with
		e, err := s.Get(ctx, CurrentKey)
		is.NoErr(err)
		_, _, err = s.CompareAndSwap(ctx, CurrentKey, e.Revision, old.Value)
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(h.generations(), []uint64{2})
	})
}

// Guards against a host that restarts during a store outage and adopts the first answer
// although it comes from a peer that was partitioned and holds an old configuration.
func TestStartWithoutStoreTakesHighest(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh *fakePeer
		want  []uint64
		after time.Duration
	}{
		{"all answer", &fakePeer{record: record(7, "fresh"), delay: time.Second}, []uint64{7}, 3 * time.Second},
		{"one fails at first", &fakePeer{record: record(7, "fresh"), failures: 1}, []uint64{7}, 6 * time.Second},
		{"another failure domain has a higher generation", &fakePeer{failures: 1000}, []uint64{8}, 10 * time.Second},
		{"one never answers", &fakePeer{failures: 1000}, []uint64{5}, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, is *is.I) {
				s := newFakeStore()
				s.unavailable = true
				stale, forged := &fakePeer{record: record(5, "stale")}, &fakePeer{record: record(9, "forged")}
				forged.record.Signature = configurator.Sign([]byte("other"), ana)
				h := startHost(ctx, t, s, 1, Peer{"stale", true, stale}, Peer{"forged", true, forged}, Peer{"fresh", true, c.fresh},
					Peer{"elsewhere", false, &fakePeer{record: record(8, "elsewhere")}})
				for range 20 {
					h.RecordGeneration("stale", 5)
					if c.want[0] == 8 {
						h.RecordGeneration("elsewhere", 8)
					}
					time.Sleep(c.after / 20)
				}
				is.Equal(h.generations(), c.want)
			})
		})
	}
}

// Guards against a corrupt or unverifiable value that is adopted, overwritten, or logged
// at every read. The last valid configuration must stay in effect.
func TestCorruptStoreValue(t *testing.T) {
	for _, v := range []string{"not JSON", `{"Generation":2,"Text":"[X]","Signature":"YWJj","Key":"ana"}`} {
		simulate(t, func(ctx context.Context, is *is.I) {
			s := newFakeStore()
			publisher := NewPublisher(s, keys, "writer", time.Now)
			_, err := publisher.Apply(ctx, submission(1, "first"))
			is.NoErr(err)
			h := startHost(ctx, t, s, 1)
			time.Sleep(time.Second)
			e, err := s.Get(ctx, CurrentKey)
			is.NoErr(err)
			_, _, err = s.CompareAndSwap(ctx, CurrentKey, e.Revision, []byte(v))
			is.NoErr(err)
			_, err = publisher.Apply(ctx, submission(2, "second"))
			is.True(err != nil) // the corrupt value is not overwritten
			time.Sleep(time.Minute)
			e, err = s.Get(ctx, CurrentKey)
			is.NoErr(err)
			is.Equal(string(e.Value), v)
			is.Equal(h.generations(), []uint64{1})
			is.Equal(h.logged("configuration refused"), 1)
		})
	}
}
