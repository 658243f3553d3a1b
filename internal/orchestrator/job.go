package orchestrator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// State is the state of a job as callers see it.
type State string

// States of jobs.
const (
	StateQueued    State = "queued" // no task has started yet
	StateRunning   State = "running"
	StateSucceeded State = "succeeded" // every task has succeeded
	StateFailed    State = "failed"    // a task has used up its attempts
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}

// Resources is an amount of the resources of a worker.
type Resources struct {
	CPU    int // thousandths of a core
	Memory int // MB
	GPU    int // accelerators
}

func (r Resources) add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

func (r Resources) subtract(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// covers reports whether o fits into r.
func (r Resources) covers(o Resources) bool {
	return r.CPU >= o.CPU && r.Memory >= o.Memory && r.GPU >= o.GPU
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count         int // tasks
	Size          Resources
	Estimate      time.Duration // approximate run time of a task
	After         []int         // indexes of earlier steps whose tasks must all have succeeded
	Checkpoints   bool          // tasks save their progress
	Gang          bool          // tasks make progress only while all of them run
	SameRack      bool          // tasks are slow when they run on several racks
	RequiredLabel string        // of the workers that may run the tasks; empty: any
	RackAffinity  string        // rack that holds the data; tasks are slow elsewhere
	MaxPerWorker  int           // tasks of one occurrence on one worker; 0: any number
	Speculative   bool          // copies of a task may run at the same time
	LongRunning   bool          // tasks run until the job is cancelled
	Image         string        // program that the tasks run
	LatencyTarget time.Duration // of the tail latency; 0: not a latency-critical task
	Fills         bool          // best-effort tasks: they run on the processors that other tasks leave unused
	MaxMissing    int           // tasks that the scheduler itself may stop at the same time; LongRunning only
}

// Policy is the configuration of a job's queue at the time of the job's acceptance.
type Policy struct {
	Queue          string
	Service        string        // its workers run the tasks
	Priority       int           // 0 is the highest
	Attempts       int           // number of failed runs of a task after which its job fails
	Stretch        float64       // the deadline is the submission time + Stretch * expected run time + TargetDuration
	TargetDuration time.Duration // see Stretch
	Advised        bool          // an outside policy decides which workers may run a step
	// AdviceTime and AdviceTimePerWorker are the time that the outside policy takes for a request, and the further time for each worker named.
	AdviceTime          time.Duration `msgpack:",omitempty"`
	AdviceTimePerWorker time.Duration `msgpack:",omitempty"`
	Guarded             bool          // workers refuse tasks that exceed their free capacity
}

// Job is a job as it was submitted.
type Job struct {
	ID          string
	Spec        string // passed to each task
	Steps       []Step
	Occurrences int           // 0: no schedule, the job runs once and immediately
	First       time.Time     // due time of the first occurrence
	Interval    time.Duration // between the due times of occurrences
	Policy      Policy
	Submitted   time.Time
	Epoch       uint64 // of the leader under which the job was accepted
}

// Limits of a job. They bound the memory that one job can use on a leader, and keep its record below the 1 MB that a value
// may have in the store.
const (
	maxSteps       = 64
	maxTasks       = 10000  // of all steps, and of all occurrences that have begun, if these are more than one
	maxOccurrences = 100000 // a year at one every five minutes
)

// InvalidJobError is the reason why a submitted job is invalid.
type InvalidJobError struct {
	Step   int // -1: the job itself
	Reason string
}

func (e *InvalidJobError) Error() string {
	if e.Step < 0 {
		return "invalid job: " + e.Reason
	}
	return fmt.Sprintf("invalid job: step %d: %s", e.Step, e.Reason)
}

// Validate returns an *InvalidJobError if the job is invalid.
func (j *Job) Validate() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return &InvalidJobError{-1, fmt.Sprintf("it has %d steps, 1 to %d are allowed", len(j.Steps), maxSteps)}
	case j.Occurrences < 0 || j.Occurrences > maxOccurrences:
		return &InvalidJobError{-1, fmt.Sprintf("%d occurrences, 0 to %d are allowed", j.Occurrences, maxOccurrences)}
	case j.Interval < 0:
		return &InvalidJobError{-1, "negative interval"}
	}
	for i, s := range j.Steps {
		if reason := s.problem(i); reason != "" {
			return &InvalidJobError{i, reason}
		}
	}
	if n := j.tasks(); n > maxTasks {
		return &InvalidJobError{-1, fmt.Sprintf("%d tasks in all steps, up to %d are allowed", n, maxTasks)}
	}
	return nil
}

// tasks returns the number of tasks of one occurrence.
func (j *Job) tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// problem returns why a step is invalid, empty if it is valid. index is the step's index.
func (s *Step) problem(index int) string {
	switch {
	case s.Count < 1 || s.Count > maxTasks:
		return fmt.Sprintf("%d tasks, 1 to %d are allowed", s.Count, maxTasks)
	case s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.GPU < 0:
		return "negative size"
	case s.Estimate < 0 || s.LatencyTarget < 0:
		return "negative duration"
	case s.MaxPerWorker < 0 || s.MaxMissing < 0:
		return "negative limit"
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Sprintf("depends on step %d, only earlier steps are allowed", a)
		}
	}
	return ""
}

// EncodeJob returns a job's value in the store.
func EncodeJob(j Job) ([]byte, error) { return msgpack.Marshal(&j) }

// DecodeJob reads a value that EncodeJob wrote.
func DecodeJob(b []byte) (Job, error) {
	var j Job
	if err := msgpack.Unmarshal(b, &j); err != nil {
		return Job{}, fmt.Errorf("decode job: %w", err)
	}
	return j, j.Validate()
}
