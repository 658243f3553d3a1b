package emulator

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/storer"
)

// Guards against an emulated store that does not enforce the platform's rate limits: a
// design that writes too often would pass its tests and fail in production.
func TestRatesAreEnforcedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(StoreOptions{})
		var limited *storer.RateLimitedError
		refused := 0
		for i := range 3 * DefaultWritesPerSecond { // 1,200 writes in 2 s
			if _, _, err := s.CompareAndSwap(t.Context(), fmt.Sprint(i), 0, nil); err != nil {
				is.True(errors.As(err, &limited))
				refused++
			}
			time.Sleep(2 * time.Second / (3 * DefaultWritesPerSecond))
		}
		c := s.Counts()
		is.Equal(c.CompareAndSwap, 3*DefaultWritesPerSecond)
		is.Equal(c.RefusedWrites, refused)
		most := 2*DefaultWritesPerSecond + int(DefaultWritesPerSecond*burstSeconds) + 1
		is.True(c.Swapped <= most)
		is.True(c.Swapped > most-5)
	})
}

// Guards against a watch that misses a change or does not return at its timeout.
func TestWatchReturnsChangesTimesOutAndCompacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(StoreOptions{MaxEvents: 2})
		go func() {
			time.Sleep(time.Second)
			s.Put("other", nil)
			s.Put("a/1", []byte("x"))
		}()
		start := time.Now()
		es, err := s.Watch(t.Context(), "a/", 0, time.Minute)
		is.NoErr(err)
		is.Equal(len(es.Events), 1)
		is.Equal(time.Since(start), time.Second)
		is.Equal(s.Counts().Watch, 1) // a waiting watch counts as one call
		es, err = s.Watch(t.Context(), "a/", es.StoreRevision, 5*time.Second)
		is.NoErr(err)
		is.Equal(len(es.Events), 0)
		is.Equal(time.Since(start), 6*time.Second)
		s.Put("a/2", nil)
		es, err = s.Watch(t.Context(), "a/", 0, time.Second)
		is.NoErr(err)
		is.True(es.Compacted) // the first of three events was dropped
	})
}

// Guards against a key that remains after its lease has ended, for example because the
// process that held the lease crashed.
func TestLeaseEndDeletesItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(StoreOptions{})
		l, err := s.GrantLease(2 * time.Second)
		is.NoErr(err)
		ok, r, err := s.compareAndSwap("k", 0, nil, l)
		is.NoErr(err)
		is.True(ok)
		time.Sleep(1500 * time.Millisecond)
		found, err := s.KeepLease(l)
		is.NoErr(err)
		is.True(found)
		start := time.Now()
		es, err := s.Watch(t.Context(), "k", r, time.Minute)
		is.NoErr(err)
		is.True(es.Events[0].Deleted)
		is.Equal(time.Since(start), 2*time.Second)
		found, err = s.KeepLease(l)
		is.NoErr(err)
		is.True(!found)
	})
}

// Guards against an emulated host list that shows changes earlier than the platform's,
// which lags.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(StoreOptions{HostListAge: 3 * time.Second})
		s.SetHosts([]storer.Host{{Name: "e1", State: storer.HostLeaving}})
		time.Sleep(2 * time.Second)
		l, err := s.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(len(l.Hosts), 0)
		is.Equal(l.Age, 3*time.Second)
		time.Sleep(time.Second)
		l, err = s.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(l.Hosts[0].State, storer.HostLeaving)
	})
}
