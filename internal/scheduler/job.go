package scheduler

import (
	"time"

	"peridotpitch/internal/configurator"
)

// JobState is the stage of a job between its submission and one of the final states.
type JobState string

// Job states. The values are stored, so their two spellings of canceling and cancelled stay.
// A rejected job can never run; its last decision names the reason and the size nearest to
// the declared one that would fit.
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

// JobSpec is a job as submitted. Name is unique, so a repeated submission is idempotent.
type JobSpec struct {
	Name     string
	Class    string
	Team     string
	Urgent   bool
	Declared configurator.Resources // zero means the size of the job class
	Duration time.Duration          // amount of work; used only by the emulated worker
}

// JobStatus is the status of a job as shown to operators.
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
	Decision   string // description of the last decision
}
