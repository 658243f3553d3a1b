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
	// minWriteInterval is the shortest time between two journal writes. It limits them to
	// 10 per second.
	minWriteInterval = 100 * time.Millisecond
	// maxWriteInterval is the time after which the journal is written without a change, to
	// renew the ownership. It is a third of the default ownership TTL.
	maxWriteInterval = time.Second
	// newJobBytes is the journal space reserved for a submitted job.
	newJobBytes = 1024
	// maxDecisionBytes bounds the text of a decision in the journal, because it may quote a
	// worker's reason of any length.
	maxDecisionBytes = 300
	// maxMovedJobNames bounds the names in Journal.Moved. The names from the latest import are
	// always kept; names from earlier imports are dropped.
	maxMovedJobNames = 2000
)

// journalWrite describes an emitted journal write.
type journalWrite struct {
	outstanding   bool // the outcome is not known yet
	sequence      uint64
	version       uint64 // last version that the value holds
	releasesShard bool   // the value has no owner
}

// pendingAnswer is an answer to a submission or cancellation. It is sent once the stored
// journal holds the given version.
type pendingAnswer struct {
	request      uint64
	version      uint64
	job          string
	isSubmission bool
}

// pendingImport is an import that is answered once the stored journal holds the given version.
type pendingImport struct {
	from    string
	version uint64
}

// writeJournal emits a journal write if one is due: after minWriteInterval if writeSoon is
// set, otherwise after maxWriteInterval as a renewal. One write holds all changes since the
// last one.
func (s *Shard) writeJournal(now time.Time) {
	if s.lastWrite.outstanding || now.Before(s.writeRetryAt) {
		return
	}
	since := now.Sub(s.lastWriteAt)
	if since < minWriteInterval || !s.writeSoon && since < maxWriteInterval {
		return
	}
	j := s.nextJournal()
	value, err := j.Encode()
	if err != nil {
		return // unreachable: every field can be encoded
	}
	s.journalBytes = len(value)
	s.journal.Renewal, s.journal.Sequence = j.Renewal, j.Sequence
	s.lastWrite = journalWrite{outstanding: true, sequence: j.Sequence, version: s.version, releasesShard: j.Owner == ""}
	s.lastWriteAt = now
	s.writeSoon = false
	s.emit(WriteJournal{Value: value, Writer: j.Writer, Sequence: j.Sequence})
}

// nextJournal returns the journal to be written next.
func (s *Shard) nextJournal() Journal {
	j := s.journal
	j.Owner, j.Writer = s.settings.Host, s.settings.Writer
	if s.phase == phaseReleasing {
		j.Owner = ""
	}
	j.Renewal++
	j.Sequence++
	for _, name := range sortedNames(s.tasks) {
		t := s.tasks[name]
		switch {
		case t.kind == commander.KindBatch:
			b := t.JobEntry
			b.Decision = b.Decision[:min(len(b.Decision), maxDecisionBytes)]
			j.Jobs = append(j.Jobs, b)
		case t.Worker != "":
			j.Instances = append(j.Instances, InstanceEntry{
				Task: name, Service: t.service, Index: t.index, Attempt: t.Attempt, Worker: t.Worker, Retiring: t.retiring,
			})
		}
	}
	return j
}

// handleJournalWritten sends the answers that waited for the write.
func (s *Shard) handleJournalWritten(e JournalWritten) {
	if !s.lastWrite.outstanding || e.Sequence != s.lastWrite.sequence {
		return
	}
	s.lastWrite.outstanding = false
	s.durableVersion = s.lastWrite.version
	s.storeUnavailable, s.writeRetryAt = false, time.Time{}
	if s.lastWrite.releasesShard {
		s.handleJournalLost(JournalLost{Owner: "nobody"})
		return
	}
	s.pendingAnswers = slices.DeleteFunc(s.pendingAnswers, func(a pendingAnswer) bool {
		if a.version > s.durableVersion {
			return false
		}
		s.answerPending(a, true, "")
		return true
	})
	s.pendingImports = slices.DeleteFunc(s.pendingImports, func(i pendingImport) bool {
		if i.version <= s.durableVersion {
			s.emit(AnswerImport{From: i.from})
		}
		return i.version <= s.durableVersion
	})
}

// handleJournalFailed rejects the pending submissions and cancellations, and removes the
// jobs of the rejected submissions.
func (s *Shard) handleJournalFailed(e JournalFailed, now time.Time) {
	if !s.lastWrite.outstanding || e.Sequence != s.lastWrite.sequence {
		return
	}
	s.lastWrite.outstanding = false
	s.storeUnavailable, s.writeRetryAt = true, now.Add(e.Retry)
	s.writeSoon = true
	for _, a := range s.pendingAnswers {
		s.answerPending(a, false, "not accepted, retry later: "+e.Reason)
		if t := s.tasks[a.job]; a.isSubmission && t != nil && t.submittedVersion == a.version {
			s.withdrawSubmission(t)
		}
	}
	s.pendingAnswers = nil
}

// withdrawSubmission removes a job whose submission was not accepted. No start was sent
// for the job, because a start command waits until the stored journal lists the job.
func (s *Shard) withdrawSubmission(t *task) {
	s.clearAssignment(t)
	delete(s.tasks, t.Spec.Name)
}

func (s *Shard) answerPending(a pendingAnswer, accepted bool, reason string) {
	st, _ := s.Job(a.job)
	s.emit(AnswerSubmission{Request: a.request, Accepted: accepted, Unknown: !accepted, Reason: reason, Status: st})
}

// refusalReason returns why submissions and cancellations cannot be accepted now, or "" if
// they can.
func (s *Shard) refusalReason(now time.Time) string {
	switch {
	case s.phase != phaseOwned || s.config == nil:
		return "shard is not ready, retry later"
	case s.storeUnavailable:
		return "not accepted, retry later: the store is unavailable"
	case !now.Before(s.placingUntil):
		return "not accepted, retry later: ownership is not certain"
	}
	return ""
}

// handleSubmission adds a job. The answer follows once the stored journal lists the job.
func (s *Shard) handleSubmission(e JobSubmitted, now time.Time) {
	name := e.Spec.Name
	if st, ok := s.Job(name); ok {
		// A repeated submission gets the same answer as the first one.
		if t := s.tasks[name]; t != nil && t.submittedVersion > s.durableVersion {
			s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{e.Request, t.submittedVersion, name, true})
			return
		}
		s.emit(AnswerSubmission{Request: e.Request, Accepted: true, Status: st})
		return
	}
	reason := s.refusalReason(now)
	if reason == "" {
		reason = s.invalidReason(e.Spec)
	}
	if reason != "" {
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
		return
	}
	t := &task{kind: commander.KindBatch}
	t.Spec, t.State, t.Submitted = e.Spec, JobPending, now
	s.tasks[name] = t
	s.markChanged(t)
	t.submittedVersion = t.changedVersion
	s.journalBytes += newJobBytes
	s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{e.Request, s.version, name, true})
}

// invalidReason returns why a job is not accepted, or "" if it is accepted.
func (s *Shard) invalidReason(j JobSpec) string {
	const maxNameBytes = 200 // the size of the journal is limited
	switch {
	case j.Name == "" || len(j.Name) > maxNameBytes:
		return fmt.Sprintf("a job's name has 1 to %d bytes", maxNameBytes)
	case s.tasks[j.Name] != nil:
		return fmt.Sprintf("name %q is that of a service instance", j.Name)
	case s.jobClass(j.Class) == nil:
		return fmt.Sprintf("job class %q is not configured", j.Class)
	case s.journal.Moved[j.Name] != "":
		return fmt.Sprintf("job was taken over by shard %s", s.journal.Moved[j.Name])
	case s.journalBytes+newJobBytes > MaxJournalBytes:
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

// handleCancellation cancels a job. A job that may be running is first stopped by its
// worker. The answer follows once the stored journal holds the cancellation.
func (s *Shard) handleCancellation(e CancellationRequested, now time.Time) {
	st, ok := s.Job(e.Name)
	if !ok {
		s.emit(AnswerSubmission{Request: e.Request, Reason: fmt.Sprintf("job %q is not known", e.Name)})
		return
	}
	t := s.tasks[e.Name]
	if t == nil || t.State.Ended() && t.changedVersion <= s.durableVersion {
		s.emit(AnswerSubmission{Request: e.Request, Accepted: true, Status: st})
		return
	}
	if reason := s.refusalReason(now); reason != "" {
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason, Status: st})
		return
	}
	switch {
	case t.State.Ended() || t.State == JobCanceling:
	case t.State == JobPending && t.inherited && !s.recovered(now):
		// A worker that has not accepted this owner's epoch may still run the job.
		t.State = JobCanceling
		s.markChanged(t)
	case !t.maybeStarted:
		s.finish(t, JobCancelled, "cancelled", now)
	default:
		t.State, t.gracePeriod, t.stopSentAt = JobCanceling, 0, time.Time{}
		s.markChanged(t)
	}
	s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{e.Request, max(t.changedVersion, s.durableVersion+1), e.Name, false})
	s.writeSoon = true
}

// importJobs adds the jobs of another shard's journal. It is idempotent by job name: a job
// that this shard already lists is skipped.
func (s *Shard) importJobs(e JobsImported, now time.Time) {
	for _, b := range e.Jobs {
		if s.tasks[b.Spec.Name] != nil || s.history.find(b.Spec.Name) != nil {
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
		s.markChanged(t)
		t.submittedVersion = t.changedVersion
	}
	s.writeSoon = true
	s.version++
	s.pendingImports = append(s.pendingImports, pendingImport{e.From, s.version})
}

const (
	// maxHistoryJobs and maxHistoryBytes bound the stored history of ended jobs.
	maxHistoryJobs  = 500
	maxHistoryBytes = 512 << 10
	// historyWriteInterval is the shortest time between two writes of the history.
	historyWriteInterval = 10 * time.Second
)

// jobHistory holds the ended jobs that were moved out of the journal, oldest first.
type jobHistory struct {
	jobs             []JobEntry
	index            map[string]int // position in jobs by name
	writeOutstanding bool
	archiving        []string // names of the jobs that the outstanding write adds
	lastWriteAt      time.Time
}

func newJobHistory() jobHistory { return jobHistory{index: make(map[string]int)} }

func (h *jobHistory) find(name string) *JobEntry {
	if i, ok := h.index[name]; ok {
		return &h.jobs[i]
	}
	return nil
}

// load decodes the stored history. A value that cannot be decoded counts as empty: operators
// no longer see the jobs that it listed, and their names can be submitted again.
func (h *jobHistory) load(value []byte) {
	var jobs []JobEntry
	if len(value) == 0 || json.Unmarshal(value, &jobs) != nil {
		return
	}
	h.replace(jobs)
}

func (h *jobHistory) replace(jobs []JobEntry) {
	h.jobs = jobs[max(0, len(jobs)-maxHistoryJobs):]
	h.index = make(map[string]int, len(h.jobs))
	for i := range h.jobs {
		h.index[h.jobs[i].Spec.Name] = i
	}
}

// writeHistory adds ended jobs to the history and emits a write of it. Once the write has
// succeeded, the jobs leave the journal.
func (s *Shard) writeHistory(now time.Time) {
	h := &s.history
	if h.writeOutstanding || s.storeUnavailable || now.Sub(h.lastWriteAt) < historyWriteInterval {
		return
	}
	var ended []JobEntry
	for _, t := range s.tasks {
		if t.kind == commander.KindBatch && t.State.Ended() && t.changedVersion <= s.durableVersion && h.find(t.Spec.Name) == nil {
			ended = append(ended, t.JobEntry)
		}
	}
	if len(ended) == 0 {
		return
	}
	slices.SortFunc(ended, func(a, b JobEntry) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Spec.Name, b.Spec.Name))
	})
	ended = ended[:min(len(ended), maxHistoryJobs)]
	jobs := slices.Concat(h.jobs, ended)
	jobs = jobs[max(0, len(jobs)-maxHistoryJobs):]
	value, err := json.Marshal(jobs)
	for err == nil && len(value) > maxHistoryBytes && len(jobs) > 1 {
		jobs = jobs[(len(jobs)+1)/2:]
		value, err = json.Marshal(jobs)
	}
	if err != nil {
		return // unreachable: every field can be encoded
	}
	h.replace(jobs)
	h.writeOutstanding, h.lastWriteAt, h.archiving = true, now, nil
	for _, b := range ended {
		h.archiving = append(h.archiving, b.Spec.Name)
	}
	s.emit(WriteJobHistory{Value: value})
}

// handleHistoryWritten removes the archived jobs from the journal or, if the write failed,
// from the history.
func (s *Shard) handleHistoryWritten(e JobHistoryWritten) {
	s.history.writeOutstanding = false
	if !e.Done {
		// The jobs stay in the journal; the next write of the history adds them again.
		s.history.replace(slices.DeleteFunc(s.history.jobs, func(b JobEntry) bool { return slices.Contains(s.history.archiving, b.Spec.Name) }))
		return
	}
	for _, name := range s.history.archiving {
		if t := s.tasks[name]; t != nil && t.State.Ended() {
			delete(s.tasks, name)
		}
	}
	s.writeSoon = true
}
