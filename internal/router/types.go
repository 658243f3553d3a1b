package router

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Parts of the time for which slots may still be in use by another entry host or by an
// abandoned request.
const (
	// ConfigurationDelay bounds the time in which every entry host adopts an accepted
	// configuration.
	ConfigurationDelay = 7 * time.Second
	// GrantDuration is the time for which a grant of pool slots is valid.
	GrantDuration = 3 * time.Second
	// AbandonMargin is the time for which an abandoned request counts as running after
	// its deadline. It covers the one-way network delay to the backend server (1 ms), the
	// drift between two clocks over the longest request timeout (30 s) and the time the
	// server takes to stop the request. A longer margin costs goodput: with 500 ms, goodput
	// at twice the capacity falls to half in simulation.
	AbandonMargin = 100 * time.Millisecond
)

// Settings configures a Router.
type Settings struct {
	Policy            configurator.RoutingPolicy
	MaxRequestTimeout time.Duration
	// HoldUntil keeps the base share (the slots that the host may use without a grant) at
	// zero until this time. A host whose earlier process crashed with requests in flight
	// sets it to the start time plus MaxRequestTimeout, so that the requests of the two
	// processes together do not exceed the share.
	HoldUntil time.Time
}

// Membership is the configured number of entry hosts of the failure domain.
type Membership struct {
	Hosts int
	// Settled is true if Hosts has been the configured number at every entry host for at
	// least ShareDelay(MaxRequestTimeout), or if no other number was ever configured. If
	// Settled is false at the first Update, the router uses its base share only after that
	// delay.
	Settled bool
}

// Request holds the attributes of a request that the choice of an instance depends on.
type Request struct {
	ID       string
	Service  string
	Deadline time.Time
	Exclude  []string // instances that must not be chosen, because they were already tried
}

// Candidate is an instance that was considered for a request, with its cost. Lower is
// better.
type Candidate struct {
	Instance string
	Cost     float64
	Note     string // why the instance was not eligible; empty if it was eligible
}

// Choice is the result of Pick: ChosenInstance or NoInstance.
type Choice interface{ choice() }

// ChosenInstance is the result of Pick if an instance has a free slot. The slot is held until
// Done.
type ChosenInstance struct {
	Name        string
	Address     string // ip:port
	Connections int    // this host's share of the instance's connections
	Reason      string // the rule that made the choice
	Candidates  []Candidate
	Ticket      uint64 // identifies the held slot
}

// NoInstance says that no instance can take the request now.
type NoInstance struct {
	Reason     string
	FreeAt     time.Time // earliest expected time of a free slot; zero if unknown
	Candidates []Candidate
}

func (ChosenInstance) choice() {}
func (NoInstance) choice()     {}

// OutcomeKind is the way in which a request at an instance ended.
type OutcomeKind string

// Outcome kinds.
const (
	OutcomeAnswered  OutcomeKind = "answered"  // complete response; frees the slot
	OutcomeNotRun    OutcomeKind = "not-run"   // the request was not sent, or the instance rejected it; frees the slot
	OutcomeUnused    OutcomeKind = "unused"    // no attempt was made; frees the slot
	OutcomeAbandoned OutcomeKind = "abandoned" // may still run; the slot stays used until the deadline plus AbandonMargin
)

// Outcome describes the end of a request at an instance.
type Outcome struct {
	Kind      OutcomeKind
	Latency   time.Duration
	SlotsUsed int // number of used slots that the instance reported; negative if it reported none
}
