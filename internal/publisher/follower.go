package publisher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// Periods of the follower. The sum of one read's timeout, the longest pause and another
// read's timeout is at most 5 s, so that a configuration is in effect within 7 s on
// each host that reaches the store.
const (
	readPeriod  = 2 * time.Second        // between reads that do not depend on watches
	retryPause  = time.Second            // after a failed call
	retryJitter = time.Second            // added at random, so that hosts do not return together after an outage
	watchWait   = 20 * time.Second       // longest wait of a watch at the store
	watchSlack  = 2 * time.Second        // added for the answer's way
	watchPause  = 200 * time.Millisecond // after a watch that ended without an event
)

// startPatience is how long a host that starts without the store waits for peers that
// do not answer before it takes the highest generation among the answers it has.
const startPatience = 3 * time.Second

// fetchPause is how long a peer is not asked again after it sent a refused record.
const fetchPause = 5 * time.Second

// maxFetches bounds the concurrent fetches, which are up to 1 MB each.
const maxFetches = 4

// Fetcher fetches a peer's configuration. messenger.Peer implements it. A peer without
// a configuration answers with a zero Record.
type Fetcher interface {
	FetchConfiguration(ctx context.Context) (configurator.Record, error)
}

// Peer is another entry host.
type Peer struct {
	Name              string
	SameFailureDomain bool
	Fetcher           Fetcher
}

// FollowerOptions are the surroundings of a Follower.
type FollowerOptions struct {
	Store storer.Store
	Keys  configurator.Keys
	// Peers returns the known other entry hosts, from the settings file and the
	// configuration. It is called without locks held.
	Peers func() []Peer
	// Adopted is called with each adopted configuration, one call at a time, in
	// increasing order of generation. Current already returns the configuration.
	Adopted func(configurator.Record, *configurator.Configuration)
	Log     *slog.Logger
	Random  *rand.Rand // used by the follower alone
}

// Follower keeps this entry host's configuration up to date. It is safe for concurrent
// use.
type Follower struct {
	options FollowerOptions
	wake    chan struct{} // signals that wanted has grown

	order   sync.Mutex // serializes adoptions and the callback
	adopter *configurator.Adopter
	seen    []byte          // last value of the store
	logged  map[string]bool // refusals by source, so that each is logged once

	state  sync.Mutex
	record configurator.Record
	parsed *configurator.Configuration
	wanted map[string]uint64    // peer to the higher generation in its heartbeat
	paused map[string]time.Time // peer to when it may be asked again
	random *rand.Rand
}

// NewFollower returns a follower that has adopted nothing. Run starts it.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, wake: make(chan struct{}, 1), adopter: configurator.NewAdopter(o.Keys),
		logged: map[string]bool{}, wanted: map[string]uint64{}, paused: map[string]time.Time{}, random: o.Random}
}

// Run follows the configuration until ctx ends. It returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.read(ctx); return nil })
	g.Go(func() error { f.watch(ctx); return nil })
	g.Go(func() error { f.fetch(ctx); return nil })
	return g.Wait()
}

// Current returns the adopted record and configuration, nil before the first adoption.
// The caller must not change them.
func (f *Follower) Current() (configurator.Record, *configurator.Configuration) {
	f.state.Lock()
	defer f.state.Unlock()
	return f.record, f.parsed
}

// Seen tells the follower that a heartbeat from the named peer carries generation. It
// does not block.
func (f *Follower) Seen(peer string, generation uint64) {
	f.state.Lock()
	higher := generation > f.record.Generation
	if higher {
		f.wanted[peer] = generation
	}
	// Before the first adoption a single peer's generation may be an old one: the start
	// then compares the answers of several peers.
	starting := f.parsed == nil
	f.state.Unlock()
	if !higher || starting {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// read reads the store periodically, because a watch may miss events.
func (f *Follower) read(ctx context.Context) {
	started := time.Now()
	available := true
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		available = f.logAvailability(available, err)
		if _, c := f.Current(); c == nil && err != nil {
			f.askPeers(ctx, time.Since(started) >= startPatience)
		}
		pause := readPeriod
		if err != nil {
			pause = f.jittered(retryPause)
		}
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// logAvailability logs the begin and the end of a store outage and returns whether the
// store is available.
func (f *Follower) logAvailability(before bool, err error) bool {
	var corrupt *CorruptError
	var refused *configurator.RefusedError
	now := err == nil || errors.As(err, &corrupt) || errors.As(err, &refused)
	if before && !now {
		f.options.Log.Warn("store unavailable, configuration is followed through peers", "Error", err)
	} else if !before && now {
		f.options.Log.Info("store available")
	}
	return now
}

// readOnce returns an error if the store gave no usable record.
func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := f.options.Store.Get(ctx, CurrentKey)
	if err != nil {
		return err
	}
	return f.offerEntry(e)
}

func (f *Follower) jittered(d time.Duration) time.Duration {
	f.state.Lock()
	defer f.state.Unlock()
	return d + time.Duration(f.random.Int64N(int64(retryJitter)))
}

// watch learns of changes at once.
func (f *Follower) watch(ctx context.Context) {
	var after uint64
	listed := false
	for ctx.Err() == nil {
		revision, pause, err := f.watchOnce(ctx, after, listed)
		if err != nil {
			// The position stays: after an outage the events since then arrive first.
			pause = f.jittered(retryPause)
		} else {
			listed, after = revision != 0, max(after, revision)
		}
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// watchOnce lists if nothing is listed yet, else watches. It returns the revision to
// continue from, 0 to list again.
func (f *Follower) watchOnce(ctx context.Context, after uint64, listed bool) (uint64, time.Duration, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := f.options.Store.List(ctx, CurrentKey)
		f.offerEntries(entries)
		return revision, watchPause, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	events, err := f.options.Store.Watch(ctx, CurrentKey, after, watchWait)
	if err != nil || events.Compacted {
		return 0, watchPause, err
	}
	f.offerEntries(events.Events)
	if len(events.Events) == 0 {
		// Bounds the calls to a store that answers a watch at once.
		return max(after, events.StoreRevision), watchPause, nil
	}
	return max(after, events.StoreRevision), 0, nil
}

func (f *Follower) offerEntries(es []storer.Entry) {
	for _, e := range es {
		if e.Key == CurrentKey && !e.Deleted {
			_ = f.offerEntry(e) // logged there
		}
	}
}

// offerEntry adopts the store's value if it is a newer record. It returns an error if
// the value is refused other than for being known or older.
func (f *Follower) offerEntry(e storer.Entry) error {
	if e.Revision == 0 {
		return nil
	}
	f.order.Lock()
	defer f.order.Unlock()
	if bytes.Equal(f.seen, e.Value) && f.adopter.Generation() > 0 {
		return nil
	}
	r, err := decode(e)
	if err == nil {
		err = f.adopt(r, "store")
	}
	if err == nil || stale(err) {
		f.seen = e.Value
		if r.Generation < f.adopter.Generation() {
			f.logOnce("store holds an older configuration", "store", string(e.Value), r.Generation, err)
		}
		return nil
	}
	f.logOnce("configuration refused", "store", string(e.Value), r.Generation, err)
	return err
}

// adopt offers r and calls the callback. order is held.
func (f *Follower) adopt(r configurator.Record, source string) error {
	c, err := f.adopter.Offer(r)
	if err != nil {
		return err
	}
	f.adopted(r, c, source)
	return nil
}

func (f *Follower) adopted(r configurator.Record, c *configurator.Configuration, source string) {
	f.state.Lock()
	f.record, f.parsed = r, c
	f.state.Unlock()
	f.options.Log.Info("configuration adopted", "Generation", r.Generation, "Source", source,
		"AppliedBy", r.AppliedBy, "Key", r.Key)
	f.options.Adopted(r, c)
}

func stale(err error) bool {
	var refused *configurator.RefusedError
	return errors.As(err, &refused) && refused.Reason == configurator.RefusedStale
}

// maxLogged bounds the memory of refusals that were logged.
const maxLogged = 100

// logOnce logs a refusal once for each source and content. order is held.
func (f *Follower) logOnce(message, source, content string, generation uint64, err error) {
	id := fmt.Sprintf("%s %x", source, xxhash.Sum64String(content))
	if f.logged[id] {
		return
	}
	if len(f.logged) >= maxLogged {
		clear(f.logged)
	}
	f.logged[id] = true
	f.options.Log.Warn(message, "Source", source, "Generation", generation, "InEffect", f.adopter.Generation(), "Error", err)
}

// askPeers asks all peers of the failure domain, and those whose heartbeats carry a
// generation. It adopts the highest valid generation if all of the failure domain
// answered and no heartbeat carried a higher one, or when patience has ended.
func (f *Follower) askPeers(ctx context.Context, patienceEnded bool) {
	wanted := f.takeWanted()
	var peers []Peer
	var announced uint64
	for _, p := range f.options.Peers() {
		if g := wanted[p.Name]; p.SameFailureDomain || g > 0 {
			peers = append(peers, p)
			announced = max(announced, g)
		}
	}
	records, missing := f.fetchAll(ctx, peers)
	f.order.Lock()
	defer f.order.Unlock()
	if f.adopter.Generation() > 0 {
		return // the watch was faster
	}
	if !patienceEnded && (missing || highest(records) < announced) {
		return
	}
	c, err := f.adopter.OfferAll(records)
	if c == nil {
		if err != nil {
			f.logOnce("configuration refused", "peers at start", err.Error(), 0, err)
		}
		return
	}
	r, _ := f.adopter.Current()
	f.adopted(r, c, "peers at start")
}

func highest(rs []configurator.Record) uint64 {
	var g uint64
	for _, r := range rs {
		g = max(g, r.Generation)
	}
	return g
}

// fetchAll returns the records of the peers, and whether one of the failure domain did
// not answer.
func (f *Follower) fetchAll(ctx context.Context, peers []Peer) ([]configurator.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make([]configurator.Record, len(peers))
	answered := make([]bool, len(peers))
	var g errgroup.Group
	for i, p := range peers {
		g.Go(func() error {
			r, err := p.Fetcher.FetchConfiguration(ctx)
			answers[i], answered[i] = r, err == nil
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	var records []configurator.Record
	missing := false
	for i, p := range peers {
		if answered[i] && answers[i].Generation > 0 {
			records = append(records, answers[i])
		}
		missing = missing || p.SameFailureDomain && !answered[i]
	}
	return records, missing
}

// fetch fetches from peers whose heartbeat carries a higher generation.
func (f *Follower) fetch(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxFetches)
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait() // the functions return no error
			return
		case <-f.wake:
		}
		wanted := f.takeWanted()
		for _, p := range f.options.Peers() {
			if f.claim(p.Name, wanted[p.Name], time.Now()) {
				g.Go(func() error { f.fetchOnce(ctx, p); return nil })
			}
		}
	}
}

// takeWanted returns the generations by peer since the last call.
func (f *Follower) takeWanted() map[string]uint64 {
	f.state.Lock()
	defer f.state.Unlock()
	wanted := f.wanted
	f.wanted = map[string]uint64{}
	return wanted
}

// claim reports whether the peer has a higher generation and may be asked now, and
// keeps it from being asked again for one timeout.
func (f *Follower) claim(peer string, generation uint64, now time.Time) bool {
	f.state.Lock()
	defer f.state.Unlock()
	if generation <= f.record.Generation || now.Before(f.paused[peer]) {
		return false
	}
	f.paused[peer] = now.Add(callTimeout)
	return true
}

func (f *Follower) fetchOnce(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := p.Fetcher.FetchConfiguration(ctx)
	pause := time.Duration(0)
	if err == nil {
		f.order.Lock()
		if err = f.adopt(r, p.Name); err != nil && !stale(err) {
			f.logOnce("configuration refused", p.Name, r.Text, r.Generation, err)
			pause = fetchPause
		}
		f.order.Unlock()
	}
	f.state.Lock()
	f.paused[p.Name] = time.Now().Add(pause)
	f.state.Unlock()
}
