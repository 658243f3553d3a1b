package scheduler

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// JournalVersion is the version of the journal encoding that this program reads and
	// writes.
	JournalVersion = 1
	// MaxJournalBytes is the encoded size, in bytes, above which no new job is accepted. The
	// space up to the store's limit of 1 MB is left for state changes of the listed jobs.
	MaxJournalBytes = 900 << 10
	// maxDecodedJournalBytes is the size of the largest value that is decoded.
	maxDecodedJournalBytes = 1 << 20
)

// Journal is the state of a shard that is kept in the store.
type Journal struct {
	Version    int
	Shard      string
	Owner      string // empty if the shard was released or never owned
	Epoch      uint64
	Renewal    uint64
	Writer     string // incarnation of the process that wrote the value
	Sequence   uint64 // number of the write; increases by one with each write
	Successors []string
	// RunningSuccessors are the hosts of the successor failure domain, which may import the
	// jobs.
	RunningSuccessors []string
	MovedTo           string `json:",omitempty"` // shard that imports the jobs
	// Moved maps names of jobs to the shards that imported them, so that a repeated
	// submission does not run a job a second time.
	Moved     map[string]string `json:",omitempty"`
	Jobs      []JobEntry
	Instances []InstanceEntry
}

// JobEntry is a job in the journal.
type JobEntry struct {
	Spec       JobSpec
	State      JobState
	Worker     string `json:",omitempty"`
	Attempt    int    // number of assignments so far
	Evictions  int    `json:",omitempty"`
	Failures   int    `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
	Submitted  time.Time
	Started    time.Time `json:",omitzero"`
	Ended      time.Time `json:",omitzero"`
	Decision   string    `json:",omitempty"`
}

// InstanceEntry is a service instance in the journal.
type InstanceEntry struct {
	Task     string
	Service  string
	Index    int
	Attempt  int
	Worker   string
	Retiring bool `json:",omitempty"`
}

// JournalError reports why a journal could not be decoded or encoded.
type JournalError struct {
	Shard  string
	Size   int // bytes
	Reason string
}

func (e *JournalError) Error() string {
	return fmt.Sprintf("journal of shard %q (%d bytes) is rejected: %s", e.Shard, e.Size, e.Reason)
}

// DecodeJournal decodes and checks the journal of the named shard. Errors are of type
// *JournalError.
func DecodeJournal(shard string, value []byte) (Journal, error) {
	reject := func(format string, args ...any) (Journal, error) {
		return Journal{}, &JournalError{Shard: shard, Size: len(value), Reason: fmt.Sprintf(format, args...)}
	}
	if len(value) > maxDecodedJournalBytes {
		return reject("larger than %d bytes", maxDecodedJournalBytes)
	}
	var j Journal
	if err := json.Unmarshal(value, &j); err != nil {
		return reject("%v", err)
	}
	if j.Version != JournalVersion {
		return reject("version %d, this program reads version %d", j.Version, JournalVersion)
	}
	if j.Shard != shard {
		return reject("it is the journal of shard %q", j.Shard)
	}
	seen := make(map[string]bool, len(j.Jobs))
	for _, b := range j.Jobs {
		if reason := b.invalidReason(); reason != "" {
			return reject("job %q: %s", b.Spec.Name, reason)
		}
		if seen[b.Spec.Name] {
			return reject("job %q is listed twice", b.Spec.Name)
		}
		seen[b.Spec.Name] = true
	}
	tasks := make(map[string]bool, len(j.Instances))
	for _, i := range j.Instances {
		if i.Task == "" || i.Service == "" || i.Attempt < 0 || tasks[i.Task] {
			return reject("instance %q is not valid", i.Task)
		}
		tasks[i.Task] = true
	}
	return j, nil
}

// invalidReason returns why the entry is not valid, or "" if it is valid.
func (b *JobEntry) invalidReason() string {
	switch b.State {
	case JobStarting, JobRunning, JobEvicting:
		if b.Worker == "" {
			return fmt.Sprintf("state %q without a worker", b.State)
		}
	case JobPending, JobCanceling, JobFinished, JobFailed, JobCancelled, JobRejected:
	default:
		return fmt.Sprintf("unknown state %q", b.State)
	}
	switch {
	case b.Spec.Name == "":
		return "no name"
	case b.Attempt < 0 || b.Evictions < 0 || b.Failures < 0:
		return "negative count"
	}
	return ""
}

// Encode returns the journal's encoding as stored, with Version set to JournalVersion.
func (j *Journal) Encode() ([]byte, error) {
	j.Version = JournalVersion
	value, err := json.Marshal(j)
	if err != nil {
		return nil, &JournalError{Shard: j.Shard, Reason: err.Error()}
	}
	return value, nil
}

// ClearImported turns j into the next journal of a shard whose jobs another shard has imported.
// The jobs are removed, their names are kept in Moved so that a repeated submission is
// refused, and the owner is cleared.
func (j *Journal) ClearImported(writer string) {
	moved := make(map[string]string, len(j.Jobs))
	for _, b := range j.Jobs {
		moved[b.Spec.Name] = j.MovedTo
	}
	for name, to := range j.Moved {
		if len(moved) < maxMovedJobNames && moved[name] == "" {
			moved[name] = to
		}
	}
	j.Moved = moved
	j.Jobs, j.MovedTo, j.Owner, j.Writer = nil, "", "", writer
	j.Sequence++
}
