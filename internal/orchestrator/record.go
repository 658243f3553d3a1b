package orchestrator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/classifier"
)

// Record is the progress of a job, as kept in the store.
type Record struct {
	ID         string
	Queue      string
	State      State
	FinishedAt time.Time    // of a final state
	Finished   []int        // occurrences whose tasks have all succeeded
	Done       []DoneSet    // succeeded tasks of the other occurrences
	Tasks      []TaskRecord // tasks of the other occurrences that have not succeeded and may have had a run
	Crashes    []TaskCrashes
	Runs       []RecordedRun
}

// DoneSet is the set of tasks of a step that have succeeded.
type DoneSet struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Bits       []byte // task i is bit i%8 of byte i/8
}

// TaskRecord is the state of a task that has not succeeded.
type TaskRecord struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Index      int
	NextRun    int
	Failed     []int    // numbers of the failed runs
	Saved      string   // reference to the last checkpoint
	Workers    []string // workers that may run the task
	LastRunEnd int64    // of a long-running task without a run: when its last run ended, in Unix ms; 0: it runs or never ran
}

// TaskCrashes holds the crashes of workers under a task. They are not part of TaskRecord, because programs that know a
// different number of fields can't read an array.
type TaskCrashes struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Index      int
	Crashes    []Crash
}

// RecordedRun is the number of the run on the workers of a task. It is missing if that is the run before NextRun, and in records of
// programs that don't know this field. NextRun includes the runNumberMargin of each leader since the run was started.
type RecordedRun struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Index      int
	Run        int // 0: the leader knows what became of the run that an earlier record names on these workers
}

// EncodeRecord returns a record's value in the store.
func EncodeRecord(r Record) ([]byte, error) { return msgpack.Marshal(&r) }

// DecodeRecord reads a value that EncodeRecord wrote.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}

// record returns the job's current progress.
func (j *job) record() Record {
	r := Record{ID: j.ID, Queue: j.Policy.Queue, State: j.state, FinishedAt: j.finishedAt}
	if j.state.Final() {
		return r
	}
	r.Finished = j.finishedOccurrences
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			r.Done, r.Tasks = s.appendRecords(r.Done, r.Tasks)
			r.Crashes = s.appendCrashes(r.Crashes)
			r.Runs = s.appendRecordedRuns(r.Runs)
		}
	}
	return r
}

// appendRecords appends the records of the step's tasks.
func (s *step) appendRecords(done []DoneSet, tasks []TaskRecord) ([]DoneSet, []TaskRecord) {
	var bits []byte
	for i, t := range s.tasks {
		if t.done {
			if bits == nil {
				bits = make([]byte, (len(s.tasks)+7)/8)
			}
			bits[i/8] |= 1 << (i % 8)
			continue
		}
		if t.nextRun == 1 && len(t.failed) == 0 && t.saved == "" {
			continue
		}
		tr := TaskRecord{Occurrence: s.occurrence.number, Step: s.index, Index: i, NextRun: t.nextRun, Failed: t.failed, Saved: t.saved}
		if s.LongRunning && len(t.runs) == 0 && !t.lastRunEnd.IsZero() {
			tr.LastRunEnd = t.lastRunEnd.UnixMilli()
		}
		for _, r := range t.runs {
			tr.Workers = append(tr.Workers, r.worker.ID)
		}
		if !t.observed {
			tr.Workers = t.recordedWorkers // this leader has not found a run of the task yet
		}
		tasks = append(tasks, tr)
	}
	if bits != nil {
		done = append(done, DoneSet{Occurrence: s.occurrence.number, Step: s.index, Bits: bits})
	}
	return done, tasks
}

// appendCrashes appends the crashes under the step's tasks.
func (s *step) appendCrashes(crashes []TaskCrashes) []TaskCrashes {
	for i, t := range s.tasks {
		if len(t.crashes) > 0 && !t.done {
			crashes = append(crashes, TaskCrashes{Occurrence: s.occurrence.number, Step: s.index, Index: i, Crashes: t.crashes})
		}
	}
	return crashes
}

// appendRecordedRuns appends the numbers of the runs on the recorded workers of the step's tasks.
func (s *step) appendRecordedRuns(runs []RecordedRun) []RecordedRun {
	for i, t := range s.tasks {
		if t.done || len(t.runs) == 0 && (t.observed || len(t.recordedWorkers) == 0) {
			continue // appendRecords names no workers
		}
		number := t.recordedRun
		if t.observed {
			number = 0
			for _, r := range t.runs {
				number = max(number, r.number)
			}
		}
		if number != t.nextRun-1 {
			runs = append(runs, RecordedRun{Occurrence: s.occurrence.number, Step: s.index, Index: i, Run: number})
		}
	}
	return runs
}

// restore applies a record of an earlier leader.
func (o *Orchestrator) restore(j *job, r *Record, now time.Time) {
	j.state, j.finishedAt = r.State, r.FinishedAt
	if j.state.Final() {
		return
	}
	for _, k := range r.Finished {
		j.finishedOccurrences = append(j.finishedOccurrences, k)
	}
	for _, d := range r.Done {
		s := j.stepAt(o, d.Occurrence, d.Step, now)
		if s == nil {
			continue
		}
		for i, t := range s.tasks {
			if i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0 {
				t.done, t.step.waitingKnown = true, false
			}
		}
	}
	for _, tr := range r.Tasks {
		s := j.stepAt(o, tr.Occurrence, tr.Step, now)
		if s == nil || tr.Index < 0 || tr.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[tr.Index]
		t.nextRun += tr.NextRun - 1 // before, nextRun is 1 or 1 + runNumberMargin
		t.failed, t.saved = tr.Failed, tr.Saved
		t.recordedWorkers = tr.Workers
		if len(tr.Workers) > 0 {
			t.recordedRun = tr.NextRun - 1
		}
		switch {
		case tr.LastRunEnd > 0:
			t.lastRunEnd = inheritedTime(time.UnixMilli(tr.LastRunEnd), now)
		case s.LongRunning:
			t.lastRunEnd = now // unless the recorded run is found on its worker
		}
	}
	for _, k := range r.Runs {
		if s := j.stepAt(o, k.Occurrence, k.Step, now); s != nil && k.Index >= 0 && k.Index < len(s.tasks) {
			s.tasks[k.Index].recordedRun = k.Run
		}
	}
	for _, c := range r.Crashes {
		if s := j.stepAt(o, c.Occurrence, c.Step, now); s != nil && c.Index >= 0 && c.Index < len(s.tasks) {
			s.tasks[c.Index].crashes = c.Crashes
		}
	}
}

// maxInheritedWait bounds how long ago a time in a record of an earlier leader may be. The clocks of
// two hosts may differ by seconds.
const maxInheritedWait = time.Minute

// inheritedTime returns a time from an earlier leader's clock, limited to what is possible on the clock
// of this one.
func inheritedTime(t, now time.Time) time.Time {
	if t.After(now) {
		return now
	}
	if earliest := now.Add(-maxInheritedWait); t.Before(earliest) {
		return earliest
	}
	return t
}

// stepAt returns a step of an occurrence, or nil if the job has no such step or occurrence.
// A missing occurrence is added.
func (j *job) stepAt(o *Orchestrator, number, index int, now time.Time) *step {
	if index < 0 || index >= len(j.Steps) || number < 0 || number >= max(1, j.Occurrences) {
		return nil
	}
	oc := j.occurrence(number)
	if oc == nil {
		oc = o.addOccurrence(j, number, now)
	}
	return oc.steps[index]
}

// RosterEntry is a worker that the leader may have started tasks on.
type RosterEntry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	ID       string
	Service  string
	Address  string
	Idle     bool // no run of any leader can be on the worker
}

// Roster lists the workers that a new leader must poll, or whose leases it must wait for.
type Roster struct {
	Workers      []RosterEntry
	Incarnations map[string]int64 // by worker ID: identifies the worker's process, if it is known
	Bounds       *LeaseBounds     // nil: none
	Lapsed       []LapsedWorker   // workers whose leases have ended and that may have crashed
}

// LapsedWorker is a worker that has fallen silent, so that the leases of its runs have ended. If it has crashed, which the leader of that
// time or a later one may learn, the crash counts for these runs.
type LapsedWorker struct {
	ID          string
	Address     string
	Incarnation int64 // of the process that ran them; 0: not known
	Age         int64 // time from the end of the leases to the write, in ms
	Suspects    []SuspectRun
}

// SuspectRun is a run under which a worker's process may have ended.
type SuspectRun struct {
	Task    string
	Run     int
	Certain bool // see Crash
}

// EncodeRoster returns a roster's value in the store.
func EncodeRoster(r Roster) ([]byte, error) { return msgpack.Marshal(&r) }

// DecodeRoster reads a value that EncodeRoster wrote.
func DecodeRoster(b []byte) (Roster, error) {
	var r Roster
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Roster{}, fmt.Errorf("decode roster: %w", err)
	}
	return r, nil
}

// WorkloadStatistics holds the measured statistics of images and queues. While a new leader
// measured them anew, latency-critical tasks would miss their targets.
type WorkloadStatistics struct {
	Pairs  []PairStatistics
	Images []ImageStatistics
	Ratios map[string]float64 // ratio of measured run times to estimates, by queue
	// Variances holds the variance of the logarithm of run times within a step, by queue.
	Variances map[string]float64
	LongTasks map[string]classifier.Queue // tasks that are long by themselves, by queue; queues without any are left out
}

// PairStatistics is the measured interference of a best-effort image with a latency-critical
// image.
type PairStatistics struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Serving     string   // latency-critical image
	Filler      string   // best-effort image
	Coefficient float64
	Samples     int
	Variance    float64 // of the coefficient
}

// ImageStatistics holds the measured statistics of a latency-critical image.
type ImageStatistics struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Image    string
	Idle     float64 // lowest tail latency as a share of the latency target
	Mean     float64 // mean utilization that the tasks' own callers cause
}

// EncodeWorkloadStatistics returns the workload statistics' value in the store.
func EncodeWorkloadStatistics(e WorkloadStatistics) ([]byte, error) { return msgpack.Marshal(&e) }

// DecodeWorkloadStatistics reads a value that EncodeWorkloadStatistics wrote.
func DecodeWorkloadStatistics(b []byte) (WorkloadStatistics, error) {
	var e WorkloadStatistics
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return WorkloadStatistics{}, fmt.Errorf("decode workload statistics: %w", err)
	}
	return e, nil
}

// workloadStatistics returns the statistics of this leader.
func (o *Orchestrator) workloadStatistics() *WorkloadStatistics {
	e := &WorkloadStatistics{Ratios: make(map[string]float64), Variances: make(map[string]float64)}
	names := make([]string, len(o.interference.indexes))
	for name, i := range o.interference.indexes {
		names[i] = name
	}
	for _, c := range o.interference.images {
		for _, p := range c.pairs {
			if p != nil && p.samples > 0 {
				e.Pairs = append(e.Pairs, PairStatistics{Serving: c.name, Filler: names[p.index], Coefficient: p.coefficient, Samples: p.samples, Variance: p.covariance(p.index)})
			}
		}
		if c.measured {
			e.Images = append(e.Images, ImageStatistics{Image: c.name, Idle: c.idleTailRatio, Mean: c.meanOwnLoad})
		}
	}
	for queue, s := range o.queueStats {
		e.Ratios[queue], e.Variances[queue] = s.runTimeRatio, s.runTimeVariance
		if s.tasks.Long > 0 {
			if e.LongTasks == nil {
				e.LongTasks = make(map[string]classifier.Queue)
			}
			e.LongTasks[queue] = s.tasks
		}
	}
	return e
}

// restoreWorkloadStatistics takes over the statistics of an earlier leader.
func (o *Orchestrator) restoreWorkloadStatistics(e WorkloadStatistics) {
	for _, p := range e.Pairs {
		r := o.interference.image(p.Serving).pair(o.interference.index(p.Filler))
		r.coefficient, r.samples = p.Coefficient, p.Samples
		r.covariances[r.index] = p.Variance
	}
	for _, i := range e.Images {
		c := o.interference.image(i.Image)
		c.idleTailRatio, c.meanOwnLoad, c.measured = i.Idle, i.Mean, true
	}
	for queue, ratio := range e.Ratios {
		o.stats(queue).runTimeRatio, o.stats(queue).runTimeVariance = ratio, e.Variances[queue]
		o.stats(queue).tasks = e.LongTasks[queue]
	}
}

// recordedWorkers returns the workers on which records of earlier leaders name runs of unfinished tasks.
func (o *Orchestrator) recordedWorkers() map[string]bool {
	recorded := make(map[string]bool)
	for _, j := range o.jobs {
		for _, oc := range j.occurrences {
			for _, s := range oc.steps {
				for _, t := range s.tasks {
					for _, id := range t.recordedWorkers {
						recorded[id] = true
					}
				}
			}
		}
	}
	return recorded
}
