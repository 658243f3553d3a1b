package orchestrator

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Record is the progress of a job as it stands in the store.
type Record struct {
	ID         string
	Queue      string
	State      State
	FinishedAt time.Time // of a final state
	Finished   []int     // occurrences whose tasks have all ended well
	Done       []DoneSet // of the other occurrences
	Tasks      []TaskRecord
}

// DoneSet says which tasks of a step have ended well.
type DoneSet struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Bits       []byte // bit i of byte i/8 stands for task i
}

// TaskRecord is what is known of a task that has not ended well.
type TaskRecord struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Occurrence int
	Step       int
	Index      int
	NextRun    int
	Failed     []int // runs that failed
	Saved      string
	Workers    []string // where it may run
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

// record returns the job's present progress.
func (j *job) record() Record {
	r := Record{ID: j.ID, Queue: j.Policy.Queue, State: j.state, FinishedAt: j.finishedAt}
	if j.state.Final() {
		return r
	}
	r.Finished = j.finished
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			r.Done, r.Tasks = s.appendRecords(r.Done, r.Tasks)
		}
	}
	return r
}

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
		for _, r := range t.runs {
			tr.Workers = append(tr.Workers, r.worker.ID)
		}
		if !t.owned {
			tr.Workers = t.inheritedWorkers // not reached yet by this leader either
		}
		tasks = append(tasks, tr)
	}
	if bits != nil {
		done = append(done, DoneSet{Occurrence: s.occurrence.number, Step: s.index, Bits: bits})
	}
	return done, tasks
}

// restore applies a record of an earlier leader.
func (o *Orchestrator) restore(j *job, r *Record, now time.Time) {
	j.state, j.finishedAt = r.State, r.FinishedAt
	if j.state.Final() {
		return
	}
	for _, k := range r.Finished {
		j.finished = append(j.finished, k)
	}
	for _, d := range r.Done {
		s := j.stepAt(o, d.Occurrence, d.Step, now)
		if s == nil {
			continue
		}
		for i, t := range s.tasks {
			if i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0 {
				t.done = true
			}
		}
	}
	for _, tr := range r.Tasks {
		s := j.stepAt(o, tr.Occurrence, tr.Step, now)
		if s == nil || tr.Index < 0 || tr.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[tr.Index]
		t.nextRun += tr.NextRun - 1 // the present value is 1, or 1 + runMargin
		t.failed, t.saved = tr.Failed, tr.Saved
		t.inheritedWorkers = tr.Workers
	}
}

// stepAt returns a step of an occurrence, which is created if it is due, and nil if the
// record names one that the job does not have.
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
	Idle     bool // nothing that any leader started can run there
}

// Roster lists the workers that a new leader must reach, or wait for.
type Roster struct{ Workers []RosterEntry }

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

// Experience is what a leader has learnt of images. It saves its successor from learning
// it at the expense of tasks with a latency target.
type Experience struct {
	Pairs  []PairExperience
	Images []ImageExperience
	Ratios map[string]float64 // of measured run times to estimates, by queue
	// Variances are those of the logarithm of run times within a step, by queue.
	Variances map[string]float64
}

// PairExperience is how a filler's image disturbs one with a latency target.
type PairExperience struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Serving     string
	Filler      string
	Coefficient float64
	Samples     int
	Variance    float64 // of the coefficient
}

// ImageExperience is what is known of an image with a latency target.
type ImageExperience struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Image    string
	Idle     float64 // lowest tail as a share of the target
	Mean     float64 // mean own utilization
}

// EncodeExperience returns an experience's value in the store.
func EncodeExperience(e Experience) ([]byte, error) { return msgpack.Marshal(&e) }

// DecodeExperience reads a value that EncodeExperience wrote.
func DecodeExperience(b []byte) (Experience, error) {
	var e Experience
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return Experience{}, fmt.Errorf("decode experience: %w", err)
	}
	return e, nil
}

// experience returns what this leader knows.
func (o *Orchestrator) experience() *Experience {
	e := &Experience{Ratios: make(map[string]float64), Variances: make(map[string]float64)}
	for serving, fillers := range o.pressure.reactions {
		for filler, r := range fillers {
			if r.samples > 0 {
				e.Pairs = append(e.Pairs, PairExperience{Serving: serving, Filler: filler, Coefficient: r.coefficient, Samples: r.samples, Variance: r.covariance[filler]})
			}
		}
	}
	for image, mean := range o.pressure.mean {
		e.Images = append(e.Images, ImageExperience{Image: image, Idle: o.pressure.idleOf(image), Mean: mean})
	}
	for queue, s := range o.shapes {
		e.Ratios[queue], e.Variances[queue] = s.ratio, s.variance
	}
	return e
}

// recall takes over what an earlier leader knew.
func (o *Orchestrator) recall(e Experience) {
	for _, p := range e.Pairs {
		r := o.pressure.reaction(p.Serving, p.Filler)
		r.coefficient, r.samples, r.covariance[p.Filler] = p.Coefficient, p.Samples, p.Variance
	}
	for _, i := range e.Images {
		o.pressure.idle[i.Image], o.pressure.mean[i.Image] = i.Idle, i.Mean
	}
	for queue, ratio := range e.Ratios {
		o.shape(queue).ratio, o.shape(queue).variance = ratio, e.Variances[queue]
	}
}
