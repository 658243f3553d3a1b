package commander

import (
	"context"
	"net/netip"
	"time"

	"peridotpitch/internal/configurator"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// Task states. A stopped task has a checkpoint if one was taken.
const (
	TaskStarting      TaskState = "starting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskStopped       TaskState = "stopped"
	TaskFinished      TaskState = "finished"
	TaskFailed        TaskState = "failed"
)

// Active reports whether a task in this state uses capacity of its worker.
func (s TaskState) Active() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskCheckpointing
}

// TaskKind distinguishes batch tasks from service instances.
type TaskKind string

// Task kinds.
const (
	KindBatch   TaskKind = "batch"
	KindService TaskKind = "service"
)

// Verb is the operation that a command requests.
type Verb string

// Verbs.
const (
	VerbStart      Verb = "Start"
	VerbRenew      Verb = "Renew"
	VerbCheckpoint Verb = "Checkpoint"
	VerbThrottle   Verb = "Throttle"
	VerbStop       Verb = "Stop"
	VerbForget     Verb = "Forget" // removes an ended task from the worker's reports
)

// WorkerTime is a reading of a worker's monotonic clock: the time since the worker process
// started. Readings are comparable only within one Incarnation.
type WorkerTime = time.Duration

// Report is a worker's state: its capacity and its tasks.
type Report struct {
	Worker      string
	Incarnation string
	Clock       WorkerTime
	MeasuredAt  WorkerTime // when resource usage was measured; before Clock by the measurement lag
	Epoch       uint64
	Capacity    configurator.Resources
	Leaving     bool // the worker requests to be drained
	Tasks       []TaskReport
}

// TaskReport describes one task in a Report. An ended task stays in the reports until the
// worker executes a command with VerbForget.
type TaskReport struct {
	Task       string
	Attempt    int
	Kind       TaskKind
	Class      string
	Service    string
	State      TaskState
	Declared   configurator.Resources
	Used       configurator.Resources
	Slowdown   float64 // run time per unit of work, divided by the run time without contention; 0 if unknown
	Throttle   float64 // share of its declared cores that the task may use; 0 or 1: no limit
	LeaseEnd   WorkerTime
	Checkpoint string // last complete checkpoint
	Address    string // ip:port of a service instance
	Reason     string // why the task stopped or failed
}

// Command requests an operation on one task from a worker.
type Command struct {
	Verb    Verb
	Task    string
	Attempt int
	// Incarnation identifies the worker process that the command is for. Any other process
	// refuses the command. A restarted worker has lost the epoch that it had accepted, and its
	// clock restarts at 0, so neither the epoch nor NotAfter would stop a delayed start.
	Incarnation string
	Kind        TaskKind
	Class       string
	Service     string
	Declared    configurator.Resources
	Slots       int           // of a service instance
	Duration    time.Duration // of the work; only the emulated worker uses it
	Checkpoint  string        // checkpoint to resume from, empty for none
	LeaseEnd    WorkerTime
	NotAfter    WorkerTime    // reading of the worker's clock after which it refuses the command
	Limit       float64       // share of the task's declared cores, for VerbThrottle
	Grace       time.Duration // time that VerbStop gives the task to end; 0: end at once
}

// Result is the outcome of one command.
type Result struct {
	Task   string
	Done   bool
	Reason string
}

// FenceAnswer is a worker's answer to a fence, which is a shard owner's request to accept its
// epoch and to refuse commands with a lower one.
type FenceAnswer struct {
	Accepted bool
	Epoch    uint64 // highest epoch that the worker has accepted
	Report   Report
}

// ApplyAnswer is a worker's answer to a list of commands.
type ApplyAnswer struct {
	Accepted bool
	Epoch    uint64
	Results  []Result
}

// WorkerClient sends messages to workers. After an error of type *NoAnswerError, the message
// may have taken effect if the error's Sent is true.
type WorkerClient interface {
	Fence(ctx context.Context, address netip.AddrPort, epoch uint64, owner string) (FenceAnswer, error)
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
	Apply(ctx context.Context, address netip.AddrPort, epoch uint64, owner string, commands []Command) (ApplyAnswer, error)
}
