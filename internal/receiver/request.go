package receiver

import (
	"context"
	"time"
)

// Headers of the protocol with callers.
const (
	HeaderTenant     = "Peridot-Tenant"
	HeaderClass      = "Peridot-Class"
	HeaderTimeout    = "Peridot-Timeout"
	HeaderRepeatable = "Peridot-Repeatable"
	HeaderRequest    = "Peridot-Request"
	HeaderOutcome    = "Peridot-Outcome"
	HeaderReason     = "Peridot-Reason"
)

// Values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// Class is the urgency of a request.
type Class string

// Classes of requests.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
)

// Request is a valid request of a caller. It shares no memory with the HTTP server.
type Request struct {
	ID         string
	Service    string
	Method     string
	Path       string // part of the path after the service, with the query string; begins with a slash
	Tenant     string // empty if the caller sent none
	Class      Class
	Repeatable bool
	Deadline   time.Time
	Headers    []Header
	Body       []byte
}

// Outcome is the final outcome of a request: Answered, NotRun or Unknown.
type Outcome interface{ outcome() }

// Answered is the backend server's complete response.
type Answered struct {
	Status  int
	Headers []Header
	Body    []byte
}

// NotRun reports that the request did not run.
type NotRun struct {
	Reason        string
	QuotaExceeded bool          // refused because of the tenant's quota: status 429 instead of 503
	RetryAfter    time.Duration // 0 if unknown
}

// Unknown reports that the request may have run.
type Unknown struct {
	Reason string
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Handler determines the final outcome of each request. Handle must return soon after ctx
// ends, which is at the request's deadline.
type Handler interface {
	Handle(ctx context.Context, q Request) Outcome
}
