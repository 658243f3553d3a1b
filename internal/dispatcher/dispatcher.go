package dispatcher

import (
	"context"
	"log/slog"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// Sender makes one attempt at a backend server. *forwarder.Forwarder implements it.
type Sender interface {
	Send(ctx context.Context, q forwarder.Request) forwarder.Result
}

// Overflow sends requests to entry hosts of other failure domains.
type Overflow interface {
	// Target names an entry host with free slots for the service; false if there is none.
	Target(service string) (host string, found bool)
	// Forward sends the request. Sent is false if no part of it left this host.
	Forward(ctx context.Context, host string, m messenger.ForwardRequest) (a messenger.ForwardAnswer, sent bool, err error)
}

// Decision is the record of one decision about a request.
type Decision struct {
	At         time.Time
	Kind       string // refuse, retry, route, forward
	Request    string
	Service    string
	Tenant     string
	Cause      string
	Rule       string
	Candidates []router.Candidate
	Result     string
}

// Recorder keeps decision records. It must not block.
type Recorder interface {
	Record(d Decision)
}

// Settings configures a Dispatcher.
type Settings struct {
	Router   *router.Router   // owned by the dispatcher from New on
	Limiter  *limiter.Limiter // owned by the dispatcher from New on
	Sender   Sender
	Overflow Overflow // nil: nothing is forwarded
	Recorder Recorder
	Logger   *slog.Logger
}

// Dispatcher implements receiver.Handler. It is safe for concurrent use.
type Dispatcher struct{ settings Settings }

var _ receiver.Handler = (*Dispatcher)(nil)

// New returns a dispatcher and a function that waits for its goroutines.
func New(s Settings) (*Dispatcher, func()) { return &Dispatcher{settings: s}, func() {} }

// Handle gives a caller's request its final outcome.
func (d *Dispatcher) Handle(_ context.Context, _ receiver.Request) receiver.Outcome {
	return receiver.NotRun{}
}

// Forwarded serves a request that came from an entry host of another failure domain. It
// is never forwarded again.
func (d *Dispatcher) Forwarded(_ context.Context, _ messenger.ForwardRequest) messenger.ForwardAnswer {
	return messenger.ForwardAnswer{}
}

// Configure takes a new generation's policies and teams.
func (d *Dispatcher) Configure(_ *configurator.Configuration) {}

// Update replaces the instances of the failure domain and the number of entry hosts.
func (d *Dispatcher) Update(_ []messenger.Endpoint, _ router.Membership) {}

// Demand returns the slot demand for the heartbeat to peer to.
func (d *Dispatcher) Demand(_ string) []messenger.SlotDemand { return nil }

// Granted takes the grants in the answer of peer from to the heartbeat whose demand was
// taken at sentAt.
func (d *Dispatcher) Granted(_ string, _ []messenger.SlotGrant, _ time.Time) {}

// Free returns the number of free slots by service, for heartbeats to other failure domains.
func (d *Dispatcher) Free() map[string]int { return nil }
