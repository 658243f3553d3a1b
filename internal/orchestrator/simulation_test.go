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

// simulation runs workers, a store and leaders in virtual time. Its workers execute commands
// as the platform describes it, and it fails the test at each start that breaks a guarantee.
type simulation struct {
	t               reporter
	now             time.Time
	rng             *rand.Rand
	restartRNG      *rand.Rand // draws what concerns restarts of workers
	revision        uint64     // of the store
	workers         map[string]*simulatedWorker
	workerNames     []string // of all workers, sorted
	leaders         []*simulatedLeader
	jobs            map[string]orchestrator.Job
	storedRecords   map[string]orchestrator.Record
	cancelRequests  map[string]bool
	roster          orchestrator.Roster
	currentLeader   int // index of the leader whose writes the store accepts
	pendingCommands []pendingCommand
	done            map[string]bool      // tasks whose successful end has been acknowledged
	succeeded       map[string]bool      // tasks of which a run has ended as done on a worker
	failed          map[string]int       // number of acknowledged failures, by task
	startedAt       map[string]time.Time // last start of each task
	starts          int
	faults          faults
	// maxFirstClock bounds the clocks with which new processes of workers begin, half of them at 0; 0: all begin at 0.
	maxFirstClock time.Duration
	// unbound makes a call that is meant for a worker's former process reach the present one, as if the connection to the former
	// process had outlasted it. Otherwise the worker client sends calls only over connections to the process that they are meant for.
	unbound bool
	// endSeen says that leaders' hosts see the ends of the connections to a former process at once.
	endSeen bool
	// lateAcrossRestarts makes workers execute commands late that got no answer from a former process.
	lateAcrossRestarts bool
	// drawHostClock returns the offset and the rate of the steady clock of the next leader's host; nil: those of real time.
	drawHostClock func() (offset time.Duration, rate float64)
	succeeds      func(task string, run int) bool   // whether a run ends as done
	refuses       func(task string) bool            // whether a worker refuses a start for lack of capacity; nil: never
	drops         func(task string) bool            // whether a start gets no answer and is not executed; nil: never
	dropsStop     func(task string) bool            // the same for a stop
	failsStop     func(a orchestrator.StopRun) bool // whether a stop is not sent, for lack of connections of the leader's host; nil: never
	defers        func(task string) bool            // whether the leader's host lacks the connection for a start; nil: never
	runTime       func(task string, w *simulatedWorker) time.Duration
	notes         []orchestrator.Note
	wallOffset    time.Duration
	endsPerPoll   int                       // ends that a worker lists at once; 0: all
	checkDue      time.Duration             // occurrences must not start earlier than this before they are due; 0: not checked
	lag           time.Duration             // of the leaders' Ticks
	disabled      orchestrator.MechanismSet // of leaders that are elected later
	leaderOffset  time.Duration             // of the time of day of leaders that are elected later
	clock         func() time.Time          // measures passes; nil: not measured
	lease         time.Duration             // of the runs of leaders that are elected later
	crash         crashModel
	evacuations   evacuationModel
	work          map[string]eventWork // of the leaders, by kind of event; nil: not measured
	pollSteps     int64                // steps of run between two polls of a worker
	holdPolls     time.Duration        // interval of polls of workers where no run ends, which hold them for most of it; 0: they answer at once, see pollSteps
	cancels       cancelModel
	startCost     time.Duration  // processor time of the leader's host for a start; 0: none
	startBacklog  time.Duration  // processor time that the decided starts still need
	slowStore     *slowStore     // nil: writes take no time and are confirmed
	policy        *policyService // of queues with advice; nil: there are none
}

// faults holds the probability of each fault of a command.
type faults struct {
	dropped     float64 // a command gets no answer and is not executed
	appliedLate float64 // a command gets no answer and is executed 2 to 12 s later
}

// pendingCommand is a command on the way to a worker.
type pendingCommand struct {
	sentAt time.Time
	at     time.Time // of its arrival
	worker string    // worker that executes the command late, after the leader got no answer; otherwise empty
	leader *simulatedLeader
	action orchestrator.Action
}

// target returns the worker that a command is meant for, the worker's process, and the fence.
func (c pendingCommand) target() (worker string, incarnation int64, fence uint64) {
	switch a := c.action.(type) {
	case orchestrator.StartRun:
		return a.Worker, a.Incarnation, a.Fence
	case orchestrator.StopRun:
		return a.Worker, a.Incarnation, a.Fence
	case orchestrator.ThrottleRun:
		return a.Worker, a.Incarnation, a.Fence
	}
	return "", 0, 0
}

// simulatedRun is a run on a simulatedWorker.
type simulatedRun struct {
	task      string
	number    int
	startedAt time.Time
	endsAt    time.Time
	saved     string
	size      orchestrator.Resources
	persists  bool // its task is long-running
	stopping  bool
	late      bool // it began by a command that got no answer and was executed later
	failing   bool // it fails at once
	speed     int
}

// simulatedWorker executes commands and answers polls as a worker of the platform does.
type simulatedWorker struct {
	entry            orchestrator.WorkerEntry
	former           *orchestrator.WorkerEntry // that a former process wrote, until the present one writes its own
	incarnation      int64
	startedAt        time.Time
	firstClock       time.Duration // its clock at startedAt
	fence            uint64
	leaseEnd         time.Duration // on the worker's clock
	runs             map[string]*simulatedRun
	lastEndedRun     map[string]int // highest number of a run that was stopped or has ended, by task
	ended            []orchestrator.EndedRun
	endCount         int
	endedAt          map[int]time.Time // by number of the end
	listedAt         map[int]time.Time // when the end was first listed to a leader, by its number
	ackedThrough     int
	reportedThrough  int // ends up to this number have been listed to a leader
	endsBeforeExpiry int // the lease has expired after the ends up to this number
	unreachableFrom  map[*simulatedLeader]bool
	waitsFor         *simulatedLeader // a slow leader that has not polled it yet
	drainingAt       time.Time        // when it announced its drain; zero: it has not
	dead             bool
	replaced         bool // another worker answers at its address
	failsTasks       bool // each run ends as failed
	hangsTasks       bool // runs make no progress
	ignoredStops     int  // number of stops that it answers without executing them
	guarded          bool // it refuses starts beyond its capacity
	shrunkFrom       orchestrator.Resources
	shrunkAt         time.Time
	crashAt          time.Time // when it crashes under a task; zero: never
	tailLatencyMs    map[string]int
	disturbedAt      time.Time // when it was last seen to restart, to be dead or cut off, or lost a command
	seenIncarnation  int64     // its process as of disturbedAt
}

// reporter fails a test: *testing.T or *rapid.T.
type reporter interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t reporter, seed uint64) *simulation {
	return &simulation{
		t: t, now: time.Unix(1e9, 0), pollSteps: 10, lease: 4500 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)), restartRNG: rand.New(rand.NewPCG(seed, 2)),
		workers: make(map[string]*simulatedWorker), jobs: make(map[string]orchestrator.Job),
		storedRecords: make(map[string]orchestrator.Record), cancelRequests: make(map[string]bool),
		done: make(map[string]bool), succeeded: make(map[string]bool), failed: make(map[string]int), startedAt: make(map[string]time.Time),
		succeeds: func(string, int) bool { return true },
		runTime:  func(string, *simulatedWorker) time.Duration { return time.Second },
	}
}

// newCluster returns a simulation with n identical workers of one rack, named w0 and so on,
// and a leader that has polled them.
func newCluster(t reporter, n int, capacity orchestrator.Resources) *simulation {
	return newClusterWithout(t, 0, n, capacity)
}

// newClusterWithout is like newCluster, with a leader that does not use the disabled mechanisms.
func newClusterWithout(t reporter, disabled orchestrator.MechanismSet, n int, capacity orchestrator.Resources) *simulation {
	w := newSimulation(t, 1)
	w.disabled = disabled
	for i := range n {
		w.addWorker(fmt.Sprintf("w%d", i), capacity, "r0")
	}
	w.elect(false)
	w.run(time.Second)
	return w
}

func (w *simulation) addWorker(name string, capacity orchestrator.Resources, rack string) *simulatedWorker {
	k := &simulatedWorker{
		entry: orchestrator.WorkerEntry{ID: name, Service: "s", Capacity: capacity, Rack: rack, Labels: []string{"a", rack},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.workers) + 1)}), 80)},
		incarnation: w.now.UnixMilli(), startedAt: w.now, runs: make(map[string]*simulatedRun), lastEndedRun: make(map[string]int), endedAt: make(map[int]time.Time), listedAt: make(map[int]time.Time),
		unreachableFrom: make(map[*simulatedLeader]bool), tailLatencyMs: make(map[string]int),
	}
	w.workers[name] = k
	if i, ok := slices.BinarySearch(w.workerNames, name); !ok {
		w.workerNames = slices.Insert(w.workerNames, i, name)
	}
	return k
}

// listedWorkers returns the entries of all workers that have not died.
func (w *simulation) listedWorkers() []orchestrator.WorkerEntry {
	var es []orchestrator.WorkerEntry
	for _, n := range w.workerNames {
		if k := w.workers[n]; !k.dead && !k.replaced {
			es = append(es, k.listedEntry())
		}
	}
	return es
}

// submit stores a job under the current leader.
func (w *simulation) submit(j orchestrator.Job) {
	if j.Submitted.IsZero() {
		j.Submitted = w.now
	}
	j.Epoch = w.leader().epoch
	if j.Policy.Service == "" {
		j.Policy = orchestrator.Policy{Queue: j.Policy.Queue, Service: "s", Attempts: max(3, j.Policy.Attempts), Priority: j.Policy.Priority, Stretch: 2, TargetDuration: time.Second, Guarded: j.Policy.Guarded}
	}
	w.jobs[j.ID] = j
	w.leader().step(orchestrator.JobAccepted{Job: j, Revision: j.Epoch + 1})
}

// deliver executes a command, drops it or delays it.
func (w *simulation) deliver(c pendingCommand) {
	answered := c.worker == ""
	worker, incarnation, _ := c.target()
	if a, ok := c.action.(orchestrator.StartRun); ok && answered && w.defers != nil && w.defers(a.Task) {
		w.answerCommand(c, orchestrator.StartDeferred)
		return
	}
	if a, ok := c.action.(orchestrator.StopRun); ok && answered && w.failsStop != nil && w.failsStop(a) {
		w.answerCommand(c, orchestrator.StartUnanswered)
		return
	}
	k := w.workers[worker]
	if a, ok := c.action.(orchestrator.StartRun); ok && answered {
		w.checkSentStart(c.leader, a)
		w.checkSentToDraining(c.leader, a, c.sentAt)
	}
	if answered && k != nil && incarnation != k.incarnation && !w.unbound {
		// A call over a connection that ends with the former process gets no answer; without such a connection it is not sent.
		outcome := orchestrator.StartUnanswered
		if w.endSeen {
			outcome = orchestrator.StartNotSent
		}
		w.answerCommand(c, outcome)
		return
	}
	if k == nil || k.dead || k.unreachableFrom[c.leader] {
		if answered {
			w.answerCommand(c, orchestrator.StartUnanswered)
		}
		return
	}
	if a, ok := c.action.(orchestrator.StartRun); ok && answered && w.drops != nil && w.drops(a.Task) {
		k.disturbedAt = w.now
		w.answerCommand(c, orchestrator.StartUnanswered)
		return
	}
	if a, ok := c.action.(orchestrator.StopRun); ok && answered && w.dropsStop != nil && w.dropsStop(a.Task) {
		k.disturbedAt = w.now
		w.answerCommand(c, orchestrator.StartUnanswered)
		return
	}
	if answered {
		switch p := w.rng.Float64(); {
		case p < w.faults.dropped:
			k.disturbedAt = w.now
			w.answerCommand(c, orchestrator.StartUnanswered)
			return
		case p < w.faults.dropped+w.faults.appliedLate:
			k.disturbedAt = w.now
			w.answerCommand(c, orchestrator.StartUnanswered)
			c.worker, c.at = worker, w.now.Add(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))))
			w.pendingCommands = append(w.pendingCommands, c)
			return
		}
	}
	outcome := orchestrator.StartReplaced
	if !k.replaced {
		outcome = k.execute(w, c)
	}
	if k.dead { // it has crashed before it could answer
		outcome = orchestrator.StartUnanswered
	}
	if answered {
		w.answerCommand(c, outcome)
	}
}

// answerClock returns the clock in the answer to a command with an outcome.
func (k *simulatedWorker) answerClock(outcome orchestrator.StartOutcome, now time.Time) time.Duration {
	switch outcome {
	case orchestrator.StartUnanswered, orchestrator.StartNotSent, orchestrator.StartDeferred, orchestrator.StartReplaced:
		return 0
	}
	return k.clock(now)
}

// answerCommand passes the outcome of a command to the leader that sent it.
func (w *simulation) answerCommand(c pendingCommand, outcome orchestrator.StartOutcome) {
	answered := outcome != orchestrator.StartUnanswered && outcome != orchestrator.StartNotSent
	switch a := c.action.(type) {
	case orchestrator.StartRun:
		e := orchestrator.StartAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Fence: a.Fence, Run: a.Run, Outcome: outcome, SentAt: c.sentAt, ReceivedAt: w.now}
		if k := w.workers[a.Worker]; k != nil {
			e.Clock = k.answerClock(outcome, w.now)
		}
		c.leader.step(e)
	case orchestrator.StopRun:
		c.leader.step(orchestrator.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Answered: answered, Fenced: outcome == orchestrator.StartFenced, Fence: a.Fence})
	case orchestrator.ThrottleRun:
		c.leader.step(orchestrator.ThrottleAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Percent: a.Percent,
			Answered: answered && outcome != orchestrator.StartFenced})
	}
}

// clock returns the worker's clock, which is 2% slow, the most that the platform allows.
func (k *simulatedWorker) clock(now time.Time) time.Duration {
	return k.firstClock + time.Duration(0.98*float64(now.Sub(k.startedAt)))
}

// execute executes a command and returns its outcome. A stop or a throttle command that the
// worker has executed returns StartAccepted too.
func (k *simulatedWorker) execute(w *simulation, c pendingCommand) orchestrator.StartOutcome {
	_, _, fence := c.target()
	if fence < k.fence {
		return orchestrator.StartFenced
	}
	k.fence = fence
	switch a := c.action.(type) {
	case orchestrator.StartRun:
		return k.checkedStart(w, c, a)
	case orchestrator.StopRun:
		if k.ignoredStops > 0 {
			k.ignoredStops--
			k.disturbedAt = w.now
			return orchestrator.StartAccepted
		}
		k.lastEndedRun[a.Task] = max(k.lastEndedRun[a.Task], a.Run)
		if r := k.runs[a.Task]; r != nil && r.number == a.Run && !r.stopping {
			r.stopping, r.endsAt = true, w.now.Add(300*time.Millisecond)
		}
	case orchestrator.ThrottleRun:
		if r := k.runs[a.Task]; r != nil && r.number == a.Run {
			r.speed = a.Percent
		}
	}
	return orchestrator.StartAccepted
}

// startRun executes a start.
func (k *simulatedWorker) startRun(w *simulation, l *simulatedLeader, a orchestrator.StartRun) orchestrator.StartOutcome {
	if r := k.runs[a.Task]; r != nil && r.number == a.Run {
		return orchestrator.StartAccepted
	}
	if a.Run <= k.lastEndedRun[a.Task] || k.runs[a.Task] != nil {
		return orchestrator.StartSuperseded
	}
	if a.LeaseEnd <= k.clock(w.now) {
		return orchestrator.StartExpired
	}
	if w.advised(a.Task) && !w.policy.accepts(k, a.Ticket, w.now) {
		return orchestrator.StartNoTicket
	}
	if k.guarded && !k.hasRoom(w, a.Task, k.entry.Capacity) || w.refuses != nil && w.refuses(a.Task) {
		return orchestrator.StartNoCapacity
	}
	k.leaseEnd = max(k.leaseEnd, min(a.LeaseEnd, k.clock(w.now)+10*time.Second))
	w.checkStart(k, a)
	w.checkCrashes(l, a.Task)
	w.starts++
	w.startedAt[a.Task] = w.now
	r := &simulatedRun{task: a.Task, number: a.Run, startedAt: w.now, endsAt: w.now.Add(w.runTime(a.Task, k)), saved: a.Saved, speed: 100, size: w.sizeOf(a.Task), persists: w.longRunning(a.Task)}
	k.runs[a.Task] = r
	if c := &w.crash; c.crashes != nil && c.crashes(a.Task) {
		k.crashAt = w.now.Add(c.delay)
		if c.unanswered {
			w.crashWorker(k)
		}
	}
	return orchestrator.StartAccepted
}

// shrinkGrace is how long after a worker's capacity has shrunk the platform allows starts up to the former one.
const shrinkGrace = 4500 * time.Millisecond

// hasRoom reports whether a task fits on the worker beside its runs, including those that are being stopped.
func (k *simulatedWorker) hasRoom(w *simulation, task string, capacity orchestrator.Resources) bool {
	used := w.sizeOf(task)
	for _, r := range k.runs {
		used.CPU += r.size.CPU
		used.Memory += r.size.Memory
	}
	return used.CPU <= capacity.CPU && used.Memory <= capacity.Memory
}

// resize changes a worker's capacity. Leaders that reach the store hear of it.
func (w *simulation) resize(k *simulatedWorker, capacity orchestrator.Resources) {
	if capacity.CPU < k.entry.Capacity.CPU || capacity.Memory < k.entry.Capacity.Memory {
		k.shrunkFrom, k.shrunkAt = k.entry.Capacity, w.now
	}
	k.entry.Capacity = capacity
	k.announce(w)
}

// notesOf returns the notes of an event.
func (w *simulation) notesOf(event string) []orchestrator.Note {
	var ns []orchestrator.Note
	for _, n := range w.notes {
		if n.Event == event {
			ns = append(ns, n)
		}
	}
	return ns
}

// history returns the notes on a task and on lost workers.
func (w *simulation) history(task string) string {
	var b strings.Builder
	for _, n := range w.notes {
		if n.Task == task || n.Event == orchestrator.EventWorkerLost {
			fmt.Fprintf(&b, "\n%+v", n)
		}
	}
	return b.String()
}

// workerHistory returns the notes on a worker.
func (w *simulation) workerHistory(id string) string {
	var b strings.Builder
	for _, n := range w.notes {
		if n.Worker == id {
			fmt.Fprintf(&b, "\n%+v", n)
		}
	}
	return b.String()
}

// sizeOf returns the size of a task, without the processors if it is best-effort.
func (w *simulation) sizeOf(task string) orchestrator.Resources {
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

func (w *simulation) elapsed() time.Duration {
	return w.now.Sub(time.Unix(1e9, 0)).Round(time.Millisecond)
}

// advance ends the runs on a worker that are due or whose lease has expired.
func (k *simulatedWorker) advance(w *simulation) {
	expired := k.clock(w.now) >= k.leaseEnd
	if expired {
		k.endsBeforeExpiry = k.endCount
	}
	ends := make(map[string]orchestrator.EndCause)
	for name, r := range k.runs {
		switch {
		case expired:
			ends[name] = orchestrator.EndExpired
		case r.failing:
			ends[name] = orchestrator.EndFailed
		case r.stopping && !w.now.Before(r.endsAt):
			ends[name] = orchestrator.EndStopped
		case !r.stopping && !k.hangsTasks && !w.now.Before(r.endsAt) && !r.persists:
			ends[name] = orchestrator.EndDone
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		r, how := k.runs[name], ends[name]
		if how == orchestrator.EndDone && (k.failsTasks || !w.succeeds(name, r.number)) {
			how = orchestrator.EndFailed
		}
		if how == orchestrator.EndDone {
			w.succeeded[name] = true
		}
		delete(k.runs, name)
		k.lastEndedRun[name] = max(k.lastEndedRun[name], r.number)
		k.endCount++
		k.endedAt[k.endCount] = w.now
		k.ended = append(k.ended, orchestrator.EndedRun{Number: k.endCount, Task: name, Run: r.number, How: how, Saved: r.saved})
	}
}

// advised reports whether the outside policy decides where a task may run.
func (w *simulation) advised(task string) bool {
	return w.policy != nil && w.jobs[strings.SplitN(task, ".", 2)[0]].Policy.Advised
}

// longRunning reports whether a task runs until its job is cancelled.
func (w *simulation) longRunning(task string) bool {
	j := w.jobs[strings.SplitN(task, ".", 2)[0]]
	var number, index, k int
	if _, err := fmt.Sscanf(task[len(j.ID):], ".%d.%d.%d", &number, &index, &k); err != nil {
		return false
	}
	return j.Steps[index].LongRunning
}

// run advances the virtual time by d, in steps of 10 ms.
func (w *simulation) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.tick(step)
	}
}

func (w *simulation) tick(d time.Duration) {
	w.returnWorkers()
	if w.slowStore != nil {
		w.slowStore.advance()
	}
	if w.policy != nil {
		w.policy.advance(w)
	}
	if w.startCost > 0 {
		w.startBacklog = max(0, w.startBacklog-d)
		w.lag = w.startBacklog
	}
	commands := w.pendingCommands
	w.pendingCommands = nil
	for _, c := range commands {
		if c.at.After(w.now) {
			w.pendingCommands = append(w.pendingCommands, c)
			continue
		}
		w.deliver(c)
	}
	ms := w.elapsed().Milliseconds()
	for _, n := range w.workerNames {
		if k := w.workers[n]; !k.dead {
			k.advance(w)
		}
	}
	w.notePresentTasks()
	w.checkCancelled()
	for _, l := range w.leaders {
		if l.frozen && !l.deposed {
			l.answerHeldPolls()
		}
		if l.deposed || l.frozen || l.reads {
			continue
		}
		l.readAnswers()
		if ms%50 == 0 {
			l.step(orchestrator.Tick{WallOffset: w.wallOffset + l.wallOffset, Lag: w.lag})
		}
		if ms%100 == 0 {
			l.write(false)
		}
		if ms%1000 == 0 && !l.storeUnreachable {
			l.catchUp()
			l.watchWorkers()
		}
		if l.watchedNames == nil {
			l.watchedNames = slices.Sorted(maps.Keys(l.watched))
		}
		for i, n := range l.watchedNames {
			switch {
			case w.holdPolls > 0:
				l.pollHeld(w.workers[n])
			case (ms/10)%w.pollSteps == int64(i)%w.pollSteps:
				l.poll(w.workers[n])
			}
		}
	}
}

// state returns a job's state as callers of the current leader see it.
func (w *simulation) state(id string) orchestrator.State {
	s, _ := w.leader().o.State(id)
	return s
}

// runningOn returns the worker of each running task of a job, sorted.
func (w *simulation) runningOn(id string) []string {
	var ws []string
	for _, n := range w.workerNames {
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

// simpleJob returns a job of one step.
func simpleJob(id string, tasks int, size orchestrator.Resources) orchestrator.Job {
	return orchestrator.Job{ID: id, Steps: []orchestrator.Step{{Count: tasks, Size: size, Estimate: time.Second}}}
}
