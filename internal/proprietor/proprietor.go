package proprietor

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// Settings are the fixed parameters of a Proprietor.
type Settings struct {
	Host          string // name of this entry host
	FailureDomain string
	Incarnation   string // unique for each process
	Store         storer.Store
	Workers       commander.Workers
	Random        *rand.Rand
	Logger        *slog.Logger
	Record        func(scheduler.Record) // called for every decision; may be nil
}

// NotOwnerError says that this host does not own the shard. Owner is the host that is
// believed to own it, or empty.
type NotOwnerError struct {
	Shard string
	Owner string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("shard %s is owned by %q, not by this host", e.Shard, e.Owner)
}

// ShardStatus describes a shard as this host knows it.
type ShardStatus struct {
	Shard          string
	Owner          string
	Epoch          uint64
	Placing        time.Time // end of the placing tenure, if owned here
	Running        time.Time // end of the running tenure, if owned here
	Workers        int
	WorkersFenced  int
	Jobs           map[scheduler.JobState]int
	StoreAvailable bool
}

// API is what an entry host uses of a Proprietor.
type API interface {
	// Configure puts a configuration into effect.
	Configure(c *configurator.Configuration)
	// SetLeaving names all workers that are leaving.
	SetLeaving(workers []string)
	// Claims returns what the next heartbeat asks promises for.
	Claims() []messenger.ShardClaim
	// Answered takes the promises of an answer to a heartbeat sent at sentAt.
	Answered(sentAt time.Time, a messenger.HeartbeatAnswer)
	// Promise answers the claims of a heartbeat.
	Promise(h messenger.Heartbeat) []messenger.Promise
	// HomeShard returns the shard ("domain/shard") that lists the named job.
	HomeShard(job string) string
	// Owner returns the host that is believed to own the shard, or "".
	Owner(shard string) string
	// Submit, Cancel and Job act on jobs of the shards owned here. Errors are
	// *NotOwnerError and those of ctx.
	Submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error)
	Cancel(ctx context.Context, name string) (messenger.JobAnswer, error)
	// List returns the jobs of the shards owned here.
	List(m messenger.ListRequest) []scheduler.JobStatus
	// Endpoints returns the instances of the shards owned here.
	Endpoints() []messenger.Endpoint
	// Shards returns the state of all shards, sorted by name.
	Shards() []ShardStatus
	// Release gives up all owned shards in writing, so that successors need not wait.
	Release(ctx context.Context) error
}

// New starts a Proprietor that owns nothing before Configure. The returned function
// stops it and waits for its goroutines.
//
//	func New(s Settings) (*Proprietor, func(), error)
