package coordinator

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name           string
	FailureDomain  string
	CallerAddress  netip.AddrPort
	ReadyAddress   netip.AddrPort
	MessageAddress netip.AddrPort
	MetricsAddress netip.AddrPort
	StoreAddress   netip.AddrPort
	AdviceAddress  netip.AddrPort // invalid: no queue is advised

	MaxLease        time.Duration
	StatusRetention time.Duration
	FarFactor       float64

	Memory         int64 // bytes
	ProcessorShare float64
	DrainTimeout   time.Duration
}

// Configuration is what the operators have put in force.
type Configuration struct {
	Version uint64
	Queues  []Queue
	MaxBody int // bytes of a submitted job
}

// Queue takes jobs whose host is Host and whose path starts with Prefix.
type Queue struct {
	Host    string
	Prefix  string
	Timeout time.Duration
	MaxBody int // bytes; copied from the configuration
	Policy  orchestrator.Policy
}

// route returns the queue with the longest prefix, and the rest of the path.
func (c *Configuration) route(host, path string) (Queue, string, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	q := c.Queues[best]
	q.MaxBody = c.MaxBody
	return q, path[len(q.Prefix):], true
}

// Outcome is the kind of an Answer.
type Outcome string

// Outcomes of callers' requests.
const (
	OutcomeDone        Outcome = "done"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeUnknown     Outcome = "unknown"     // no such queue
	OutcomeGone        Outcome = "gone"        // no such job
	OutcomeUnavailable Outcome = "unavailable" // not done, and never will be
	OutcomeUndecided   Outcome = "undecided"   // it may have been done
)

// Answer is the outcome of a caller's request.
type Answer struct {
	Outcome    Outcome
	State      orchestrator.State
	Reason     string
	RetryAfter time.Duration // when a refused caller should come back
}

// Jobs is what the callers' transport needs. *Coordinator implements it.
type Jobs interface {
	// Ready reports whether the balancer should send callers to this host.
	Ready() bool
	// Leaving reports whether this host is shutting down.
	Leaving() bool
	// Configured reports whether a configuration is in force.
	Configured() bool
	// Route returns the queue of a request and the rest of its path.
	Route(host, path string) (Queue, string, bool)
	// Submit stores a job. Submitting it again changes nothing.
	Submit(ctx context.Context, j orchestrator.Job) Answer
	State(ctx context.Context, id string) Answer
	Cancel(ctx context.Context, id string) Answer
	// Pending returns the number of a queue's jobs of which no task has started, and
	// false if it is not known.
	Pending(queue string) (int, bool)
}

// Target is one worker's address.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Look is a request for a worker's lists.
type Look struct {
	Fence     uint64
	Deadline  time.Duration // new end of the leases on the worker's clock; 0: unchanged
	AckedUpto int
	Wait      time.Duration // for an end
}

// RefusedError says that a worker did not carry out an order.
type RefusedError struct {
	Fenced   bool // it knows a newer leader
	Replaced bool // another worker answers at the address
	Undone   bool // the worker is unhealthy and has done nothing; the order must be repeated
	Reason   string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("order refused: %s", e.Reason) }

// Workers gives orders to workers and asks the outside policy. Errors that are no
// *RefusedError leave open whether the order is carried out.
type Workers interface {
	Look(ctx context.Context, t Target, l Look) (orchestrator.LookAnswered, error)
	Start(ctx context.Context, t Target, fence uint64, s orchestrator.StartRun) orchestrator.StartOutcome
	Stop(ctx context.Context, t Target, fence uint64, s orchestrator.StopRun) error
	Pace(ctx context.Context, t Target, fence uint64, p orchestrator.PaceRun) error
	Advise(ctx context.Context, q orchestrator.AskAdvice) (orchestrator.Advised, error)
	// Forget closes the connections to a worker that has gone.
	Forget(address netip.AddrPort)
}

// Decoder reads what others write to the store.
type Decoder interface {
	Configuration(value []byte) (Configuration, error)
	Worker(key string, value []byte) (orchestrator.WorkerEntry, error)
}

// Keys are the keys of the store that others write.
type Keys struct {
	Configuration string
	Workers       string // prefix
}
