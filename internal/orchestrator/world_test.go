package orchestrator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
)

// world is a set of workers, a store and leaders in virtual time. It carries out orders
// as the platform describes them and checks the guarantees as they are broken.
type world struct {
	t               reporter
	now             time.Time
	rng             *rand.Rand
	epoch           uint64
	workers         map[string]*fakeWorker
	leaders         []*fakeLeader
	jobs            map[string]orchestrator.Job
	stored          map[string]orchestrator.Record
	cancels         map[string]bool
	roster          orchestrator.Roster
	currentLeader   int // leader whose writes the store accepts
	pendingCommands []pendingCommand
	done            map[string]bool // tasks whose end as done was acknowledged
	failed          map[string]int  // acknowledged failures
	starts          int
	faults          faults
	succeeds        func(task string, run int) bool // whether a run ends as done
	runTime         func(task string, w *fakeWorker) time.Duration
	notes           []orchestrator.Note
	wallOffset      time.Duration
}

// faults are probabilities.
type faults struct {
	dropped     float64 // an order gets no answer and is not carried out
	appliedLate float64 // an order gets no answer and is carried out 2 to 12 s later
}

type pendingCommand struct {
	at     time.Time
	worker string
	leader *fakeLeader
	action orchestrator.Action
}

type fakeRun struct {
	task      string
	number    int
	startedAt time.Time
	endsAt    time.Time
	saved     string
	stopping  bool
	speed     int
}

type fakeWorker struct {
	entry              orchestrator.WorkerEntry
	incarnation        int64
	startedAt          time.Time
	fence              uint64
	lease              time.Duration // on the worker's clock
	runs               map[string]*fakeRun
	lastEndedRun       map[string]int // runs that were stopped or have ended
	ended              []orchestrator.EndedRow
	endCount           int
	ackedUpto          int
	endsBeforeLeaseEnd int // ends up to this number were followed by the end of the lease
	cut                map[*fakeLeader]bool
	dead               bool
	failsTasks         bool // fails what it starts
	hangsTasks         bool // its tasks stand still
	ignoredStops       int  // stops that it answers without carrying them out
	tailLatencyMs      map[string]int
}

type fakeLeader struct {
	w        *world
	id       int
	epoch    uint64
	o        *orchestrator.Orchestrator
	watched  map[string]bool
	polledAt map[string]time.Time
	noStore  bool
	deposed  bool
	frozen   bool
	inbox    []orchestrator.Event
}

// reporter fails a test: *testing.T or *rapid.T.
type reporter interface {
	Fatalf(format string, args ...any)
}

func newWorld(t reporter, seed uint64) *world {
	return &world{
		t: t, now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[string]*fakeWorker), jobs: make(map[string]orchestrator.Job),
		stored: make(map[string]orchestrator.Record), cancels: make(map[string]bool),
		done: make(map[string]bool), failed: make(map[string]int),
		succeeds: func(string, int) bool { return true },
		runTime:  func(string, *fakeWorker) time.Duration { return time.Second },
	}
}

// newCluster returns a world with n equal workers of one rack, w0 and so on, and a leader
// that has reached them.
func newCluster(t reporter, n int, room orchestrator.Resources) *world {
	w := newWorld(t, 1)
	for i := range n {
		w.addWorker(fmt.Sprintf("w%d", i), room, "r0")
	}
	w.elect(false)
	w.run(time.Second)
	return w
}

func (w *world) addWorker(name string, room orchestrator.Resources, rack string) *fakeWorker {
	k := &fakeWorker{
		entry: orchestrator.WorkerEntry{ID: name, Service: "s", Room: room, Rack: rack, Labels: []string{"a", rack},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.workers) + 1)}), 80)},
		incarnation: w.now.UnixMilli(), startedAt: w.now, runs: make(map[string]*fakeRun), lastEndedRun: make(map[string]int),
		cut: make(map[*fakeLeader]bool), tailLatencyMs: make(map[string]int),
	}
	w.workers[name] = k
	return k
}

func (w *world) entries() []orchestrator.WorkerEntry {
	var es []orchestrator.WorkerEntry
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		if !w.workers[n].dead {
			es = append(es, w.workers[n].entry)
		}
	}
	return es
}

// elect makes a new leader, to which the store listens from then on.
func (w *world) elect(handedOff bool) *fakeLeader {
	w.epoch += 100
	l := &fakeLeader{w: w, id: len(w.leaders), epoch: w.epoch, watched: make(map[string]bool), polledAt: make(map[string]time.Time)}
	l.o = orchestrator.New(orchestrator.Settings{
		Epoch: w.epoch, ElectedAt: w.now, ConfirmedAt: w.now, Lease: 4500 * time.Millisecond, Authority: 9 * time.Second,
		MaxLease: 10 * time.Second, Retention: time.Hour, FarFactor: 3,
	})
	w.leaders = append(w.leaders, l)
	w.currentLeader = l.id
	inherited := orchestrator.Inherited{Roster: w.roster, HandedOff: handedOff}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := orchestrator.InheritedJob{Job: w.jobs[id], Cancelled: w.cancels[id]}
		if r, ok := w.stored[id]; ok {
			j.Record = &r
			if r.State.Final() {
				inherited.Finished = append(inherited.Finished, r)
				continue
			}
		}
		inherited.Jobs = append(inherited.Jobs, j)
	}
	l.step(inherited)
	l.step(orchestrator.WorkersListed{Workers: w.entries()})
	return l
}

func (w *world) leader() *fakeLeader { return w.leaders[w.currentLeader] }

// submit stores a job under the present leader.
func (w *world) submit(j orchestrator.Job) {
	if j.Submitted.IsZero() {
		j.Submitted = w.now
	}
	j.Epoch = w.leader().epoch
	if j.Policy.Service == "" {
		j.Policy = orchestrator.Policy{Queue: j.Policy.Queue, Service: "s", Attempts: max(3, j.Policy.Attempts), Priority: j.Policy.Priority, Stretch: 2, TargetDuration: time.Second}
	}
	w.jobs[j.ID] = j
	w.leader().step(orchestrator.JobAccepted{Job: j, Revision: j.Epoch + 1})
}

func (w *world) cancel(id string) {
	w.cancels[id] = true
	w.leader().step(orchestrator.CancelRequested{ID: id})
}

func (l *fakeLeader) step(e orchestrator.Event) {
	if l.deposed {
		return
	}
	if l.frozen {
		switch e.(type) {
		case orchestrator.StartAnswered, orchestrator.StopAnswered, orchestrator.PaceAnswered:
			l.inbox = append(l.inbox, e) // answers are read when the process wakes
		}
		return
	}
	for _, a := range l.o.Step(e, l.w.now) {
		l.handleAction(a)
	}
}

func (l *fakeLeader) handleAction(a orchestrator.Action) {
	w := l.w
	switch a := a.(type) {
	case orchestrator.WatchWorker:
		l.watched[a.Worker.ID] = true
	case orchestrator.ForgetWorker:
		delete(l.watched, a.ID)
	case orchestrator.StepDown:
		l.deposed = true
	case orchestrator.Note:
		w.notes = append(w.notes, a)
	case orchestrator.StartRun, orchestrator.StopRun, orchestrator.PaceRun:
		// Orders arrive after the step that gave them.
		w.pendingCommands = append(w.pendingCommands, pendingCommand{at: w.now.Add(time.Millisecond), leader: l, action: a})
	case orchestrator.WriteSoon, orchestrator.AskAdvice:
	}
}

// deliver carries out an order, or loses it.
func (w *world) deliver(o pendingCommand) {
	answered := o.worker == ""
	id := ""
	switch a := o.action.(type) {
	case orchestrator.StartRun:
		id = a.Worker
	case orchestrator.StopRun:
		id = a.Worker
	case orchestrator.PaceRun:
		id = a.Worker
	}
	k := w.workers[id]
	if k == nil || k.dead || k.cut[o.leader] {
		if answered {
			w.answer(o, orchestrator.StartUnknown)
		}
		return
	}
	if answered {
		switch r := w.rng.Float64(); {
		case r < w.faults.dropped:
			w.answer(o, orchestrator.StartUnknown)
			return
		case r < w.faults.dropped+w.faults.appliedLate:
			w.answer(o, orchestrator.StartUnknown)
			o.worker, o.at = id, w.now.Add(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))))
			w.pendingCommands = append(w.pendingCommands, o)
			return
		}
	}
	outcome := k.execute(w, o)
	if answered {
		w.answer(o, outcome)
	}
}

func (w *world) answer(o pendingCommand, outcome orchestrator.StartOutcome) {
	answered := outcome != orchestrator.StartUnknown
	switch a := o.action.(type) {
	case orchestrator.StartRun:
		o.leader.step(orchestrator.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Outcome: outcome})
	case orchestrator.StopRun:
		o.leader.step(orchestrator.StopAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Answered: answered, Fenced: outcome == orchestrator.StartFenced})
	case orchestrator.PaceRun:
		o.leader.step(orchestrator.PaceAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Percent: a.Percent, Answered: answered})
	}
}

// clock is 2% slow, the most that the platform allows.
func (k *fakeWorker) clock(now time.Time) time.Duration {
	return time.Duration(0.98 * float64(now.Sub(k.startedAt)))
}

func (k *fakeWorker) execute(w *world, o pendingCommand) orchestrator.StartOutcome {
	if o.leader.epoch < k.fence {
		return orchestrator.StartFenced
	}
	k.fence = o.leader.epoch
	switch a := o.action.(type) {
	case orchestrator.StartRun:
		return k.startRun(w, a)
	case orchestrator.StopRun:
		if k.ignoredStops > 0 {
			k.ignoredStops--
			return orchestrator.StartAccepted
		}
		k.lastEndedRun[a.Task] = max(k.lastEndedRun[a.Task], a.Run)
		if r := k.runs[a.Task]; r != nil && r.number == a.Run && !r.stopping {
			r.stopping, r.endsAt = true, w.now.Add(300*time.Millisecond)
		}
	case orchestrator.PaceRun:
		if r := k.runs[a.Task]; r != nil && r.number == a.Run {
			r.speed = a.Percent
		}
	}
	return orchestrator.StartAccepted
}

func (k *fakeWorker) startRun(w *world, a orchestrator.StartRun) orchestrator.StartOutcome {
	if r := k.runs[a.Task]; r != nil && r.number == a.Run {
		return orchestrator.StartAccepted
	}
	if a.Run <= k.lastEndedRun[a.Task] || k.runs[a.Task] != nil {
		return orchestrator.StartOld
	}
	if a.Deadline <= k.clock(w.now) {
		return orchestrator.StartLate
	}
	k.lease = max(k.lease, min(a.Deadline, k.clock(w.now)+10*time.Second))
	w.checkStart(k, a)
	w.starts++
	r := &fakeRun{task: a.Task, number: a.Run, startedAt: w.now, endsAt: w.now.Add(w.runTime(a.Task, k)), saved: a.Saved, speed: 100}
	k.runs[a.Task] = r
	return orchestrator.StartAccepted
}

// checkStart fails the test if a start breaks a guarantee.
func (w *world) checkStart(k *fakeWorker, a orchestrator.StartRun) {
	j := w.jobs[strings.SplitN(a.Task, ".", 2)[0]]
	var number, index, task int
	if _, err := fmt.Sscanf(a.Task[len(j.ID):], ".%d.%d.%d", &number, &index, &task); err != nil {
		w.t.Fatalf("task %q has no step: %v", a.Task, err)
	}
	s := j.Steps[index]
	for n, other := range w.workers {
		if r := other.runs[a.Task]; r != nil && !other.dead && !s.Speculative {
			w.t.Fatalf("%s: run %d of %s starts on %s while run %d is on %s%s", w.elapsed(), a.Run, a.Task, k.entry.ID, r.number, n, w.history(a.Task))
		}
	}
	if w.done[a.Task] {
		w.t.Fatalf("%s: run %d of %s starts after an acknowledged end as done%s", w.elapsed(), a.Run, a.Task, w.history(a.Task))
	}
	if !s.LongRunning && w.failed[a.Task] >= j.Policy.Attempts {
		w.t.Fatalf("%s: run %d of %s starts after %d failures", w.elapsed(), a.Run, a.Task, w.failed[a.Task])
	}
	used := orchestrator.Resources{}
	for _, r := range k.runs {
		size := w.sizeOf(r.task)
		used.CPU += size.CPU
		used.Memory += size.Memory
	}
	size := w.sizeOf(a.Task)
	if used.CPU+size.CPU > k.entry.Room.CPU || used.Memory+size.Memory > k.entry.Room.Memory {
		w.t.Fatalf("%s: %s does not fit on %s beside %+v: %v%s", w.elapsed(), a.Task, k.entry.ID, used, slices.Sorted(maps.Keys(k.runs)), w.workerHistory(k.entry.ID))
	}
}

// history returns what was noted of a task.
func (w *world) history(task string) string {
	var b strings.Builder
	for _, n := range w.notes {
		if n.Task == task || n.Event == orchestrator.EventWorkerLost {
			fmt.Fprintf(&b, "\n%+v", n)
		}
	}
	return b.String()
}

// workerHistory returns what was noted of a worker.
func (w *world) workerHistory(id string) string {
	var b strings.Builder
	for _, n := range w.notes {
		if n.Worker == id {
			fmt.Fprintf(&b, "\n%+v", n)
		}
	}
	return b.String()
}

func (w *world) sizeOf(task string) orchestrator.Resources {
	j := w.jobs[strings.SplitN(task, ".", 2)[0]]
	var number, index, k int
	if _, err := fmt.Sscanf(task[len(j.ID):], ".%d.%d.%d", &number, &index, &k); err != nil {
		w.t.Fatalf("task %q has no step: %v", task, err)
	}
	size := j.Steps[index].Size
	if j.Steps[index].Fills {
		size.CPU = 0
	}
	return size
}

func (w *world) elapsed() time.Duration { return w.now.Sub(time.Unix(1e9, 0)).Round(time.Millisecond) }

// advance ends runs and leases on a worker.
func (k *fakeWorker) advance(w *world) {
	lapsed := k.clock(w.now) >= k.lease
	if lapsed {
		k.endsBeforeLeaseEnd = k.endCount
	}
	for _, name := range slices.Sorted(maps.Keys(k.runs)) {
		r := k.runs[name]
		how := orchestrator.EndHow("")
		switch {
		case lapsed:
			how = orchestrator.EndLapsed
		case r.stopping && !w.now.Before(r.endsAt):
			how = orchestrator.EndStopped
		case !r.stopping && !k.hangsTasks && !w.now.Before(r.endsAt) && !w.longRunning(name):
			how = orchestrator.EndDone
			if k.failsTasks || !w.succeeds(name, r.number) {
				how = orchestrator.EndFailed
			}
		}
		if how == "" {
			continue
		}
		delete(k.runs, name)
		k.lastEndedRun[name] = max(k.lastEndedRun[name], r.number)
		k.endCount++
		k.ended = append(k.ended, orchestrator.EndedRow{Number: k.endCount, Task: name, Run: r.number, How: how, Saved: r.saved})
	}
}

func (w *world) longRunning(task string) bool {
	j := w.jobs[strings.SplitN(task, ".", 2)[0]]
	var number, index, k int
	if _, err := fmt.Sscanf(task[len(j.ID):], ".%d.%d.%d", &number, &index, &k); err != nil {
		return false
	}
	return j.Steps[index].LongRunning
}

// poll is one poll of a leader at a worker.
func (l *fakeLeader) poll(k *fakeWorker) {
	w := l.w
	r, ok := l.o.NextLook(k.entry.ID, w.now)
	if !ok || l.deposed || l.frozen {
		return
	}
	if k.dead || k.cut[l] {
		l.step(orchestrator.LookFailed{Worker: k.entry.ID})
		return
	}
	if l.epoch < k.fence {
		l.step(orchestrator.LookFailed{Worker: k.entry.ID, Fenced: true})
		return
	}
	k.fence = l.epoch
	if r.Deadline > 0 {
		k.lease = max(k.lease, min(r.Deadline, k.clock(w.now)+10*time.Second))
	}
	k.acknowledge(w, r.AckedUpto)
	a := orchestrator.LookAnswered{Worker: k.entry.ID, Born: k.incarnation, Clock: k.clock(w.now), SentAt: w.now, ReceivedAt: w.now}
	for _, name := range slices.Sorted(maps.Keys(k.runs)) {
		run := k.runs[name]
		percent := 100
		if !w.longRunning(name) {
			percent = min(99, int(100*w.now.Sub(run.startedAt)/max(1, run.endsAt.Sub(run.startedAt))))
		}
		if k.hangsTasks {
			percent = 1
		}
		a.Running = append(a.Running, orchestrator.RunningRow{Task: name, Run: run.number, Percent: percent, Figure: k.tailLatencyMs[name]})
	}
	for _, e := range k.ended {
		if e.Number > k.ackedUpto {
			a.Ended = append(a.Ended, e)
		}
	}
	l.step(a)
}

func (k *fakeWorker) acknowledge(w *world, upto int) {
	for _, e := range k.ended {
		if e.Number > max(k.ackedUpto, k.endsBeforeLeaseEnd) && e.Number <= upto {
			switch e.How {
			case orchestrator.EndDone:
				w.done[e.Task] = true
			case orchestrator.EndFailed:
				w.failed[e.Task]++
			default:
			}
		}
	}
	k.ackedUpto = max(k.ackedUpto, upto)
}

// write brings a leader's changes to the store, which only listens to the newest one.
func (l *fakeLeader) write(all bool) {
	if l.noStore || l.deposed || l.frozen {
		return
	}
	if l.id != l.w.currentLeader {
		l.deposed = true
		return
	}
	b, _ := l.o.NextBatch(9, all, l.w.now)
	for _, e := range b.Entries {
		l.w.stored[e.Record.ID] = e.Record
	}
	if b.Roster != nil {
		l.w.roster = *b.Roster
	}
	l.step(orchestrator.Confirmed{SentAt: l.w.now})
	l.step(orchestrator.Written{Batch: b})
}

// catchUp finds the jobs and requests to cancel of which no notice has come.
func (l *fakeLeader) catchUp() {
	for _, id := range slices.Sorted(maps.Keys(l.w.jobs)) {
		if r, ok := l.w.stored[id]; !ok || !r.State.Final() {
			l.step(orchestrator.JobAccepted{Job: l.w.jobs[id], Revision: l.w.jobs[id].Epoch + 1})
		}
		if l.w.cancels[id] {
			l.step(orchestrator.CancelRequested{ID: id})
		}
	}
}

// handOver ends a leadership cleanly and returns whether its records are complete.
func (l *fakeLeader) handOver() bool {
	l.step(orchestrator.HandOver{})
	clean := l.o.KnowsRuns()
	for range 1000 {
		if _, more := l.o.NextBatch(9, true, l.w.now); !more {
			break
		}
		l.write(true)
	}
	l.deposed = true
	return clean
}

// run lets virtual time pass in steps of 10 ms.
func (w *world) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.tick(step)
	}
}

func (w *world) tick(time.Duration) {
	orders := w.pendingCommands
	w.pendingCommands = nil
	for _, o := range orders {
		if o.at.After(w.now) {
			w.pendingCommands = append(w.pendingCommands, o)
			continue
		}
		w.deliver(o)
	}
	ms := w.elapsed().Milliseconds()
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		if k := w.workers[n]; !k.dead {
			k.advance(w)
		}
	}
	for _, l := range w.leaders {
		if l.deposed || l.frozen {
			continue
		}
		inbox := l.inbox
		l.inbox = nil
		for _, e := range inbox {
			l.step(e)
		}
		if ms%50 == 0 {
			l.step(orchestrator.Tick{WallOffset: w.wallOffset})
		}
		if ms%100 == 0 {
			l.write(false)
		}
		if ms%1000 == 0 && !l.noStore {
			l.catchUp()
		}
		for i, n := range slices.Sorted(maps.Keys(l.watched)) {
			if (ms/10)%10 == int64(i%10) {
				l.poll(w.workers[n])
			}
		}
	}
}

// state returns a job's state as callers of the newest leader see it.
func (w *world) state(id string) orchestrator.State {
	s, _ := w.leader().o.State(id)
	return s
}

// runningOn returns the workers on which tasks of a job run.
func (w *world) runningOn(id string) []string {
	var ws []string
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		for t := range w.workers[n].runs {
			if strings.HasPrefix(t, id+".") {
				ws = append(ws, n)
			}
		}
	}
	return ws
}

func cores(n float64, gigabytes int) orchestrator.Resources {
	return orchestrator.Resources{CPU: int(1000 * n), Memory: 1000 * gigabytes}
}

func simpleJob(id string, tasks int, size orchestrator.Resources) orchestrator.Job {
	return orchestrator.Job{ID: id, Steps: []orchestrator.Step{{Count: tasks, Size: size, Estimate: time.Second}}}
}
