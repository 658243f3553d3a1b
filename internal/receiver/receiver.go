package receiver

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// Class is the urgency of a request.
type Class string

// Classes.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
)

// Request is a checked request of a caller. It shares no memory with the HTTP server.
type Request struct {
	ID         string
	Service    string
	Method     string
	Path       string // below the service, with the query string
	Tenant     string
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

// NotRun says that the request did not run.
type NotRun struct {
	Reason     string
	Quota      bool          // refused because of the tenant's quota: status 429, else 503
	RetryAfter time.Duration // 0 if unknown
}

// Unknown says that the request may have run.
type Unknown struct {
	Reason string
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Handler gives each request its final outcome. It must return soon after ctx ends.
type Handler interface {
	Handle(ctx context.Context, q Request) Outcome
}

// Settings configures a Receiver.
type Settings struct {
	Handler           Handler
	Ready             func() []string // reasons why the host is not ready; empty if it is
	Registry          *prometheus.Registry
	Logger            *slog.Logger
	Identity          func() string // next request identity; unique over all hosts
	Services          func() []string
	Tenants           func() []string
	MaxRequestTimeout time.Duration
}

// Receiver serves callers.
type Receiver struct{ settings Settings }

// New returns a receiver.
func New(s Settings) (*Receiver, error) { return &Receiver{settings: s}, nil }

// Serve accepts connections until Shutdown.
func (r *Receiver) Serve(_ net.Listener) error { return nil }

// Shutdown stops accepting requests, makes /ready answer 503 and waits until all
// requests in flight have their final answer, or ctx ends.
func (r *Receiver) Shutdown(_ context.Context) error { return nil }
