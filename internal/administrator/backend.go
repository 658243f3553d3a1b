package administrator

import (
	"context"
	"fmt"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
)

// Code classifies an error of the operators' interface.
type Code string

// Codes. CodeUnknownOutcome means that the request may have taken effect.
const (
	CodeBadRequest     Code = "bad-request"
	CodeNotFound       Code = "not-found"
	CodeRefused        Code = "refused"
	CodeLostRace       Code = "lost-race"
	CodeUnavailable    Code = "unavailable"
	CodeUnknownOutcome Code = "unknown-outcome"
	CodeInternal       Code = "internal"
)

// Error is an error as sent to operators. A Backend may return one; other errors that it
// returns are converted by their type.
type Error struct {
	Code    Code
	Message string
	Reason  configurator.RefusalReason `json:",omitempty"`
	Faults  []configurator.Fault       `json:",omitempty"`
	Winner  string                     `json:",omitempty"` // operator whose submission took effect first
	Diff    string                     `json:",omitempty"` // from the submission to the configuration in effect
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// ConfigurationView is the configuration in effect on the answering entry host, and the
// generations on all entry hosts as it last received them.
type ConfigurationView struct {
	Host        string
	Record      configurator.Record
	InEffectFor time.Duration
	Hosts       []HostGeneration // sorted by name
}

// HostGeneration is the configuration generation in effect on an entry host.
type HostGeneration struct {
	Host        string
	Generation  uint64
	InEffectFor time.Duration
	HeardAgo    time.Duration // age of this information; 0 for the answering host
}

// JobFilter selects jobs. An empty Team or State matches all jobs.
type JobFilter struct {
	Team  string
	State scheduler.JobState
	Limit int // 0: DefaultJobLimit
}

// DefaultJobLimit is the maximum number of jobs in a list if the filter sets no Limit.
const DefaultJobLimit = 1000

// ServiceStatus is a service and its instances.
type ServiceStatus struct {
	Name      string
	Class     string
	Wanted    map[string]int // instances by failure domain
	Instances []messenger.Endpoint
}

// HostStatus is the state of an entry host or worker, as recorded by the answering entry
// host.
type HostStatus struct {
	Name          string
	Role          string // entry or worker
	FailureDomain string
	Rack          string
	Shard         string
	State         string // live, leaving, unresponsive or quarantined
	Reason        string
	Generation    uint64 // of an entry host's configuration
	Capacity      configurator.Resources
}

// ShardStatus is the state of a shard, as recorded by the answering entry host.
type ShardStatus struct {
	Name  string
	Owner string
	Epoch uint64
	Jobs  map[scheduler.JobState]int
}

// Status summarizes the state of the system, as recorded by the answering entry host.
type Status struct {
	Host          string
	FailureDomain string
	Version       string
	Uptime        time.Duration
	Ready         bool
	NotReady      []string // reasons
	Leaving       bool
	Generation    uint64
	InEffectFor   time.Duration
	StoreState    string // available or unavailable
	Hosts         []HostStatus
	Shards        []ShardStatus
}

// Backend executes the requests of operators. Package server implements it.
type Backend interface {
	ApplyConfiguration(ctx context.Context, s publisher.Submission) (publisher.ApplyResult, error)
	ShowConfiguration(ctx context.Context) (ConfigurationView, error)
	ConfigurationHistory(ctx context.Context, limit int) ([]configurator.Record, error)
	SubmitJob(ctx context.Context, spec scheduler.JobSpec) (scheduler.JobStatus, error)
	CancelJob(ctx context.Context, name string) (scheduler.JobStatus, error)
	ListJobs(ctx context.Context, f JobFilter) ([]scheduler.JobStatus, error)
	ShowJob(ctx context.Context, name string) (scheduler.JobStatus, error)
	ListServices(ctx context.Context) ([]ServiceStatus, error)
	ShowService(ctx context.Context, name string) (ServiceStatus, error)
	ListHosts(ctx context.Context) ([]HostStatus, error)
	DrainHost(ctx context.Context, host string, undo bool) error
	Explain(ctx context.Context, id string) ([]messenger.ExplainAnswer, error)
	Status(ctx context.Context) (Status, error)
}
