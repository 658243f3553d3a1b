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
	AdviceAddress  netip.AddrPort // invalid if there is no policy service

	MaxLease        time.Duration
	StatusRetention time.Duration
	FarFactor       float64

	// EvacuationDeadline is the time after an operator's request within which the last task starts in an
	// evacuated failure domain; 0: the requests are not read.
	EvacuationDeadline time.Duration

	// ConfigurationDeadline is the time after the confirmation of a configuration from which no request is handled by
	// an older one; 0: requests are handled by the configuration in effect however old it is.
	ConfigurationDeadline time.Duration

	Memory         int64 // bytes
	ProcessorShare float64
	DrainTimeout   time.Duration

	Admission bool // jobs that are not expected to end in time are refused

	DisabledMechanisms orchestrator.MechanismSet

	// Forwarding makes a host that the store does not serve forward submissions to the leader.
	Forwarding bool
	// StoreWriteRate is the number of writes per second that the store accepts from all hosts; 0: refused callers
	// are asked to retry after a fixed time.
	StoreWriteRate float64
}

// returnShare is the part of the store's writes that refused callers may use when they return. The rest is for
// the leader and for other submissions.
const returnShare = 0.25

// ReturnRate returns the rate, in submissions per second, at which refused callers of all hosts are asked to return
// after an outage; 0: each is asked to return after a fixed time.
func (s Settings) ReturnRate() float64 { return returnShare * s.StoreWriteRate }

// Configuration is the version of the operators' configuration that is in effect.
type Configuration struct {
	Version uint64
	Queues  []Queue
	MaxBody int // largest accepted job, in bytes
}

// Queue accepts submissions whose request host is Host and whose path starts with Prefix.
type Queue struct {
	Host    string
	Prefix  string
	Timeout time.Duration
	MaxBody int // bytes; copied from Configuration by route
	Policy  orchestrator.Policy
}

// route returns the matching queue with the longest prefix, and false if no queue matches.
func (c *Configuration) route(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	q := c.Queues[best]
	q.MaxBody = c.MaxBody
	return q, true
}

// Outcome classifies an Answer.
type Outcome string

// Outcomes of callers' requests.
const (
	OutcomeDone        Outcome = "done"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeNoSuchQueue Outcome = "unknown"     // no such queue
	OutcomeNoSuchJob   Outcome = "gone"        // no such job
	OutcomeUnavailable Outcome = "unavailable" // the request was not executed and will not be
	OutcomeOverloaded  Outcome = "overloaded"  // the job is not expected to end in time; it was not accepted and will not run
	OutcomeUndecided   Outcome = "undecided"   // the request may have been executed
)

// Answer is the outcome of a caller's request.
type Answer struct {
	Outcome    Outcome
	State      orchestrator.State
	Reason     string
	RetryAfter time.Duration // how long a refused caller should wait before it retries; 0: not specified
}

// JobService handles callers' requests about jobs. *Coordinator implements it, and the HTTP
// server for callers uses it.
type JobService interface {
	// Ready reports whether the load balancer should send requests to this host.
	Ready() bool
	// Leaving reports whether this host is shutting down.
	Leaving() bool
	// Configured reports whether a configuration is in effect, and was after the last pause of this process.
	Configured() bool
	// NotConfigured returns the answer to requests that arrive while Configured reports false.
	NotConfigured() Answer
	// Route returns the queue of a request and the rest of its path, or the answer to the request if there is no such
	// queue or this can't be told. It must not be called before Configured reports true.
	Route(ctx context.Context, r RouteRequest) (Queue, string, *Answer)
	// Submit stores a job. A repeated submission of a job has no further effect.
	Submit(ctx context.Context, j orchestrator.Job) Answer
	State(ctx context.Context, id string) Answer
	Cancel(ctx context.Context, id string) Answer
	// Pending returns the number of accepted jobs of a queue that have not started any
	// task, and false if the leader's count is unknown or too old.
	Pending(queue string) (int, bool)
	// CountPanic counts a panic in the handler of a request.
	CountPanic()
}

// Target identifies a worker, its address and one of its processes.
type Target struct {
	ID          string
	Address     netip.AddrPort
	Incarnation int64 // the process that a command, or the lease and the acknowledgement of a poll, is meant for; 0: any
}

// StartAnswer is a worker's answer to a start.
type StartAnswer struct {
	Outcome orchestrator.StartOutcome
	Clock   time.Duration // the worker's clock; 0: not in the answer
}

// PollRequest is a poll: a request for a worker's running and ended runs.
type PollRequest struct {
	Fence        uint64        // the leader's epoch, or the revision of a later write of it
	LeaseEnd     time.Duration // new end of the run leases on the worker's clock; 0: unchanged
	AckedThrough int           // ended runs up to this number are stored and need not be reported again
	Wait         time.Duration // how long the worker may hold the poll until a run ends, at most maxPollHold
	Patience     time.Duration // the least time, without the margin of an answer, after which the poll counts as failed; Wait if it is shorter
	Lag          time.Duration // how late this host is in general: its answers may be read that much later
}

// RefusedError reports that a worker refused a command or a poll.
type RefusedError struct {
	Fenced      bool // the worker has accepted a later epoch
	Replaced    bool // another worker instance answers at the address
	NotExecuted bool // the worker is unhealthy or busy and did nothing, or it has failed and may have done nothing; the command must be repeated
	Reason      string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the command: %s", e.Reason) }

// WorkerClient sends commands and polls to workers, and queries the external policy service.
// After an error that is not a *RefusedError, the command may or may not have been executed.
type WorkerClient interface {
	Poll(ctx context.Context, t Target, l PollRequest) (orchestrator.PollAnswered, error)
	Start(ctx context.Context, t Target, fence uint64, s orchestrator.StartRun) StartAnswer
	Stop(ctx context.Context, t Target, fence uint64, s orchestrator.StopRun) error
	Throttle(ctx context.Context, t Target, fence uint64, p orchestrator.ThrottleRun) error
	Advise(ctx context.Context, q orchestrator.RequestAdvice) (orchestrator.AdviceAnswered, error)
	// CloseConnections closes the connections to a removed worker.
	CloseConnections(address netip.AddrPort)
}

// Decoder decodes store entries that other programs write.
type Decoder interface {
	Configuration(value []byte) (Configuration, error)
	Worker(key string, value []byte) (orchestrator.WorkerEntry, error)
	// Evacuation returns an error if the key names no failure domain.
	Evacuation(key string, value []byte) (Evacuation, error)
}

// Evacuation is an operator's request that nothing new starts in a failure domain.
type Evacuation struct {
	FailureDomain string
	Fault         string // why the value was not understood; the evacuation holds nevertheless
}

// StoreKeys are the store keys that other programs write.
type StoreKeys struct {
	Configuration string
	Workers       string // prefix
	Evacuations   string // prefix; empty: none are read
}
