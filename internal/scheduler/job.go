package scheduler

import (
	"time"

	"peridotpitch/internal/configurator"
)

// JobState is the state of a job.
type JobState string

// Job states. Rejected jobs can never run; the reason and the nearest size that would
// fit are in the job's last decision.
const (
	JobPending   JobState = "pending"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobEvicting  JobState = "evicting"
	JobCanceling JobState = "canceling"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobRejected  JobState = "rejected"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled || s == JobRejected
}

// JobSpec is a job as submitted. Name is unique and makes a submission idempotent.
type JobSpec struct {
	Name     string
	Class    string
	Team     string
	Urgent   bool
	Declared configurator.Resources // zero: the class's size
	Duration time.Duration          // of work; used by the stand-in worker only
}

// JobStatus is a job as shown to operators.
type JobStatus struct {
	Spec       JobSpec
	State      JobState
	Shard      string // failure domain and shard, "domain/shard"
	Worker     string
	Attempt    int
	Evictions  int
	Checkpoint string
	Submitted  time.Time
	Started    time.Time
	Ended      time.Time
	Decision   string // last decision in words
}
