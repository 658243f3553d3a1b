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

// Intervals of the store calls. One read's timeout, the longest delay and another read's
// timeout add up to at most 5 s, so that a configuration takes effect within 7 s on each
// host that reaches the store.
const (
	pollInterval = 2 * time.Second // between periodic reads
	retryDelay   = time.Second     // after a failed call
	// maxRetryJitter is the upper bound of a random addition to retryDelay. It keeps the
	// hosts from reading at the same moment after an outage.
	maxRetryJitter = time.Second
	maxWatchWait   = 20 * time.Second // time after which the store ends a watch without events
	// watchAnswerMargin is added to maxWatchWait to get the timeout of the call, so that the
	// answer has time to arrive.
	watchAnswerMargin = 2 * time.Second
	watchDelay        = 200 * time.Millisecond // before the next call after a list or after a watch without events
)

// startPeerTimeout is how long a host that starts while the store is unavailable waits
// for peers that do not answer. After it, the host adopts the highest valid generation
// among the answers received.
const startPeerTimeout = 3 * time.Second

// refusedFetchDelay is the delay before the next fetch from a peer whose record was refused.
const refusedFetchDelay = 5 * time.Second

// maxConcurrentFetches limits memory use: a fetched record has up to 1 MB.
const maxConcurrentFetches = 4

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

// FollowerOptions holds the dependencies of a Follower.
type FollowerOptions struct {
	Store storer.Store
	Keys  configurator.Keys
	// Peers returns the other entry hosts that the settings file and the configuration
	// list. It is called without locks held.
	Peers func() []Peer
	// OnAdopted is called with each adopted configuration, one call at a time, in
	// increasing order of generation. Current already returns the configuration.
	OnAdopted func(configurator.Record, *configurator.Configuration)
	Log       *slog.Logger
	Random    *rand.Rand // must not be shared: it is not safe for concurrent use
}

// Follower keeps this entry host's configuration up to date. It is safe for concurrent
// use.
type Follower struct {
	options     FollowerOptions
	fetchSignal chan struct{} // signals a new entry in announced

	adoptionMu     sync.Mutex // serializes adoptions and the callback
	adopter        *configurator.Adopter
	lastStoreValue []byte          // last value of CurrentKey that was adopted or refused as stale
	loggedRefusals map[string]bool // source and hash of the content of each logged refusal

	stateMu     sync.Mutex
	record      configurator.Record
	parsed      *configurator.Configuration
	announced   map[string]uint64    // by peer, the generation in its heartbeat if higher than the adopted one
	nextFetchAt map[string]time.Time // by peer, the earliest time of the next fetch
	random      *rand.Rand
}

// NewFollower returns a follower that has adopted nothing. Run starts it.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, fetchSignal: make(chan struct{}, 1), adopter: configurator.NewAdopter(o.Keys),
		loggedRefusals: map[string]bool{}, announced: map[string]uint64{}, nextFetchAt: map[string]time.Time{}, random: o.Random}
}

// Run follows the configuration until ctx ends and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.pollStore(ctx); return nil })
	g.Go(func() error { f.watchStore(ctx); return nil })
	g.Go(func() error { f.fetchFromPeers(ctx); return nil })
	return g.Wait()
}

// Current returns the adopted record and configuration, nil before the first adoption.
// The caller must not change them.
func (f *Follower) Current() (configurator.Record, *configurator.Configuration) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	return f.record, f.parsed
}

// RecordGeneration records the generation in a heartbeat from the named peer, and starts a
// fetch if that generation is higher than the adopted one. It does not block.
func (f *Follower) RecordGeneration(peer string, generation uint64) {
	f.stateMu.Lock()
	higher := generation > f.record.Generation
	if higher {
		f.announced[peer] = generation
	}
	// Before the first adoption no fetch is started here: a single peer may offer an outdated
	// generation, and adoptFromPeers compares the answers of several peers.
	starting := f.parsed == nil
	f.stateMu.Unlock()
	if !higher || starting {
		return
	}
	select {
	case f.fetchSignal <- struct{}{}:
	default:
	}
}

// pollStore reads the store periodically, because a watch may miss events.
func (f *Follower) pollStore(ctx context.Context) {
	started := time.Now()
	available := true
	for ctx.Err() == nil {
		err := f.pollOnce(ctx)
		available = f.logAvailability(available, err)
		if _, c := f.Current(); c == nil && err != nil {
			f.adoptFromPeers(ctx, time.Since(started) >= startPeerTimeout)
		}
		pause := pollInterval
		if err != nil {
			pause = f.addJitter(retryDelay)
		}
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// logAvailability logs the start and the end of a store outage and returns whether the
// store is available.
func (f *Follower) logAvailability(wasAvailable bool, err error) bool {
	var corrupt *CorruptError
	var refused *configurator.RefusedError
	available := err == nil || errors.As(err, &corrupt) || errors.As(err, &refused)
	if wasAvailable && !available {
		f.options.Log.Warn("store unavailable, configuration is followed through peers", "Error", err)
	} else if !wasAvailable && available {
		f.options.Log.Info("store available")
	}
	return available
}

// pollOnce reads the store once. It returns an error if the call fails or the record is
// refused for another reason than staleness.
func (f *Follower) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := f.options.Store.Get(ctx, CurrentKey)
	if err != nil {
		return err
	}
	return f.adoptEntry(e)
}

func (f *Follower) addJitter(d time.Duration) time.Duration {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	return d + time.Duration(f.random.Int64N(int64(maxRetryJitter)))
}

// watchStore adopts changes as soon as the store reports them.
func (f *Follower) watchStore(ctx context.Context) {
	var after uint64
	listed := false
	for ctx.Err() == nil {
		revision, pause, err := f.watchOnce(ctx, after, listed)
		if err != nil {
			// after is unchanged, so the next watch returns the events since the failed one.
			pause = f.addJitter(retryDelay)
		} else {
			listed, after = revision != 0, max(after, revision)
		}
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// watchOnce watches for changes after the given revision, or lists the current value if
// listed is false. It returns the revision to continue from, or 0 if the next call must list
// again, and the delay before the next call.
func (f *Follower) watchOnce(ctx context.Context, after uint64, listed bool) (uint64, time.Duration, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := f.options.Store.List(ctx, CurrentKey)
		f.adoptEntries(entries)
		return revision, watchDelay, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+watchAnswerMargin)
	defer cancel()
	events, err := f.options.Store.Watch(ctx, CurrentKey, after, maxWatchWait)
	if err != nil || events.Compacted {
		return 0, watchDelay, err
	}
	f.adoptEntries(events.Events)
	if len(events.Events) == 0 {
		// The delay limits the rate of calls to a store that answers a watch at once.
		return max(after, events.StoreRevision), watchDelay, nil
	}
	return max(after, events.StoreRevision), 0, nil
}

func (f *Follower) adoptEntries(es []storer.Entry) {
	for _, e := range es {
		if e.Key == CurrentKey && !e.Deleted {
			_ = f.adoptEntry(e) // adoptEntry logs the error
		}
	}
}

// adoptEntry adopts the store's value if it is a newer record. It returns an error if
// the value is refused for another reason than that its generation is not higher.
func (f *Follower) adoptEntry(e storer.Entry) error {
	if e.Revision == 0 {
		return nil
	}
	f.adoptionMu.Lock()
	defer f.adoptionMu.Unlock()
	if bytes.Equal(f.lastStoreValue, e.Value) && f.adopter.Generation() > 0 {
		return nil
	}
	r, err := decodeRecord(e)
	if err == nil {
		err = f.adopt(r, "store")
	}
	if err == nil || isStale(err) {
		f.lastStoreValue = e.Value
		if r.Generation < f.adopter.Generation() {
			f.logOnce("store holds an older configuration", "store", string(e.Value), r.Generation, err)
		}
		return nil
	}
	f.logOnce("configuration refused", "store", string(e.Value), r.Generation, err)
	return err
}

// adopt offers r to the adopter and installs it if accepted. adoptionMu is held.
func (f *Follower) adopt(r configurator.Record, source string) error {
	c, err := f.adopter.Offer(r)
	if err != nil {
		return err
	}
	f.install(r, c, source)
	return nil
}

// install makes the adopted record current and calls the callback. adoptionMu is held.
func (f *Follower) install(r configurator.Record, c *configurator.Configuration, source string) {
	f.stateMu.Lock()
	f.record, f.parsed = r, c
	f.stateMu.Unlock()
	f.options.Log.Info("configuration adopted", "Generation", r.Generation, "Source", source,
		"AppliedBy", r.AppliedBy, "Key", r.Key)
	f.options.OnAdopted(r, c)
}

func isStale(err error) bool {
	var refused *configurator.RefusedError
	return errors.As(err, &refused) && refused.Reason == configurator.RefusedStale
}

// maxLoggedRefusals bounds the size of Follower.loggedRefusals.
const maxLoggedRefusals = 100

// logOnce logs a refusal once for each source and content. adoptionMu is held.
func (f *Follower) logOnce(message, source, content string, generation uint64, err error) {
	id := fmt.Sprintf("%s %x", source, xxhash.Sum64String(content))
	if f.loggedRefusals[id] {
		return
	}
	if len(f.loggedRefusals) >= maxLoggedRefusals {
		clear(f.loggedRefusals)
	}
	f.loggedRefusals[id] = true
	f.options.Log.Warn(message, "Source", source, "Generation", generation, "InEffect", f.adopter.Generation(), "Error", err)
}

// adoptFromPeers fetches from all peers of the failure domain and from those whose
// heartbeats announced a generation. It adopts the highest valid generation if all peers
// of the failure domain answered and none announced a higher one, or if timedOut is set.
func (f *Follower) adoptFromPeers(ctx context.Context, timedOut bool) {
	announced := f.takeAnnounced()
	var peers []Peer
	var highestAnnounced uint64
	for _, p := range f.options.Peers() {
		if g := announced[p.Name]; p.SameFailureDomain || g > 0 {
			peers = append(peers, p)
			highestAnnounced = max(highestAnnounced, g)
		}
	}
	records, incomplete := f.fetchAll(ctx, peers)
	f.adoptionMu.Lock()
	defer f.adoptionMu.Unlock()
	if f.adopter.Generation() > 0 {
		return // the watch has adopted a configuration in the meantime
	}
	if !timedOut && (incomplete || highestGeneration(records) < highestAnnounced) {
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
	f.install(r, c, "peers at start")
}

func highestGeneration(rs []configurator.Record) uint64 {
	var g uint64
	for _, r := range rs {
		g = max(g, r.Generation)
	}
	return g
}

// fetchAll returns the records of the peers that answered, and whether a peer of the
// failure domain did not answer.
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
	incomplete := false
	for i, p := range peers {
		if answered[i] && answers[i].Generation > 0 {
			records = append(records, answers[i])
		}
		incomplete = incomplete || p.SameFailureDomain && !answered[i]
	}
	return records, incomplete
}

// fetchFromPeers fetches from peers whose heartbeat announced a higher generation than
// the adopted one.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentFetches)
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait() // the functions return no error
			return
		case <-f.fetchSignal:
		}
		announced := f.takeAnnounced()
		for _, p := range f.options.Peers() {
			if f.reserveFetch(p.Name, announced[p.Name], time.Now()) {
				g.Go(func() error { f.fetchOnce(ctx, p); return nil })
			}
		}
	}
}

// takeAnnounced returns the generations announced since the last call, by peer.
func (f *Follower) takeAnnounced() map[string]uint64 {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	announced := f.announced
	f.announced = map[string]uint64{}
	return announced
}

// reserveFetch reports whether to fetch from the peer now: the peer's generation is higher than
// the adopted one, and the time of the next fetch from the peer has come. If so, it moves that
// time by callTimeout.
func (f *Follower) reserveFetch(peer string, generation uint64, now time.Time) bool {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if generation <= f.record.Generation || now.Before(f.nextFetchAt[peer]) {
		return false
	}
	f.nextFetchAt[peer] = now.Add(callTimeout)
	return true
}

// fetchOnce fetches from p and adopts the record if it is newer.
func (f *Follower) fetchOnce(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := p.Fetcher.FetchConfiguration(ctx)
	pause := time.Duration(0)
	if err == nil {
		f.adoptionMu.Lock()
		if err = f.adopt(r, p.Name); err != nil && !isStale(err) {
			f.logOnce("configuration refused", p.Name, r.Text, r.Generation, err)
			pause = refusedFetchDelay
		}
		f.adoptionMu.Unlock()
	}
	f.stateMu.Lock()
	f.nextFetchAt[p.Name] = time.Now().Add(pause)
	f.stateMu.Unlock()
}
