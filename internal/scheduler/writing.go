package scheduler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/commander"
)

const (
	// writeEvery is the shortest time between two journal writes: 10 per second.
	writeEvery = 100 * time.Millisecond
	// renewWithin is the longest: a third of the default ownership TTL.
	renewWithin = time.Second
	// sizeOfNewJob is the room that a submission needs in the journal, in bytes.
	sizeOfNewJob = 1024
	// maxDecision bounds the journaled text of a decision, in bytes: it may quote a
	// worker's reason of any length.
	maxDecision = 300
	// maxMovedJobs bounds the names kept of jobs that another shard took over.
	maxMovedJobs = 2000
)

// pendingWrite is the journal write whose outcome is not known.
type pendingWrite struct {
	outstanding bool
	sequence    uint64
	version     uint64
	released    bool // the value gives the shard up
}

// pendingAnswer is owed once the journal holds the version.
type pendingAnswer struct {
	request uint64
	version uint64
	job     string
	submit  bool
}

type pendingImport struct {
	from    string
	version uint64
}

// writeJournal sends a write if one is due: changes after writeEvery, a renewal after
// renewWithin. One value carries every change since the last write.
func (s *Shard) writeJournal(now time.Time) {
	if s.write.outstanding || now.Before(s.retryAt) {
		return
	}
	since := now.Sub(s.lastWrite)
	if since < writeEvery || !s.urgent && since < renewWithin {
		return
	}
	j := s.snapshot()
	value, err := j.Encode()
	if err != nil {
		return // unreachable: every field can be encoded
	}
	s.size = len(value)
	s.journal.Renewal, s.journal.Sequence = j.Renewal, j.Sequence
	s.write = pendingWrite{outstanding: true, sequence: j.Sequence, version: s.version, released: j.Owner == ""}
	s.lastWrite = now
	s.urgent = false
	s.emit(WriteJournal{Value: value, Writer: j.Writer, Sequence: j.Sequence})
}

// snapshot returns the journal's next value.
func (s *Shard) snapshot() Journal {
	j := s.journal
	j.Owner, j.Writer = s.settings.Host, s.settings.Writer
	if s.phase == phaseReleased {
		j.Owner = ""
	}
	j.Renewal++
	j.Sequence++
	for _, name := range sortedNames(s.tasks) {
		t := s.tasks[name]
		switch {
		case t.kind == commander.KindBatch:
			b := t.JobEntry
			b.Decision = b.Decision[:min(len(b.Decision), maxDecision)]
			j.Jobs = append(j.Jobs, b)
		case t.Worker != "":
			j.Instances = append(j.Instances, InstanceEntry{
				Task: name, Service: t.service, Index: t.index, Attempt: t.Attempt, Worker: t.Worker, Retiring: t.retiring,
			})
		}
	}
	return j
}

func (s *Shard) journalWritten(e JournalWritten) {
	if !s.write.outstanding || e.Sequence != s.write.sequence {
		return
	}
	s.write.outstanding = false
	s.durable = s.write.version
	s.storeDown, s.retryAt = false, time.Time{}
	if s.write.released {
		s.lost(JournalLost{Owner: "nobody"})
		return
	}
	s.answers = slices.DeleteFunc(s.answers, func(a pendingAnswer) bool {
		if a.version > s.durable {
			return false
		}
		s.answer(a, true, "")
		return true
	})
	s.imports = slices.DeleteFunc(s.imports, func(i pendingImport) bool {
		if i.version <= s.durable {
			s.emit(AnswerImport{From: i.from})
		}
		return i.version <= s.durable
	})
}

func (s *Shard) journalFailed(e JournalFailed, now time.Time) {
	if !s.write.outstanding || e.Sequence != s.write.sequence {
		return
	}
	s.write.outstanding = false
	s.storeDown, s.retryAt = true, now.Add(e.Retry)
	s.urgent = true
	for _, a := range s.answers {
		s.answer(a, false, "not accepted, retry later: "+e.Reason)
		if t := s.tasks[a.job]; a.submit && t != nil && t.submitted == a.version {
			s.withdraw(t)
		}
	}
	s.answers = nil
}

// withdraw drops a submission that was not accepted. No start was sent for it, because
// a start waits for the journal to list the job.
func (s *Shard) withdraw(t *task) {
	s.unassign(t)
	delete(s.tasks, t.Spec.Name)
}

func (s *Shard) answer(a pendingAnswer, accepted bool, reason string) {
	st, _ := s.Job(a.job)
	s.emit(AnswerSubmission{Request: a.request, Accepted: accepted, Unknown: !accepted, Reason: reason, Status: st})
}

// refusal returns why no change can be accepted now, or "".
func (s *Shard) refusal(now time.Time) string {
	switch {
	case s.phase != phaseOwned || s.config == nil:
		return "shard is not ready, retry later"
	case s.storeDown:
		return "not accepted, retry later: the store is unavailable"
	case !now.Before(s.placing):
		return "not accepted, retry later: ownership is not certain"
	}
	return ""
}

func (s *Shard) submit(e JobSubmitted, now time.Time) {
	name := e.Spec.Name
	if st, ok := s.Job(name); ok {
		// A repeated submission is acknowledged like the first one.
		if t := s.tasks[name]; t != nil && t.submitted > s.durable {
			s.answers = append(s.answers, pendingAnswer{e.Request, t.submitted, name, true})
			return
		}
		s.emit(AnswerSubmission{Request: e.Request, Accepted: true, Status: st})
		return
	}
	reason := s.refusal(now)
	if reason == "" {
		reason = s.invalid(e.Spec)
	}
	if reason != "" {
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
		return
	}
	t := &task{kind: commander.KindBatch}
	t.Spec, t.State, t.Submitted = e.Spec, JobPending, now
	s.tasks[name] = t
	s.change(t)
	t.submitted = t.changed
	s.size += sizeOfNewJob
	s.answers = append(s.answers, pendingAnswer{e.Request, s.version, name, true})
}

// invalid returns why a job is not accepted, or "".
func (s *Shard) invalid(j JobSpec) string {
	const maxName = 200 // bytes; the journal is bounded
	switch {
	case j.Name == "" || len(j.Name) > maxName:
		return fmt.Sprintf("a job's name has 1 to %d bytes", maxName)
	case s.tasks[j.Name] != nil:
		return fmt.Sprintf("name %q is that of a service instance", j.Name)
	case s.class(j.Class) == nil:
		return fmt.Sprintf("job class %q is not configured", j.Class)
	case s.journal.Moved[j.Name] != "":
		return fmt.Sprintf("job was taken over by shard %s", s.journal.Moved[j.Name])
	case s.size+sizeOfNewJob > MaxJournalSize:
		return "the shard's journal is full, retry later"
	}
	if j.Team == "" {
		return ""
	}
	for _, t := range s.config.Teams {
		if t.Name == j.Team {
			return ""
		}
	}
	return fmt.Sprintf("team %q is not configured", j.Team)
}

func (s *Shard) cancel(e CancellationAsked, now time.Time) {
	st, ok := s.Job(e.Name)
	if !ok {
		s.emit(AnswerSubmission{Request: e.Request, Reason: fmt.Sprintf("job %q is not known", e.Name)})
		return
	}
	t := s.tasks[e.Name]
	if t == nil || t.State.Ended() && t.changed <= s.durable {
		s.emit(AnswerSubmission{Request: e.Request, Accepted: true, Status: st})
		return
	}
	if reason := s.refusal(now); reason != "" {
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason, Status: st})
		return
	}
	switch {
	case t.State.Ended() || t.State == JobCanceling:
	case t.State == JobPending && t.inherited && !s.recovered(now):
		// It may be running on a worker that is not fenced.
		t.State = JobCanceling
		s.change(t)
	case !t.sent:
		s.finish(t, JobCancelled, "cancelled", now)
	default:
		t.State, t.grace, t.stopSent = JobCanceling, 0, time.Time{}
		s.change(t)
	}
	s.answers = append(s.answers, pendingAnswer{e.Request, max(t.changed, s.durable+1), e.Name, false})
	s.urgent = true
}

// importJobs takes over the jobs of a moved journal. It is idempotent by job name: an
// import of the same or an older attempt changes nothing.
func (s *Shard) importJobs(e JobsImported, now time.Time) {
	for _, b := range e.Jobs {
		if s.tasks[b.Spec.Name] != nil || s.records.find(b.Spec.Name) != nil {
			continue
		}
		t := &task{JobEntry: b, kind: commander.KindBatch}
		t.Worker = ""
		switch {
		case b.State.Ended():
		case b.State == JobCanceling:
			t.State, t.Ended, t.Decision = JobCancelled, now, "cancelled"
		default:
			t.State, t.Decision = JobPending, "taken over from shard "+e.From
		}
		s.tasks[b.Spec.Name] = t
		s.change(t)
		t.submitted = t.changed
	}
	s.urgent = true
	s.version++
	s.imports = append(s.imports, pendingImport{e.From, s.version})
}

const (
	// maxRecords and maxRecordsSize bound the records of ended jobs.
	maxRecords     = 500
	maxRecordsSize = 512 << 10
	recordsEvery   = 10 * time.Second
)

// records are the shard's ended jobs, oldest first.
type records struct {
	jobs        []JobEntry
	index       map[string]int
	outstanding bool
	moving      []string // names in the outstanding write
	lastWrite   time.Time
}

func newRecords() records { return records{index: make(map[string]int)} }

func (r *records) find(name string) *JobEntry {
	if i, ok := r.index[name]; ok {
		return &r.jobs[i]
	}
	return nil
}

// load reads the records. A value that cannot be decoded counts as empty: records are
// for operators only.
func (r *records) load(value []byte) {
	var jobs []JobEntry
	if len(value) == 0 || json.Unmarshal(value, &jobs) != nil {
		return
	}
	r.set(jobs)
}

func (r *records) set(jobs []JobEntry) {
	r.jobs = jobs[max(0, len(jobs)-maxRecords):]
	r.index = make(map[string]int, len(r.jobs))
	for i := range r.jobs {
		r.index[r.jobs[i].Spec.Name] = i
	}
}

// writeRecords moves ended jobs from the journal to the records.
func (s *Shard) writeRecords(now time.Time) {
	r := &s.records
	if r.outstanding || s.storeDown || now.Sub(r.lastWrite) < recordsEvery {
		return
	}
	var ended []JobEntry
	for _, t := range s.tasks {
		if t.kind == commander.KindBatch && t.State.Ended() && t.changed <= s.durable && r.find(t.Spec.Name) == nil {
			ended = append(ended, t.JobEntry)
		}
	}
	if len(ended) == 0 {
		return
	}
	slices.SortFunc(ended, func(a, b JobEntry) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Spec.Name, b.Spec.Name))
	})
	ended = ended[:min(len(ended), maxRecords)]
	jobs := slices.Concat(r.jobs, ended)
	jobs = jobs[max(0, len(jobs)-maxRecords):]
	value, err := json.Marshal(jobs)
	for err == nil && len(value) > maxRecordsSize && len(jobs) > 1 {
		jobs = jobs[(len(jobs)+1)/2:]
		value, err = json.Marshal(jobs)
	}
	if err != nil {
		return // unreachable: every field can be encoded
	}
	r.set(jobs)
	r.outstanding, r.lastWrite, r.moving = true, now, nil
	for _, b := range ended {
		r.moving = append(r.moving, b.Spec.Name)
	}
	s.emit(WriteRecords{Value: value})
}

// recordsWritten drops the moved jobs from the journal.
func (s *Shard) recordsWritten(e RecordsWritten) {
	s.records.outstanding = false
	if !e.Done {
		// Their entries stay in the journal; the next write lists them again.
		s.records.set(slices.DeleteFunc(s.records.jobs, func(b JobEntry) bool { return slices.Contains(s.records.moving, b.Spec.Name) }))
		return
	}
	for _, name := range s.records.moving {
		if t := s.tasks[name]; t != nil && t.State.Ended() {
			delete(s.tasks, name)
		}
	}
	s.urgent = true
}
