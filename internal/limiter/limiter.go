package limiter

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Settings configures a Limiter.
type Settings struct {
	Limits  configurator.LimitPolicy
	Retries configurator.RetryPolicy
	Teams   []configurator.Team
}

// Request is what the limiter needs to know about a request.
type Request struct {
	ID       string
	Service  string
	Tenant   string
	Urgent   bool
	Deadline time.Time
}

// Reason says why a request was dropped.
type Reason string

// Reasons.
const (
	ReasonQueueFull   Reason = "queue-full"   // the service's queue is full
	ReasonTenantQuota Reason = "tenant-quota" // the tenant's part of the queue is full
	ReasonDeadline    Reason = "deadline"     // the deadline cannot be met
)

// Action is what the caller must do with a request: Queue, Start or Drop.
type Action interface{ action() }

// Queue keeps the request waiting. Expire must be called at DropAt if it still waits.
type Queue struct {
	Request Request
	DropAt  time.Time
}

// Start sends the request now. Release must be called when it ended.
type Start struct {
	Request Request
	Waited  time.Duration
}

// Drop refuses the request with the final outcome not-run.
type Drop struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

func (Queue) action() {}
func (Start) action() {}
func (Drop) action()  {}

// Limiter holds the queues of all services.
type Limiter struct{ settings Settings }

// New returns a limiter with empty queues.
func New(s Settings) *Limiter { return &Limiter{settings: s} }

// Configure replaces the settings and keeps the queues.
func (l *Limiter) Configure(s Settings) { l.settings = s }

// Offer queues or drops a new request. It counts as fresh traffic for the retry budget.
func (l *Limiter) Offer(_ Request, _ time.Time) []Action { return nil }

// Next starts at most free requests of a service and drops those that are too late.
func (l *Limiter) Next(_ string, _ int, _ time.Time) []Action { return nil }

// Expire drops the queued requests of a service whose deadline cannot be met any more.
func (l *Limiter) Expire(_ string, _ time.Time) []Action { return nil }

// Cancel removes a queued request whose caller gave up. It reports whether it waited.
func (l *Limiter) Cancel(_ Request, _ time.Time) bool { return false }

// Release reports the end of a started request. Ran is false if it did not run.
func (l *Limiter) Release(_ Request, _ time.Duration, _ bool, _ time.Time) {}

// RetryAllowed reports whether the service's budget allows the given retry (1 is the
// first), and uses up the budget if it does.
func (l *Limiter) RetryAllowed(_ string, _ int, _ time.Time) bool { return false }

// Queued returns the number of waiting requests of a service.
func (l *Limiter) Queued(_ string) int { return 0 }
