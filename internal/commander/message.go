package commander

import (
	"context"
	"net/netip"
	"time"

	"peridotpitch/internal/configurator"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// Task states. Stopped tasks have a checkpoint, if one was taken.
const (
	TaskStarting      TaskState = "starting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskStopped       TaskState = "stopped"
	TaskFinished      TaskState = "finished"
	TaskFailed        TaskState = "failed"
)

// Active reports whether a task in this state holds capacity.
func (s TaskState) Active() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskCheckpointing
}

// TaskKind tells batch tasks from service instances.
type TaskKind string

// Task kinds.
const (
	KindBatch   TaskKind = "batch"
	KindService TaskKind = "service"
)

// Verb is what a command asks of a worker.
type Verb string

// Verbs.
const (
	VerbStart      Verb = "Start"
	VerbRenew      Verb = "Renew"
	VerbCheckpoint Verb = "Checkpoint"
	VerbThrottle   Verb = "Throttle"
	VerbStop       Verb = "Stop"
	VerbForget     Verb = "Forget"
)

// WorkerTime is a reading of a worker's own monotonic clock, in time since that
// worker process started. It is comparable only within one Incarnation.
type WorkerTime = time.Duration

// Report is a worker's inventory.
type Report struct {
	Worker      string
	Incarnation string
	Clock       WorkerTime
	MeasuredAt  WorkerTime // when the usage figures were taken, older than Clock by the lag
	Epoch       uint64
	Capacity    configurator.Resources
	Leaving     bool // the worker asks to be drained
	Tasks       []TaskReport
}

// TaskReport describes one task in a Report. Ended tasks stay listed until Forget.
type TaskReport struct {
	Task       string
	Attempt    int
	Kind       TaskKind
	Class      string
	Service    string
	State      TaskState
	Declared   configurator.Resources
	Used       configurator.Resources
	Slowdown   float64 // run time per unit of work over the uncontended one; 0 if unknown
	Throttle   float64 // share of declared cores the task is limited to; 0 or 1 is no limit
	LeaseEnd   WorkerTime
	Checkpoint string // last complete checkpoint
	Address    string // ip:port of a service instance
	Reason     string // why the task stopped or failed
}

// Command asks a worker to do something with one task.
type Command struct {
	Verb    Verb
	Task    string
	Attempt int
	// Incarnation is the worker process that the command is for; another one refuses it.
	// A restarted worker has forgotten its epoch, and its clock starts anew, so neither
	// would stop a delayed start.
	Incarnation string
	Kind        TaskKind
	Class       string
	Service     string
	Declared    configurator.Resources
	Slots       int           // of a service instance
	Duration    time.Duration // of work; used by the stand-in worker only
	Checkpoint  string        // to resume from
	LeaseEnd    WorkerTime
	NotAfter    WorkerTime // the worker refuses the command after this reading of its clock
	Limit       float64    // share of declared cores, for Throttle
	Grace       time.Duration
}

// Result is the outcome of one command.
type Result struct {
	Task   string
	Done   bool
	Reason string
}

// FenceAnswer is a worker's answer to a fence.
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

// Workers sends messages to workers. An error of type *UnreachableError means that the
// message may or may not have taken effect.
type Workers interface {
	Fence(ctx context.Context, address netip.AddrPort, epoch uint64, owner string) (FenceAnswer, error)
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
	Apply(ctx context.Context, address netip.AddrPort, epoch uint64, owner string, commands []Command) (ApplyAnswer, error)
}
