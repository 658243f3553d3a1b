package orchestrator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Settings are the fixed parameters of an Orchestrator.
type Settings struct {
	Epoch       uint64    // store revision of the leader's election
	ElectedAt   time.Time // when the election was known to have been won
	ConfirmedAt time.Time // when it was sent
	Lease       time.Duration
	Authority   time.Duration // how long after a confirmation leases may last
	MaxLease    time.Duration // workers shorten longer ones to it
	Retention   time.Duration // of final states
	FarFactor   float64       // slowdown of a task away from its data
}

const (
	// clockDrift is how much slower than real time a worker's clock may run, from the
	// platform's description of its workers.
	clockDrift = 0.02
	// leaseSlack covers rounding to milliseconds and the delay of timers.
	leaseSlack = 100 * time.Millisecond
	// minLease is the shortest lease that is worth a start.
	minLease = 500 * time.Millisecond
	// runMargin is added to the run numbers of an earlier leader's records, which may
	// miss its last starts. A task has at most a few starts between two records.
	runMargin = 32
	// defaultAttempts is used if the configuration names none.
	defaultAttempts = 3
)

// Orchestrator is the state machine of the leader.
type Orchestrator struct {
	settings Settings
	now      time.Time
	actions  []Action

	jobs     map[string]*job
	finished map[string]finishedJob
	ready    map[*step]bool // steps with tasks that could start
	workers  map[string]*worker
	order    []*worker         // all workers by ID; nil: to be sorted again
	shapes   map[string]*shape // by queue
	pressure pressure

	inherited     bool // Inherited has been applied
	handedOff     bool
	confirmedAt   time.Time
	learntAt      time.Time // when the experience was last handed out for a write
	rosterVersion uint64
	rosterWritten uint64
	dirty         map[string]*job
	expired       []string // finished jobs whose records are to be deleted
	scarce        bool     // little is left beyond the reserve for short jobs
	spare         bool     // less than spareShare of the workers' processors is taken
	passDue       bool     // something changed that may let a task start
	loadNoted     time.Time
	lastPass      time.Time
	firstRated    int // where the next choice among many workers begins
	deposed       bool
	leaving       bool
	wallOffset    time.Duration
}

// finishedJob is a job in a final state that stands in the store.
type finishedJob struct {
	queue string
	state State
	at    time.Time
}

// shape is what was learnt of a queue's tasks.
type shape struct {
	ratio    float64 // of measured run times to estimates, moving average
	variance float64 // of the logarithm of run times within a step, moving average
}

type job struct {
	Job
	inherited   bool // accepted before this leader's election
	cancelled   bool
	started     bool
	state       State
	finishedAt  time.Time
	occurrences []*occurrence // begun and not finished
	next        int           // the next occurrence to begin
	finished    []int
	deadline    time.Time // objective of a job without occurrences
	runs        int       // runs of all tasks
	idleSince   time.Time // when the last of them ended, or a step became ready

	version uint64 // of the last change
	written uint64 // version that stands in the store
	changed time.Time
}

type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	left   int // steps with unfinished tasks

	prospect   prospect // as of prospectAt
	prospectAt time.Time
	remaining  time.Duration // run time of the longest chain that is left
}

type step struct {
	*Step
	occurrence *occurrence
	index      int
	tasks      []*task
	left       int // tasks that have not ended well
	waits      int // earlier steps that have tasks left
	rack       string
	readyAt    time.Time
	measured   time.Duration // mean run time of finished tasks
	measures   int
	noteAt     time.Time // when a reason for waiting was noted
	advice     advice
}

type task struct {
	step    *step
	index   int
	name    string
	nextRun int
	done    bool
	failed  []int
	saved   string
	runs    []*run
	lapsed  map[int]bool // runs that ended unseen with their worker's lease
	moves   int
	avoid   map[string]bool // workers on which a run failed
	since   time.Time       // when the last run ended
	// preemptFrom is when others may be stopped for its sake again.
	preemptFrom time.Time

	owned            bool     // this leader has seen or started a run of it
	inheritedWorkers []string // where an earlier leader had placed it
}

// New returns the state machine of a leader that has just been elected.
func New(s Settings) *Orchestrator {
	return &Orchestrator{
		settings:    s,
		confirmedAt: s.ConfirmedAt,
		jobs:        make(map[string]*job),
		finished:    make(map[string]finishedJob),
		ready:       make(map[*step]bool),
		workers:     make(map[string]*worker),
		shapes:      make(map[string]*shape),
		pressure:    newPressure(),
		dirty:       make(map[string]*job),
	}
}

// Step applies an event and returns what must be done, in order.
func (o *Orchestrator) Step(e Event, now time.Time) []Action {
	o.now, o.actions = now, nil
	switch e := e.(type) {
	case Inherited:
		o.inherit(e)
	case JobAccepted:
		o.accept(e.Job, e.Revision)
	case CancelRequested:
		o.cancel(e.ID)
	case WorkersListed:
		o.listWorkers(e.Workers)
	case WorkerListed:
		o.listWorker(e.Worker)
	case WorkerUnlisted:
		o.unlistWorker(e.ID)
	case LookAnswered:
		o.lookAnswered(e)
	case LookFailed:
		o.lookFailed(e)
	case StartAnswered:
		o.startAnswered(e)
	case StopAnswered:
		o.stopAnswered(e)
	case PaceAnswered:
		o.paceAnswered(e)
	case Confirmed:
		if e.SentAt.After(o.confirmedAt) {
			o.confirmedAt = e.SentAt
		}
	case Written:
		o.batchWritten(e.Batch)
	case Advised:
		o.advised(e)
	case HandOver:
		o.handOver()
	case Tick:
		o.wallOffset = e.WallOffset
		o.tick()
	}
	if o.leaving {
		return nil
	}
	if o.passDue && o.inherited && !o.deposed && o.now.Sub(o.lastPass) >= o.passPause() {
		o.passDue, o.lastPass = false, o.now
		o.schedule()
	}
	return o.actions
}

// handOver marks all jobs whose records do not name the workers of their runs.
func (o *Orchestrator) handOver() {
	o.leaving = true
	for _, w := range o.workers {
		for _, r := range w.runs {
			o.change(r.task.job())
		}
	}
}

// KnowsRuns reports whether the records after a HandOver name the workers of all runs.
// They do not while an earlier leader, which did not hand over, may have started tasks on
// a worker that was not reached yet.
func (o *Orchestrator) KnowsRuns() bool {
	if !o.inherited {
		return false
	}
	for _, w := range o.workers {
		if w.inherited && !w.resolved && !o.handedOff {
			return false
		}
	}
	return true
}

func (o *Orchestrator) do(a Action) { o.actions = append(o.actions, a) }

func (o *Orchestrator) stepDown(reason string) {
	if !o.deposed {
		o.deposed = true
		o.do(StepDown{Reason: reason})
	}
}

// tick lets time pass: leases end, occurrences fall due, orders are repeated.
func (o *Orchestrator) tick() {
	for _, w := range o.ordered() {
		o.tickWorker(w)
	}
	for _, j := range o.jobs {
		o.beginOccurrences(j)
	}
	o.expire()
	o.passDue = true
	if o.now.Sub(o.loadNoted) >= loadEvery {
		o.loadNoted = o.now
		o.noteLoad()
	}
}

// loadEvery is the interval of the line on the load of all workers.
const loadEvery = time.Second

// noteLoad notes what the workers have and what waits.
func (o *Orchestrator) noteLoad() {
	var cores, counted, serving, filling, unused, usable int
	for _, w := range o.ordered() {
		if ok, _ := o.usable(w); !ok {
			continue
		}
		usable++
		cores += w.Room.CPU
		counted += w.used.CPU - w.load.serving
		serving += w.load.serving
		filling += w.load.filling
		unused += max(0, w.unused())
	}
	waiting, cpu := 0, 0
	for s := range o.ready {
		for _, t := range s.tasks {
			if !t.done && len(t.runs) == 0 {
				waiting++
				cpu += s.Size.CPU
			}
		}
	}
	o.do(Note{Event: EventLoad, Figures: fmt.Sprintf("Workers=%d Cores=%d Counted=%d Serving=%d Filling=%d Unused=%d Jobs=%d WaitingTasks=%d WaitingCores=%d",
		usable, cores/1000, counted/1000, serving/1000, filling/1000, unused/1000, len(o.jobs), waiting, cpu/1000)})
}

func (o *Orchestrator) inherit(e Inherited) {
	o.inherited, o.handedOff, o.passDue = true, e.HandedOff, true
	o.recall(e.Learnt)
	for _, r := range e.Finished {
		o.finished[r.ID] = finishedJob{queue: r.Queue, state: r.State, at: r.FinishedAt}
	}
	for _, ij := range e.Jobs {
		if ij.Record != nil && ij.Record.State.Final() || o.jobs[ij.Job.ID] != nil {
			continue // the second: its notice came while the store was read
		}
		o.addJob(ij.Job, ij.Revision, ij.Record)
		if ij.Cancelled {
			o.cancel(ij.Job.ID)
		}
	}
	for _, r := range e.Roster.Workers {
		w := o.worker(r.ID)
		w.Service, w.idle = r.Service, r.Idle
		w.Address = parseAddress(r.Address)
		w.rostered = true
		if !w.idle {
			w.inherited = true
			w.expiry = o.settings.ElectedAt.Add(lapse(o.settings.Authority))
		}
		if !w.watched && w.Address.IsValid() {
			w.watched = true
			o.do(WatchWorker{Worker: w.WorkerEntry})
		}
	}
}

func (o *Orchestrator) accept(j Job, revision uint64) {
	if _, ok := o.finished[j.ID]; ok || o.jobs[j.ID] != nil {
		return
	}
	if j.Epoch > o.settings.Epoch {
		o.stepDown("job " + j.ID + " was accepted under a newer leader")
		return
	}
	o.addJob(j, revision, nil)
}

func (o *Orchestrator) addJob(spec Job, revision uint64, r *Record) {
	j := &job{Job: spec, inherited: spec.Epoch < o.settings.Epoch, state: StateQueued}
	o.jobs[j.ID] = j
	j.deadline = j.Submitted.Add(time.Duration(max(1, j.Policy.Stretch)*float64(o.chain(j))) + j.Policy.TargetDuration)
	if r != nil {
		o.restore(j, r, o.now)
		j.started = j.state == StateRunning || len(r.Done) > 0 || len(r.Tasks) > 0 || len(r.Finished) > 0
	}
	o.beginOccurrences(j)
	for _, oc := range slices.Clone(j.occurrences) {
		o.settle(oc)
	}
	o.do(Note{Event: EventJobAdded, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(j.state),
		Figures: fmt.Sprintf("Revision=%d Inherited=%t Steps=%d Deadline=%s", revision, j.inherited, len(j.Steps), j.deadline.Sub(o.now).Round(time.Millisecond))})
}

// chain returns the expected run time of the job's longest chain of steps. Each takes as
// long as the longest of its tasks.
func (o *Orchestrator) chain(j *job) time.Duration {
	sh := o.shape(j.Policy.Queue)
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += time.Duration(sh.ratio * sh.longest(s.Count) * float64(s.Estimate))
		longest = max(longest, ends[i])
	}
	return longest
}

func (o *Orchestrator) shape(queue string) *shape {
	s := o.shapes[queue]
	if s == nil {
		s = &shape{ratio: 1}
		o.shapes[queue] = s
	}
	return s
}

// beginOccurrences creates the occurrences that are due.
func (o *Orchestrator) beginOccurrences(j *job) {
	if j.cancelled || j.state.Final() {
		return
	}
	for j.next < max(1, j.Occurrences) {
		if j.Occurrences > 0 && o.now.Add(o.wallOffset).Before(j.due(j.next)) {
			return
		}
		number := j.next
		j.next++
		if j.occurrence(number) == nil && !slices.Contains(j.finished, number) {
			o.settle(o.addOccurrence(j, number, o.now))
		}
	}
}

func (j *job) due(number int) time.Time {
	return j.First.Add(time.Duration(number) * j.Interval)
}

func (j *job) occurrence(number int) *occurrence {
	i := slices.IndexFunc(j.occurrences, func(oc *occurrence) bool { return oc.number == number })
	if i < 0 {
		return nil
	}
	return j.occurrences[i]
}

func (o *Orchestrator) addOccurrence(j *job, number int, now time.Time) *occurrence {
	oc := &occurrence{job: j, number: number, due: j.Submitted}
	if j.Occurrences > 0 {
		oc.due = j.due(number)
	}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], occurrence: oc, index: i, readyAt: now}
		s.tasks = make([]*task, s.Count)
		for k := range s.tasks {
			name := j.ID + "." + strconv.Itoa(number) + "." + strconv.Itoa(i) + "." + strconv.Itoa(k)
			s.tasks[k] = &task{step: s, index: k, name: name, nextRun: 1, since: now}
			if j.inherited && !o.handedOff {
				s.tasks[k].nextRun += runMargin
			}
		}
		oc.steps = append(oc.steps, s)
	}
	j.occurrences = append(j.occurrences, oc)
	return oc
}

// settle recounts what is left of an occurrence and which steps may start.
func (o *Orchestrator) settle(oc *occurrence) {
	oc.left = 0
	for _, s := range oc.steps {
		s.left = 0
		for _, t := range s.tasks {
			if !t.done {
				s.left++
			}
		}
		if s.left > 0 {
			oc.left++
		}
	}
	for _, s := range oc.steps {
		s.waits = 0
		for _, a := range s.After {
			if oc.steps[a].left > 0 {
				s.waits++
			}
		}
		o.offer(s)
	}
	o.finishOccurrence(oc)
}

// offer makes a step known to the scheduling pass if its tasks may start.
func (o *Orchestrator) offer(s *step) {
	j := s.occurrence.job
	if s.left == 0 || s.waits > 0 || j.cancelled || j.state.Final() {
		delete(o.ready, s)
		return
	}
	if !o.ready[s] {
		o.ready[s] = true
		s.readyAt = o.now
		if j.runs == 0 {
			j.idleSince = o.now
		}
		for _, t := range s.tasks {
			t.since = o.now
		}
	}
	o.passDue = true
}

// taskDone records that a task has ended well.
func (o *Orchestrator) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s, oc := t.step, t.step.occurrence
	s.left--
	if s.left > 0 {
		return
	}
	delete(o.ready, s)
	oc.left--
	for _, l := range oc.steps {
		if slices.Contains(l.After, s.index) {
			l.waits--
			o.offer(l)
		}
	}
	o.finishOccurrence(oc)
}

func (o *Orchestrator) finishOccurrence(oc *occurrence) {
	j := oc.job
	if oc.left > 0 || j.state.Final() {
		return
	}
	j.finished = append(j.finished, oc.number)
	j.occurrences = slices.DeleteFunc(j.occurrences, func(k *occurrence) bool { return k == oc })
	o.change(j)
	if len(j.finished) >= max(1, j.Occurrences) {
		o.finish(j, StateSucceeded, "every task has ended well")
	}
}

// finish moves a job to a final state, which callers see once it stands in the store.
func (o *Orchestrator) finish(j *job, s State, reason string) {
	if j.state.Final() {
		return
	}
	j.state, j.finishedAt = s, o.now
	o.change(j)
	for _, oc := range j.occurrences {
		for _, st := range oc.steps {
			delete(o.ready, st)
			for _, t := range st.tasks {
				o.stopRuns(t, reason)
			}
		}
	}
	o.do(Note{Event: EventJobFinished, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(s), Reason: reason, Age: o.now.Sub(j.Submitted),
		Figures: fmt.Sprintf("Late=%t", o.now.After(j.deadline))})
	o.do(WriteSoon{})
}

func (o *Orchestrator) cancel(id string) {
	j := o.jobs[id]
	if j == nil || j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	o.finish(j, StateCancelled, "cancelled by a caller")
}

// change marks a job's record as out of date.
func (o *Orchestrator) change(j *job) {
	if j.version == j.written {
		j.changed = o.now
	}
	j.version++
	o.dirty[j.ID] = j
}

// expire drops final states that nobody asks for any more.
func (o *Orchestrator) expire() {
	for id, f := range o.finished {
		if o.now.Sub(f.at) > o.settings.Retention {
			delete(o.finished, id)
			o.expired = append(o.expired, id)
		}
	}
}

// State returns a job's state as callers may see it: a final state only once it stands
// in the store.
func (o *Orchestrator) State(id string) (State, bool) {
	if f, ok := o.finished[id]; ok {
		return f.state, true
	}
	j := o.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.cancelled:
		return StateCancelled, true
	case j.state == StateQueued:
		return StateQueued, true
	}
	return StateRunning, true
}

// Pending returns for each queue the accepted jobs of which no task has started.
func (o *Orchestrator) Pending() map[string]int {
	pending := make(map[string]int)
	for _, j := range o.jobs {
		if !j.started && !j.cancelled && !j.state.Final() {
			pending[j.Policy.Queue]++
		}
	}
	return pending
}

// find returns the task that a worker names.
func (o *Orchestrator) find(name string) *task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := o.jobs[parts[0]]
	number, err1 := strconv.Atoi(parts[1])
	index, err2 := strconv.Atoi(parts[2])
	k, err3 := strconv.Atoi(parts[3])
	if j == nil || cmp.Or(err1, err2, err3) != nil || j.state.Final() || slices.Contains(j.finished, number) {
		return nil
	}
	s := j.stepAt(o, number, index, o.now)
	if s == nil || k < 0 || k >= len(s.tasks) {
		return nil
	}
	return s.tasks[k]
}

// jobOf returns the job's ID in a task's name.
func jobOf(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}

func (t *task) job() *job { return t.step.occurrence.job }

// attempts is how many failed runs fail the task's job.
func (t *task) attempts() int {
	if a := t.job().Policy.Attempts; a > 0 {
		return a
	}
	return defaultAttempts
}
