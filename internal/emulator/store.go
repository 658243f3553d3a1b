package emulator

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpitch/internal/storer"
)

// Defaults of StoreOptions.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// burstSeconds is the burst of the rate limits, in seconds of calls at the limit.
	burstSeconds = 0.25
	// DefaultMaxEvents is the size of the event log; older events are compacted.
	DefaultMaxEvents    = 10000
	maxWatchWait        = time.Minute
	rateLimitRetryAfter = 100 * time.Millisecond
)

// StoreOptions configures a Store. Zero fields take the defaults.
type StoreOptions struct {
	WritesPerSecond float64       // limit of the write rate
	ReadsPerSecond  float64       // limit of the read rate
	MaxEvents       int           // size of the event log that watches read
	HostListAge     time.Duration // age of the host list
}

// StoreCounts counts calls by kind since the start. Waiting is the number of watches that
// wait at present, and MostWaiting its maximum. Each watch is counted once in Watch.
type StoreCounts struct {
	Get, List, CompareAndSwap, Delete, Watch, Hosts int
	LeaseGrant, LeaseKeep                           int
	Swapped                                         int // writes that took effect
	RefusedWrites, RefusedReads                     int // calls over the rate limit
	Waiting, MostWaiting                            int
	BytesWritten, BytesRead                         int64 // values only
}

// Writes returns the number of calls that count towards the write rate.
func (c StoreCounts) Writes() int {
	return c.CompareAndSwap + c.Delete + c.LeaseGrant + c.LeaseKeep
}

// Reads returns the number of calls that count towards the read rate.
func (c StoreCounts) Reads() int { return c.Get + c.List + c.Watch + c.Hosts }

type value struct {
	data     []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// hostSnapshot is a list of hosts that SetHosts has set, and the time of that call.
type hostSnapshot struct {
	setAt time.Time
	hosts []storer.Host
}

// Store emulates the platform's key-value store and host list in memory, without a network.
// It implements storer.Store.
type Store struct {
	options StoreOptions

	mu                sync.Mutex // guards all fields below
	values            map[string]value
	leases            map[string]*lease
	nextLease         uint64
	revision          uint64
	events            []storer.Entry
	compactedRevision uint64        // revision of the newest event that left the event log
	changed           chan struct{} // closed and replaced at each change
	writes            *rate.Limiter
	reads             *rate.Limiter
	counts            StoreCounts
	hostSnapshots     []hostSnapshot
}

var _ storer.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(o StoreOptions) *Store {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.MaxEvents <= 0 {
		o.MaxEvents = DefaultMaxEvents
	}
	return &Store{
		options:       o,
		values:        make(map[string]value),
		leases:        make(map[string]*lease),
		changed:       make(chan struct{}),
		writes:        rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(1, int(o.WritesPerSecond*burstSeconds))),
		reads:         rate.NewLimiter(rate.Limit(o.ReadsPerSecond), max(1, int(o.ReadsPerSecond*burstSeconds))),
		hostSnapshots: []hostSnapshot{{setAt: time.Now()}},
	}
}

// Counts returns the counts so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts sets the actual hosts. Hosts returns them once HostListAge has passed.
func (s *Store) SetHosts(hosts []storer.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostSnapshots = append(s.hostSnapshots, hostSnapshot{setAt: time.Now(), hosts: slices.Clone(hosts)})
}

// Put writes a value without counting the call, for tests that prepare or corrupt a value.
func (s *Store) Put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, data, "")
}

// admitReadLocked counts a read and returns an error if it exceeds the read rate.
func (s *Store) admitReadLocked(count *int) error {
	s.expireLocked(time.Now())
	*count++
	if !s.reads.Allow() {
		s.counts.RefusedReads++
		return &storer.RateLimitedError{RetryAfter: rateLimitRetryAfter}
	}
	return nil
}

// admitWriteLocked counts a write and returns an error if it exceeds the write rate.
func (s *Store) admitWriteLocked(count *int) error {
	s.expireLocked(time.Now())
	*count++
	if !s.writes.Allow() {
		s.counts.RefusedWrites++
		return &storer.RateLimitedError{RetryAfter: rateLimitRetryAfter}
	}
	return nil
}

// Get implements storer.Store.
func (s *Store) Get(_ context.Context, key string) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitReadLocked(&s.counts.Get); err != nil {
		return storer.Entry{}, err
	}
	v := s.values[key]
	s.counts.BytesRead += int64(len(v.data))
	return storer.Entry{Key: key, Value: bytes.Clone(v.data), Revision: v.revision}, nil
}

// List implements storer.Store.
func (s *Store) List(_ context.Context, prefix string) ([]storer.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitReadLocked(&s.counts.List); err != nil {
		return nil, 0, err
	}
	es := []storer.Entry{}
	for k, v := range s.values {
		if strings.HasPrefix(k, prefix) {
			s.counts.BytesRead += int64(len(v.data))
			es = append(es, storer.Entry{Key: k, Value: bytes.Clone(v.data), Revision: v.revision})
		}
	}
	slices.SortFunc(es, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return es, s.revision, nil
}

// CompareAndSwap implements storer.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte) (bool, uint64, error) {
	return s.compareAndSwap(key, expect, data, "")
}

func (s *Store) compareAndSwap(key string, expect uint64, data []byte, leaseName string) (bool, uint64, error) {
	if len(data) > storer.MaxValueBytes {
		return false, 0, &storer.TooLargeError{Key: key, Size: len(data)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitWriteLocked(&s.counts.CompareAndSwap); err != nil {
		return false, 0, err
	}
	s.counts.BytesWritten += int64(len(data))
	if at := s.values[key].revision; at != expect {
		return false, at, nil
	}
	if leaseName != "" && s.leases[leaseName] == nil {
		return false, expect, nil
	}
	s.counts.Swapped++
	return true, s.putLocked(key, data, leaseName), nil
}

// Delete implements storer.Store.
func (s *Store) Delete(_ context.Context, key string, expect uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitWriteLocked(&s.counts.Delete); err != nil {
		return false, err
	}
	if at := s.values[key].revision; at != expect || expect == 0 {
		return false, nil
	}
	s.counts.Swapped++
	s.deleteLocked(key)
	return true, nil
}

// Watch implements storer.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (storer.Events, error) {
	s.mu.Lock()
	err := s.admitReadLocked(&s.counts.Watch)
	s.mu.Unlock()
	if err != nil {
		return storer.Events{}, err
	}
	t := time.NewTimer(min(timeout, maxWatchWait))
	defer t.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		es, changed := s.eventsAfter(prefix, after)
		if len(es.Events) > 0 || es.Compacted {
			return es, nil
		}
		select {
		case <-changed:
		case <-time.After(s.untilNextLeaseEnd()):
		case <-t.C:
			return es, nil
		case <-ctx.Done():
			return storer.Events{}, &storer.UnavailableError{Reason: ctx.Err().Error()}
		}
	}
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
	s.counts.MostWaiting = max(s.counts.MostWaiting, s.counts.Waiting)
}

func (s *Store) eventsAfter(prefix string, after uint64) (storer.Events, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	out := storer.Events{StoreRevision: s.revision}
	if after < s.compactedRevision {
		out.Compacted = true
		return out, s.changed
	}
	from, _ := slices.BinarySearchFunc(s.events, after+1, func(e storer.Entry, r uint64) int {
		return int(int64(e.Revision) - int64(r))
	})
	for _, e := range s.events[from:] {
		if strings.HasPrefix(e.Key, prefix) {
			s.counts.BytesRead += int64(len(e.Value))
			out.Events = append(out.Events, e)
		}
	}
	return out, s.changed
}

// Hosts implements storer.Store.
func (s *Store) Hosts(context.Context) (storer.HostList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitReadLocked(&s.counts.Hosts); err != nil {
		return storer.HostList{}, err
	}
	visibleUntil := time.Now().Add(-s.options.HostListAge)
	for len(s.hostSnapshots) > 1 && !s.hostSnapshots[1].setAt.After(visibleUntil) {
		s.hostSnapshots = s.hostSnapshots[1:]
	}
	return storer.HostList{Hosts: slices.Clone(s.hostSnapshots[0].hosts), Age: s.options.HostListAge}, nil
}

// GrantLease creates a lease. Keys written with the lease are deleted when it ends.
func (s *Store) GrantLease(ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitWriteLocked(&s.counts.LeaseGrant); err != nil {
		return "", err
	}
	s.nextLease++
	name := "lease-" + strconv.FormatUint(s.nextLease, 10)
	s.leases[name] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return name, nil
}

// KeepLease extends a lease to its TTL from now. It reports false if the lease has ended.
func (s *Store) KeepLease(name string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitWriteLocked(&s.counts.LeaseKeep); err != nil {
		return false, err
	}
	l := s.leases[name]
	if l == nil {
		return false, nil
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return true, nil
}

func (s *Store) putLocked(key string, data []byte, leaseName string) uint64 {
	s.revision++
	data = bytes.Clone(data)
	s.values[key] = value{data: data, revision: s.revision, lease: leaseName}
	s.appendEventLocked(storer.Entry{Key: key, Value: data, Revision: s.revision})
	return s.revision
}

func (s *Store) deleteLocked(key string) {
	s.revision++
	delete(s.values, key)
	s.appendEventLocked(storer.Entry{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) appendEventLocked(e storer.Entry) {
	s.events = append(s.events, e)
	if drop := len(s.events) - s.options.MaxEvents; drop > 0 {
		s.compactedRevision = s.events[drop-1].Revision
		s.events = slices.Delete(s.events, 0, drop)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// untilNextLeaseEnd returns the time until the next lease ends: at least one millisecond, at
// most maxWatchWait.
func (s *Store) untilNextLeaseEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := maxWatchWait
	for _, l := range s.leases {
		d = min(d, time.Until(l.expiresAt))
	}
	return max(d, time.Millisecond)
}

// expireLocked removes ended leases and their keys. Each call runs it, and each waiting watch
// when a lease ends, so no goroutine is needed for the expiry.
func (s *Store) expireLocked(now time.Time) {
	for name, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, name)
		for k, v := range s.values {
			if v.lease == name {
				s.deleteLocked(k)
			}
		}
	}
}
