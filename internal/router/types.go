package router

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Times that bound how long a slot may be in use without this host's knowledge.
const (
	// ConfigurationDelay is the time within which every entry host has adopted an
	// accepted configuration.
	ConfigurationDelay = 7 * time.Second
	// GrantDuration is how long a grant of pool slots lasts.
	GrantDuration = 3 * time.Second
	// AbandonMargin is how long after its deadline an abandoned request still counts
	// as running. It covers the one-way delay of the deadline to the backend server,
	// the server's reaction time and the drift between two clocks over 30 s.
	AbandonMargin = 500 * time.Millisecond
)

// Settings configures a Router.
type Settings struct {
	Policy            configurator.RoutingPolicy
	MaxRequestTimeout time.Duration
	// HoldUntil keeps the base share at zero until this time. A host that replaces a
	// process that died with requests in flight sets it to the start time plus
	// MaxRequestTimeout, if these requests must not be added to the new process's own.
	HoldUntil time.Time
}

// Membership is the configured number of entry hosts of the failure domain.
type Membership struct {
	Hosts int
	// Settled states that Hosts has been the configured number everywhere for at least
	// ShareDelay, or that no other number was ever configured. A router that starts
	// without it waits for ShareDelay before it uses its base share.
	Settled bool
}

// Request is what the router needs to know about a request.
type Request struct {
	ID       string
	Service  string
	Deadline time.Time
	Exclude  []string // instances that were already tried
}

// Candidate is an instance that was compared, with its cost. Lower is better.
type Candidate struct {
	Instance string
	Cost     float64
	Note     string // why it was passed over; empty if it was eligible
}

// Choice is the result of Pick: Instance or None.
type Choice interface{ choice() }

// Instance is a chosen instance. The slot is held until Done.
type Instance struct {
	Name        string
	Address     string // ip:port
	Connections int    // this host's share of the instance's connections
	Reason      string // the rule that made the choice
	Candidates  []Candidate
	Ticket      uint64 // identifies the held slot
}

// None says that no instance can take the request now.
type None struct {
	Reason     string
	FreeAt     time.Time // earliest expected time of a free slot; zero if unknown
	Candidates []Candidate
}

func (Instance) choice() {}
func (None) choice()     {}

// OutcomeKind says how a request at an instance ended.
type OutcomeKind string

// Outcome kinds.
const (
	OutcomeAnswered  OutcomeKind = "answered"  // complete response; the slot is free
	OutcomeNotRun    OutcomeKind = "not-run"   // nothing written, or rejected by the instance; the slot is free
	OutcomeUnused    OutcomeKind = "unused"    // no attempt was made; the slot is free
	OutcomeAbandoned OutcomeKind = "abandoned" // may still run; the slot stays used until the deadline plus AbandonMargin
)

// Outcome reports the end of a request to Done.
type Outcome struct {
	Kind      OutcomeKind
	Latency   time.Duration
	SlotsUsed int // the instance's own count of used slots; negative if it sent none
}
