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
	DefaultReportLag      = 500 * time.Millisecond
	DefaultSampleEvery    = 100 * time.Millisecond
	DefaultStartTime      = 20 * time.Millisecond
	DefaultCheckpointTime = 50 * time.Millisecond
	DefaultServiceKeep    = 10 * time.Minute
)

// MachineOptions configures a Machine. Zero fields take the defaults.
type MachineOptions struct {
	Name           string
	Incarnation    string // default: derived from the name and the start time
	Capacity       configurator.Resources
	ReportLag      time.Duration // age of the usage figures in reports
	SampleEvery    time.Duration // interval between measurements of usage
	StartTime      time.Duration // from Start to running
	CheckpointTime time.Duration
	ServiceKeep    time.Duration // a service task runs on for this time after its lease ended
	Interference   *Interference // default: NewInterference(Seed, DefaultStrength)
	Ledger         *Ledger       // shared by the machines of a test; default: its own
	Launch         Launcher      // opens instances; nil: service tasks have no address
	Faults         Faults
	Seed           uint64
}

// Instance is the backend server of a service task.
type Instance interface {
	Address() string
	Load() float64 // running requests divided by slots
	SetSlowdown(factor float64)
	Drain() // answer new requests "not run"
	InFlight() int
	Stop() // returns at once
}

// Launcher opens an instance for a service task. The address that it listens on is
// chosen by it.
type Launcher func(c commander.Command) (Instance, error)

// MachineCounts counts what a machine was told. The fields from Overcommits on are
// signs of a fault in the product.
type MachineCounts struct {
	Fences, Reports, Applies, Commands int
	Started, Finished, Failed, Stopped int
	Checkpoints, Throttles             int
	LeasesEnded                        int // tasks stopped because their lease ended
	RefusedEpochs                      int // calls with an epoch lower than accepted
	RefusedLate                        int // commands after NotAfter
	RefusedIncarnations                int // commands for another process of the worker
	RepeatedStarts                     int // Start of an attempt that is listed: answered without effect

	Overcommits    int // starts after which declared sizes exceed the capacity
	DoubleStarts   int // starts of a task that was active, or of an attempt that had run before
	EpochConflicts int // two owners with the same epoch
}

// Machine is a worker without a network. Its state is advanced when it is called: between
// two events (a start, an end, a checkpoint) each task runs at a constant rate.
type Machine struct {
	options MachineOptions
	start   time.Time
	faults  *faultSwitch

	mu      sync.Mutex // guards all fields below
	clock   commander.WorkerTime
	epoch   uint64
	owner   string
	leaving bool
	tasks   []*task // in order of their start
	ran     map[string]bool
	counts  MachineCounts
	sampled commander.WorkerTime
	frozen  *commander.Report
}

// task is one attempt of a task on the machine.
type task struct {
	commander.Command
	state      commander.TaskState
	until      commander.WorkerTime // end of starting or checkpointing
	progress   time.Duration        // work done
	saved      time.Duration        // work done at the checkpoint being taken
	checkpoint string
	throttle   float64
	leaseEnd   commander.WorkerTime
	stopReason string               // stop when the checkpoint is complete
	killAt     commander.WorkerTime // stop at the latest; 0: never
	draining   bool                 // a stopping service instance
	reason     string
	factor     float64 // used divided by declared size
	instance   Instance
	samples    []sample
	run        *Run
}

// sample is one measurement of a task.
type sample struct {
	at       commander.WorkerTime
	used     configurator.Resources
	slowdown float64
}

// NewMachine returns a machine that starts now.
func NewMachine(o MachineOptions) *Machine {
	start := time.Now()
	if o.Incarnation == "" {
		o.Incarnation = fmt.Sprintf("%s-%d", o.Name, start.UnixNano())
	}
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.SampleEvery, DefaultSampleEvery)
	setDefault(&o.StartTime, DefaultStartTime)
	setDefault(&o.CheckpointTime, DefaultCheckpointTime)
	setDefault(&o.ServiceKeep, DefaultServiceKeep)
	if o.Interference == nil {
		o.Interference = NewInterference(o.Seed, DefaultStrength)
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	m := &Machine{options: o, start: start, faults: newFaultSwitch(o.Faults, o.Seed), ran: make(map[string]bool)}
	o.Ledger.register(m)
	return m
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Name returns the machine's name.
func (m *Machine) Name() string { return m.options.Name }

// SetFaults replaces the fault switches.
func (m *Machine) SetFaults(f Faults) { m.faults.set(f) }

// SetLeaving sets the report's Leaving field.
func (m *Machine) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// Advance brings the machine's state up to the present, as every call does.
func (m *Machine) Advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
}

// Counts returns the counts so far.
func (m *Machine) Counts() MachineCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	return m.counts
}

// Fence accepts the epoch unless a higher one was accepted.
func (m *Machine) Fence(epoch uint64, owner string) commander.FenceAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.counts.Fences++
	ok := m.acceptLocked(epoch, owner)
	return commander.FenceAnswer{Accepted: ok, Epoch: m.epoch, Report: m.reportLocked()}
}

// Report returns the inventory.
func (m *Machine) Report() commander.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.counts.Reports++
	return m.reportLocked()
}

// Apply executes commands in order. Renewals of service tasks are accepted from any
// owner and epoch, because a duplicate instance does no harm; other commands only if no
// higher epoch was accepted.
func (m *Machine) Apply(epoch uint64, owner string, commands []commander.Command) commander.ApplyAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.counts.Applies++
	if !onlyServiceRenewals(commands) && !m.acceptLocked(epoch, owner) {
		return commander.ApplyAnswer{Epoch: m.epoch}
	}
	a := commander.ApplyAnswer{Accepted: true, Epoch: m.epoch, Results: make([]commander.Result, 0, len(commands))}
	for _, c := range commands {
		m.counts.Commands++
		reason := m.applyLocked(c)
		a.Results = append(a.Results, commander.Result{Task: c.Task, Done: reason == "", Reason: reason})
	}
	m.advance()
	return a
}

func onlyServiceRenewals(commands []commander.Command) bool {
	return len(commands) > 0 && !slices.ContainsFunc(commands, func(c commander.Command) bool {
		return c.Verb != commander.VerbRenew || c.Kind != commander.KindService
	})
}

func (m *Machine) acceptLocked(epoch uint64, owner string) bool {
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

// applyLocked executes one command and returns why it did not, or "".
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
	t := m.find(c.Task, c.Attempt)
	if t == nil {
		return "no such task and attempt"
	}
	if c.Verb == commander.VerbForget {
		return m.forgetLocked(t)
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

func (m *Machine) find(name string, attempt int) *task {
	for _, t := range m.tasks {
		if t.Task == name && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

func (m *Machine) startLocked(c commander.Command) string {
	if c.LeaseEnd <= m.clock {
		return fmt.Sprintf("lease ended %s ago", m.clock-c.LeaseEnd)
	}
	if t := m.find(c.Task, c.Attempt); t != nil {
		m.counts.RepeatedStarts++
		if t.state.Active() {
			return ""
		}
		return fmt.Sprintf("this attempt is already %s", t.state)
	}
	t := &task{
		Command: c, state: commander.TaskStarting, until: m.clock + m.options.StartTime,
		checkpoint: c.Checkpoint, leaseEnd: c.LeaseEnd, factor: m.options.Interference.usage(c.Task),
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
	again := m.ran[key] || slices.ContainsFunc(m.tasks, func(o *task) bool { return o.Task == c.Task && o.state.Active() })
	if again {
		m.counts.DoubleStarts++
	}
	m.ran[key] = true
	m.tasks = append(m.tasks, t)
	m.counts.Started++
	if !m.declaredLocked().Fits(m.options.Capacity) {
		m.counts.Overcommits++
	}
	t.run = m.options.Ledger.started(m.options.Name, c, t.progress, m.start.Add(m.clock))
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

func (m *Machine) forgetLocked(t *task) string {
	if t.state.Active() {
		return fmt.Sprintf("task is %s", t.state)
	}
	m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
	return ""
}

// renewLocked never shortens a lease, so that renewals may arrive in any order. It
// withdraws a stop that was due only to the lease's end.
func (m *Machine) renewLocked(t *task, end commander.WorkerTime) {
	if end <= t.leaseEnd {
		return
	}
	t.leaseEnd = end
	if t.stopReason == reasonLeaseEnded {
		t.stopReason, t.killAt = "", 0
	}
}

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
	t.until = m.clock + m.options.CheckpointTime
	t.saved = t.progress
}

// stopLocked begins to stop a task: a batch task takes a checkpoint, an instance drains,
// and both end when that is done or the grace has passed.
func (m *Machine) stopLocked(t *task, grace time.Duration, reason string) {
	t.stopReason = reason
	t.killAt = m.clock + grace
	switch {
	case grace <= 0:
		m.endLocked(t, commander.TaskStopped, reason)
	case t.Kind == commander.KindService:
		t.state, t.draining, t.reason = commander.TaskCheckpointing, true, "draining"
		t.until = t.killAt
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
	t.state, t.reason, t.killAt = state, reason, 0
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
	m.options.Ledger.ended(t.run, state, t.progress, t.checkpoint, m.start.Add(m.clock))
}

// reportLocked builds the report, with usage figures as old as the lag.
func (m *Machine) reportLocked() commander.Report {
	if m.faults.get().FreezeReports && m.frozen != nil {
		return *m.frozen
	}
	measured := max(0, m.clock-m.options.ReportLag)
	measured -= measured % m.options.SampleEvery
	r := commander.Report{
		Worker: m.options.Name, Incarnation: m.options.Incarnation, Clock: m.clock, MeasuredAt: measured,
		Epoch: m.epoch, Capacity: m.options.Capacity, Leaving: m.leaving,
		Tasks: make([]commander.TaskReport, 0, len(m.tasks)),
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.report(measured))
	}
	m.frozen = &r
	return r
}

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

// Fleet implements commander.Workers for machines without a network, by address.
type Fleet map[netip.AddrPort]*Machine

var _ commander.Workers = Fleet{}

// Fence implements commander.Workers.
func (f Fleet) Fence(_ context.Context, address netip.AddrPort, epoch uint64, owner string) (commander.FenceAnswer, error) {
	var a commander.FenceAnswer
	err := f.call(address, func(m *Machine) { a = m.Fence(epoch, owner) })
	return a, err
}

// Report implements commander.Workers.
func (f Fleet) Report(_ context.Context, address netip.AddrPort) (commander.Report, error) {
	var r commander.Report
	err := f.call(address, func(m *Machine) { r = m.Report() })
	return r, err
}

// Apply implements commander.Workers.
func (f Fleet) Apply(_ context.Context, address netip.AddrPort, epoch uint64, owner string, commands []commander.Command) (commander.ApplyAnswer, error) {
	var a commander.ApplyAnswer
	err := f.call(address, func(m *Machine) { a = m.Apply(epoch, owner, commands) })
	return a, err
}

func (f Fleet) call(address netip.AddrPort, do func(*Machine)) error {
	m, ok := f[address]
	if !ok {
		return &commander.UnreachableError{Address: address, Reason: "connection refused"}
	}
	faults := m.faults.get()
	if faults.Down || faults.CutRequests {
		return &commander.UnreachableError{Address: address, Sent: true, Reason: "no answer"}
	}
	do(m)
	if faults.CutAnswers || m.faults.draw(faults.LoseAnswers) {
		return &commander.UnreachableError{Address: address, Sent: true, Reason: "answer lost"}
	}
	return nil
}
