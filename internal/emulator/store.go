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
	DefaultWriteRate = 400  // per second
	DefaultReadRate  = 2000 // per second
	// burstShare is the part of one second's calls that may come at once.
	burstShare = 0.25
	// DefaultKeptEvents bounds the event log; older events are compacted.
	DefaultKeptEvents = 10000
	maxWatchWait      = time.Minute
	rateRetryAfter    = 100 * time.Millisecond
)

// StoreOptions configures a Store. Zero fields take the defaults.
type StoreOptions struct {
	WriteRate  float64       // writes per second
	ReadRate   float64       // reads per second
	KeptEvents int           // events kept for watches
	HostLag    time.Duration // age of the host list
}

// StoreCounts counts calls by kind since the start. Waiting is the number of watches
// waiting now; each watch is counted once in Watch.
type StoreCounts struct {
	Get, List, CompareAndSwap, Delete, Watch, Hosts int
	LeaseGrant, LeaseKeep                           int
	Swapped                                         int // writes that took effect
	RefusedWrites, RefusedReads                     int // over the rate
	Waiting, MostWaiting                            int
	BytesWritten, BytesRead                         int64 // values only
}

// Writes returns the number of calls that count against the write rate.
func (c StoreCounts) Writes() int {
	return c.CompareAndSwap + c.Delete + c.LeaseGrant + c.LeaseKeep
}

// Reads returns the number of calls that count against the read rate.
func (c StoreCounts) Reads() int { return c.Get + c.List + c.Watch + c.Hosts }

type value struct {
	data     []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type hostSnapshot struct {
	at    time.Time
	hosts []storer.Host
}

// Store is the platform's key-value store and host list, without a network. It
// implements storer.Store.
type Store struct {
	options StoreOptions

	mu        sync.Mutex // guards all fields below
	values    map[string]value
	leases    map[string]*lease
	nextLease uint64
	revision  uint64
	events    []storer.Entry
	compacted uint64 // revision of the newest dropped event
	changed   chan struct{}
	writes    *rate.Limiter
	reads     *rate.Limiter
	counts    StoreCounts
	hosts     []hostSnapshot
}

var _ storer.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(o StoreOptions) *Store {
	if o.WriteRate <= 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.ReadRate <= 0 {
		o.ReadRate = DefaultReadRate
	}
	if o.KeptEvents <= 0 {
		o.KeptEvents = DefaultKeptEvents
	}
	return &Store{
		options: o,
		values:  make(map[string]value),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(rate.Limit(o.WriteRate), max(1, int(o.WriteRate*burstShare))),
		reads:   rate.NewLimiter(rate.Limit(o.ReadRate), max(1, int(o.ReadRate*burstShare))),
		hosts:   []hostSnapshot{{at: time.Now()}},
	}
}

// Counts returns the counts so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts sets the actual hosts. The list shows them after HostLag.
func (s *Store) SetHosts(hosts []storer.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostSnapshot{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Put writes a value without counting it, for tests that prepare or corrupt a value.
func (s *Store) Put(key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, data, "")
}

// read counts a read and reports an error if it is over the rate.
func (s *Store) readLocked(count *int) error {
	s.expireLocked(time.Now())
	*count++
	if !s.reads.Allow() {
		s.counts.RefusedReads++
		return &storer.RateLimitedError{RetryAfter: rateRetryAfter}
	}
	return nil
}

func (s *Store) writeLocked(count *int) error {
	s.expireLocked(time.Now())
	*count++
	if !s.writes.Allow() {
		s.counts.RefusedWrites++
		return &storer.RateLimitedError{RetryAfter: rateRetryAfter}
	}
	return nil
}

// Get implements storer.Store.
func (s *Store) Get(_ context.Context, key string) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.readLocked(&s.counts.Get); err != nil {
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
	if err := s.readLocked(&s.counts.List); err != nil {
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
	if len(data) > storer.MaxValueSize {
		return false, 0, &storer.TooLargeError{Key: key, Size: len(data)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeLocked(&s.counts.CompareAndSwap); err != nil {
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
	if err := s.writeLocked(&s.counts.Delete); err != nil {
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
	err := s.readLocked(&s.counts.Watch)
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
		case <-time.After(s.untilLeaseEnd()):
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
	if after < s.compacted {
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
	if err := s.readLocked(&s.counts.Hosts); err != nil {
		return storer.HostList{}, err
	}
	seen := time.Now().Add(-s.options.HostLag)
	for len(s.hosts) > 1 && !s.hosts[1].at.After(seen) {
		s.hosts = s.hosts[1:]
	}
	return storer.HostList{Hosts: slices.Clone(s.hosts[0].hosts), Age: s.options.HostLag}, nil
}

// GrantLease creates a lease; values written with it are deleted when it ends.
func (s *Store) GrantLease(ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeLocked(&s.counts.LeaseGrant); err != nil {
		return "", err
	}
	s.nextLease++
	name := "lease-" + strconv.FormatUint(s.nextLease, 10)
	s.leases[name] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return name, nil
}

// KeepLease extends a lease by its TTL from now, and reports whether it exists.
func (s *Store) KeepLease(name string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeLocked(&s.counts.LeaseKeep); err != nil {
		return false, err
	}
	l := s.leases[name]
	if l == nil {
		return false, nil
	}
	l.ends = time.Now().Add(l.ttl)
	return true, nil
}

func (s *Store) putLocked(key string, data []byte, leaseName string) uint64 {
	s.revision++
	data = bytes.Clone(data)
	s.values[key] = value{data: data, revision: s.revision, lease: leaseName}
	s.eventLocked(storer.Entry{Key: key, Value: data, Revision: s.revision})
	return s.revision
}

func (s *Store) deleteLocked(key string) {
	s.revision++
	delete(s.values, key)
	s.eventLocked(storer.Entry{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) eventLocked(e storer.Entry) {
	s.events = append(s.events, e)
	if drop := len(s.events) - s.options.KeptEvents; drop > 0 {
		s.compacted = s.events[drop-1].Revision
		s.events = slices.Delete(s.events, 0, drop)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// untilLeaseEnd returns the time until the next lease ends, at least one millisecond.
func (s *Store) untilLeaseEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := maxWatchWait
	for _, l := range s.leases {
		d = min(d, time.Until(l.ends))
	}
	return max(d, time.Millisecond)
}

// expireLocked ends leases; it runs at each call and when a waiting watch reaches the
// end of a lease, so that no goroutine is needed.
func (s *Store) expireLocked(now time.Time) {
	for name, l := range s.leases {
		if now.Before(l.ends) {
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
