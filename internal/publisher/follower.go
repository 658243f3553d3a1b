package publisher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// Fetcher fetches a peer's configuration. messenger.Peer implements it.
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
	// increasing order of generation.
	Adopted func(configurator.Record, *configurator.Configuration)
	Log     *slog.Logger
	Random  *rand.Rand
}

// Follower keeps this entry host's configuration up to date. It is safe for concurrent
// use.
type Follower struct {
	options FollowerOptions

	mu      sync.Mutex
	adopter *configurator.Adopter
}

// NewFollower returns a follower that has adopted nothing. Run starts it.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, adopter: configurator.NewAdopter(o.Keys)}
}

// Run follows the configuration until ctx ends. It returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Seen tells the follower that a heartbeat from the named peer carries generation. It
// does not block.
func (f *Follower) Seen(_ string, _ uint64) {}

// Current returns the adopted record and configuration, nil before the first adoption.
func (f *Follower) Current() (configurator.Record, *configurator.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.adopter.Current()
}
