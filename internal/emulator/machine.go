package emulator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

// Defaults of MachineOptions.
const (
	DefaultReportLag         = 500 * time.Millisecond
	DefaultSampleInterval    = 100 * time.Millisecond
	DefaultStartTime         = 20 * time.Millisecond
	DefaultCheckpointTime    = 50 * time.Millisecond
	DefaultServiceLeaseGrace = 10 * time.Minute
)

// MachineOptions configures a Machine. Zero fields take the defaults.
type MachineOptions struct {
	Name              string
	Incarnation       string // default: derived from the name and the start time
	Capacity          configurator.Resources
	ReportLag         time.Duration // age of the usage figures in reports
	SampleInterval    time.Duration // interval between measurements of usage
	StartTime         time.Duration // from the Start command until the task runs
	CheckpointTime    time.Duration // duration of a checkpoint
	ServiceLeaseGrace time.Duration // how long a service task keeps running after its lease has ended
	Interference      *Interference // default: NewInterference(Seed, DefaultMaxCoefficient)
	RunLog            *RunLog       // shared by the machines of a test; default: its own
	Launch            Launcher      // starts instances; nil: service tasks have no address
	Faults            Faults
	Seed              uint64
}

// Instance is the backend server of a service task.
type Instance interface {
	Address() string
	Load() float64 // running requests divided by slots
	SetSlowdown(factor float64)
	Drain() // answers new requests with "not run" from now on
	InFlight() int
	Stop() // returns at once
}

// Launcher starts an instance for a service task on an address that it chooses.
type Launcher func(c commander.Command) (Instance, error)

// MachineCounts counts the calls, commands and task events of a machine. The fields from
// Overcommits on count violations of what the product guarantees.
type MachineCounts struct {
	Fences, Reports, Applies, Commands int
	Started, Finished, Failed, Stopped int
	Checkpoints, Throttles             int
	LeasesEnded                        int // tasks stopped because their lease ended
	RefusedEpochs                      int // calls with an epoch lower than the accepted one
	RefusedLate                        int // commands that arrived after NotAfter
	RefusedIncarnations                int // commands for another process of the worker
	RepeatedStarts                     int // Start commands without effect, because the attempt is already listed

	Overcommits    int // starts after which the declared sizes exceed the capacity
	DoubleStarts   int // starts of an active task, or of an attempt that has run before
	EpochConflicts int // calls with the accepted epoch from another owner
}

// Machine emulates a worker, without a network. Each call first advances its state to the
// current time. Between two events (a start, an end, a checkpoint) each task runs at a
// constant rate.
type Machine struct {
	options   MachineOptions
	startedAt time.Time
	faults    *faultInjector

	mu              sync.Mutex // guards all fields below
	clock           commander.WorkerTime
	epoch           uint64
	owner           string
	leaving         bool
	tasks           []*task // in the order of their start; ended tasks stay until a Forget command
	startedAttempts map[string]bool
	counts          MachineCounts
	lastSampleAt    commander.WorkerTime
	lastReport      *commander.Report
}

// task is one attempt of a task on the machine.
type task struct {
	commander.Command
	state              commander.TaskState
	phaseEnd           commander.WorkerTime // end of the state starting or checkpointing
	progress           time.Duration        // work done so far
	checkpointProgress time.Duration        // work covered by the checkpoint in progress
	checkpoint         string
	throttle           float64
	leaseEnd           commander.WorkerTime
	stopReason         string               // if set, the task stops when its checkpoint is complete
	stopDeadline       commander.WorkerTime // the task is killed at this time; 0: no deadline
	draining           bool                 // a service instance that stops once its requests have ended
	reason             string
	usageRatio         float64 // used size divided by declared size
	instance           Instance
	samples            []sample
	run                *Run
}

// sample is one measurement of a task's usage and slowdown.
type sample struct {
	at       commander.WorkerTime
	used     configurator.Resources
	slowdown float64
}

// NewMachine returns a machine whose clock starts at the current time.
func NewMachine(o MachineOptions) *Machine {
	start := time.Now()
	if o.Incarnation == "" {
		o.Incarnation = fmt.Sprintf("%s-%d", o.Name, start.UnixNano())
	}
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.SampleInterval, DefaultSampleInterval)
	setDefault(&o.StartTime, DefaultStartTime)
	setDefault(&o.CheckpointTime, DefaultCheckpointTime)
	setDefault(&o.ServiceLeaseGrace, DefaultServiceLeaseGrace)
	if o.Interference == nil {
		o.Interference = NewInterference(o.Seed, DefaultMaxCoefficient)
	}
	if o.RunLog == nil {
		o.RunLog = NewRunLog()
	}
	m := &Machine{options: o, startedAt: start, faults: newFaultInjector(o.Faults, o.Seed), startedAttempts: make(map[string]bool)}
	o.RunLog.register(m)
	return m
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Name returns the machine's name.
func (m *Machine) Name() string { return m.options.Name }

// SetFaults replaces the injected faults.
func (m *Machine) SetFaults(f Faults) { m.faults.set(f) }

// SetLeaving sets the field Leaving of the machine's reports.
func (m *Machine) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// Advance advances the machine's state to the current time, as every other call does first.
func (m *Machine) Advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
}

// Counts returns the counts so far.
func (m *Machine) Counts() MachineCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	return m.counts
}

// Fence accepts the epoch unless the machine has accepted a higher one.
func (m *Machine) Fence(epoch uint64, owner string) commander.FenceAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	m.counts.Fences++
	ok := m.acceptEpochLocked(epoch, owner)
	return commander.FenceAnswer{Accepted: ok, Epoch: m.epoch, Report: m.reportLocked()}
}

// Report returns the machine's state and its tasks.
func (m *Machine) Report() commander.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	m.counts.Reports++
	return m.reportLocked()
}

// Apply executes commands in order. It accepts renewals of service tasks from any owner and
// epoch, because a duplicate instance does no harm, and other commands only if the
// machine has not accepted a higher epoch.
func (m *Machine) Apply(epoch uint64, owner string, commands []commander.Command) commander.ApplyAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	m.counts.Applies++
	if !onlyServiceRenewals(commands) && !m.acceptEpochLocked(epoch, owner) {
		return commander.ApplyAnswer{Epoch: m.epoch}
	}
	a := commander.ApplyAnswer{Accepted: true, Epoch: m.epoch, Results: make([]commander.Result, 0, len(commands))}
	for _, c := range commands {
		m.counts.Commands++
		reason := m.applyLocked(c)
		a.Results = append(a.Results, commander.Result{Task: c.Task, Done: reason == "", Reason: reason})
	}
	m.advanceLocked()
	return a
}

func onlyServiceRenewals(commands []commander.Command) bool {
	return len(commands) > 0 && !slices.ContainsFunc(commands, func(c commander.Command) bool {
		return c.Verb != commander.VerbRenew || c.Kind != commander.KindService
	})
}

// acceptEpochLocked accepts the epoch and owner, or reports false if the epoch is lower than
// the accepted one.
func (m *Machine) acceptEpochLocked(epoch uint64, owner string) bool {
	if epoch < m.epoch {
		m.counts.RefusedEpochs++
		return false
	}
	if epoch == m.epoch && m.owner != "" && owner != m.owner {
		m.counts.EpochConflicts++
	}
	m.epoch, m.owner = epoch, owner
	return true
}

// applyLocked executes one command. It returns the reason if it refuses the command, or "".
func (m *Machine) applyLocked(c commander.Command) string {
	if c.Incarnation != "" && c.Incarnation != m.options.Incarnation {
		m.counts.RefusedIncarnations++
		return fmt.Sprintf("meant for incarnation %s", c.Incarnation)
	}
	if c.NotAfter > 0 && m.clock > c.NotAfter {
		m.counts.RefusedLate++
		return fmt.Sprintf("arrived %s after NotAfter", m.clock-c.NotAfter)
	}
	if c.Verb == commander.VerbStart {
		return m.startLocked(c)
	}
	t := m.findTask(c.Task, c.Attempt)
	if t == nil {
		return "no such task and attempt"
	}
	if c.Verb == commander.VerbForget {
		return m.removeEndedLocked(t)
	}
	if !t.state.Active() {
		return fmt.Sprintf("task is %s", t.state)
	}
	switch c.Verb {
	case commander.VerbRenew:
		m.renewLocked(t, c.LeaseEnd)
	case commander.VerbCheckpoint:
		return m.checkpointLocked(t)
	case commander.VerbThrottle:
		m.counts.Throttles++
		t.throttle = c.Limit
	case commander.VerbStop:
		m.stopLocked(t, c.Grace, "stopped by its owner")
	default:
		return fmt.Sprintf("unknown verb %q", c.Verb)
	}
	return ""
}

func attemptKey(name string, attempt int) string { return fmt.Sprintf("%s#%d", name, attempt) }

func (m *Machine) findTask(name string, attempt int) *task {
	for _, t := range m.tasks {
		if t.Task == name && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// startLocked starts a task. It returns the reason if it refuses the command, or "".
func (m *Machine) startLocked(c commander.Command) string {
	if c.LeaseEnd <= m.clock {
		return fmt.Sprintf("lease ended %s ago", m.clock-c.LeaseEnd)
	}
	if t := m.findTask(c.Task, c.Attempt); t != nil {
		m.counts.RepeatedStarts++
		if t.state.Active() {
			return ""
		}
		return fmt.Sprintf("this attempt is already %s", t.state)
	}
	t := &task{
		Command: c, state: commander.TaskStarting, phaseEnd: m.clock + m.options.StartTime,
		checkpoint: c.Checkpoint, leaseEnd: c.LeaseEnd, usageRatio: m.options.Interference.usageRatio(c.Task),
	}
	if c.Checkpoint != "" {
		p, err := parseCheckpoint(c.Checkpoint)
		if err != nil {
			return err.Error()
		}
		t.progress = p
	}
	if c.Kind == commander.KindService && m.options.Launch != nil {
		in, err := m.options.Launch(c)
		if err != nil {
			return err.Error()
		}
		t.instance = in
	}
	key := attemptKey(c.Task, c.Attempt)
	startedBefore := m.startedAttempts[key] || slices.ContainsFunc(m.tasks, func(o *task) bool { return o.Task == c.Task && o.state.Active() })
	if startedBefore {
		m.counts.DoubleStarts++
	}
	m.startedAttempts[key] = true
	m.tasks = append(m.tasks, t)
	m.counts.Started++
	if !m.declaredLocked().Fits(m.options.Capacity) {
		m.counts.Overcommits++
	}
	t.run = m.options.RunLog.recordStart(m.options.Name, c, t.progress, m.startedAt.Add(m.clock))
	return ""
}

// declaredLocked returns the sum of the declared sizes of active tasks.
func (m *Machine) declaredLocked() configurator.Resources {
	var sum configurator.Resources
	for _, t := range m.tasks {
		if t.state.Active() {
			sum = sum.Add(t.Declared)
		}
	}
	return sum
}

// removeEndedLocked removes an ended task from the machine's tasks.
func (m *Machine) removeEndedLocked(t *task) string {
	if t.state.Active() {
		return fmt.Sprintf("task is %s", t.state)
	}
	m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
	return ""
}

// renewLocked extends a task's lease. It never shortens a lease, so that renewals may arrive
// in any order, and cancels a stop whose only reason was the end of the lease.
func (m *Machine) renewLocked(t *task, end commander.WorkerTime) {
	if end <= t.leaseEnd {
		return
	}
	t.leaseEnd = end
	if t.stopReason == reasonLeaseEnded {
		t.stopReason, t.stopDeadline = "", 0
	}
}

// checkpointLocked begins a checkpoint. It returns the reason if it refuses the command, or
// "".
func (m *Machine) checkpointLocked(t *task) string {
	switch {
	case t.Kind == commander.KindService:
		return "a service task has no checkpoint"
	case t.state == commander.TaskStarting:
		return "task is starting"
	case t.state == commander.TaskCheckpointing:
		return ""
	}
	m.beginCheckpoint(t)
	return ""
}

func (m *Machine) beginCheckpoint(t *task) {
	t.state = commander.TaskCheckpointing
	t.phaseEnd = m.clock + m.options.CheckpointTime
	t.checkpointProgress = t.progress
}

// stopLocked begins to stop a task. A batch task takes a checkpoint and an instance drains;
// the task ends when that is complete, or when the grace period has passed.
func (m *Machine) stopLocked(t *task, grace time.Duration, reason string) {
	t.stopReason = reason
	t.stopDeadline = m.clock + grace
	switch {
	case grace <= 0:
		m.endLocked(t, commander.TaskStopped, reason)
	case t.Kind == commander.KindService:
		t.state, t.draining, t.reason = commander.TaskCheckpointing, true, "draining"
		t.phaseEnd = t.stopDeadline
		if t.instance != nil {
			t.instance.Drain()
		}
	case t.state == commander.TaskRunning:
		m.beginCheckpoint(t)
	case t.state == commander.TaskStarting:
		m.endLocked(t, commander.TaskStopped, reason)
	}
}

// endLocked ends a task and releases its capacity.
func (m *Machine) endLocked(t *task, state commander.TaskState, reason string) {
	t.state, t.reason, t.stopDeadline = state, reason, 0
	if reason == reasonLeaseEnded {
		m.counts.LeasesEnded++
	}
	switch state {
	case commander.TaskFinished:
		m.counts.Finished++
	case commander.TaskFailed:
		m.counts.Failed++
	default:
		m.counts.Stopped++
	}
	if t.instance != nil {
		t.instance.Stop()
	}
	m.options.RunLog.recordEnd(t.run, state, t.progress, t.checkpoint, m.startedAt.Add(m.clock))
}

// reportLocked builds the report. Its usage figures have the age ReportLag.
func (m *Machine) reportLocked() commander.Report {
	if m.faults.get().FreezeReports && m.lastReport != nil {
		return *m.lastReport
	}
	measured := max(0, m.clock-m.options.ReportLag)
	measured -= measured % m.options.SampleInterval
	r := commander.Report{
		Worker: m.options.Name, Incarnation: m.options.Incarnation, Clock: m.clock, MeasuredAt: measured,
		Epoch: m.epoch, Capacity: m.options.Capacity, Leaving: m.leaving,
		Tasks: make([]commander.TaskReport, 0, len(m.tasks)),
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.report(measured))
	}
	m.lastReport = &r
	return r
}

// report returns the task's part of a report, with the last sample up to the time measured.
func (t *task) report(measured commander.WorkerTime) commander.TaskReport {
	r := commander.TaskReport{
		Task: t.Task, Attempt: t.Attempt, Kind: t.Kind, Class: t.Class, Service: t.Service, State: t.state,
		Declared: t.Declared, Throttle: t.throttle, LeaseEnd: t.leaseEnd,
		Checkpoint: t.checkpoint, Reason: t.reason,
	}
	if t.instance != nil {
		r.Address = t.instance.Address()
	}
	for _, s := range slices.Backward(t.samples) {
		if s.at <= measured {
			r.Used, r.Slowdown = s.used, s.slowdown
			break
		}
	}
	return r
}

const checkpointPrefix = "work:"

func formatCheckpoint(progress time.Duration) string { return checkpointPrefix + progress.String() }

func parseCheckpoint(s string) (time.Duration, error) {
	rest, ok := strings.CutPrefix(s, checkpointPrefix)
	d, err := time.ParseDuration(rest)
	if !ok || err != nil || d < 0 {
		return 0, fmt.Errorf("checkpoint %q is not readable", s)
	}
	return d, nil
}

// Fleet maps addresses to machines. It implements commander.WorkerClient without a network.
type Fleet map[netip.AddrPort]*Machine

var _ commander.WorkerClient = Fleet{}

// Fence implements commander.WorkerClient.
func (f Fleet) Fence(_ context.Context, address netip.AddrPort, epoch uint64, owner string) (commander.FenceAnswer, error) {
	var a commander.FenceAnswer
	err := f.call(address, func(m *Machine) { a = m.Fence(epoch, owner) })
	return a, err
}

// Report implements commander.WorkerClient.
func (f Fleet) Report(_ context.Context, address netip.AddrPort) (commander.Report, error) {
	var r commander.Report
	err := f.call(address, func(m *Machine) { r = m.Report() })
	return r, err
}

// Apply implements commander.WorkerClient.
func (f Fleet) Apply(_ context.Context, address netip.AddrPort, epoch uint64, owner string, commands []commander.Command) (commander.ApplyAnswer, error) {
	var a commander.ApplyAnswer
	err := f.call(address, func(m *Machine) { a = m.Apply(epoch, owner, commands) })
	return a, err
}

// call calls do with the machine at an address, and applies the machine's injected faults.
func (f Fleet) call(address netip.AddrPort, do func(*Machine)) error {
	m, ok := f[address]
	if !ok {
		return &commander.NoAnswerError{Address: address, Reason: "connection refused"}
	}
	faults := m.faults.get()
	if faults.Down || faults.CutRequests {
		return &commander.NoAnswerError{Address: address, Sent: true, Reason: "no answer"}
	}
	do(m)
	if faults.CutAnswers || m.faults.draw(faults.LoseAnswers) {
		return &commander.NoAnswerError{Address: address, Sent: true, Reason: "answer lost"}
	}
	return nil
}
