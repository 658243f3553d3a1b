package emulator

import (
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

const (
	// reasonLeaseEnded is the reason in reports of a task that was stopped at the end of its lease.
	reasonLeaseEnded = "lease ended"
	// maxSamplesPerTask is the number of newest measurements kept for each task.
	maxSamplesPerTask = 64
	// maxStepsPerAdvance limits the steps of one call of advanceLocked. A machine that was not
	// called for a long time makes at least one step for each sample since then.
	maxStepsPerAdvance = 1 << 20
)

// advanceLocked simulates the machine from m.clock to the current time, event by event.
func (m *Machine) advanceLocked() {
	now := time.Since(m.startedAt)
	for range maxStepsPerAdvance {
		loads := m.loadsLocked()
		next := m.nextEventTime(loads, now)
		m.addProgress(loads, next-m.clock)
		m.clock = next
		m.takeSamples(loads)
		m.handleDueEvents()
		if next >= now {
			return
		}
	}
}

// taskLoad is a task's usage and the slowdown that the other tasks cause. Both are constant
// until the next event.
type taskLoad struct {
	used     configurator.Resources
	slowdown float64
}

// rate returns the work that the task does per unit of time. factor is the factor by which an
// injected fault multiplies run times.
func (t *task) rate(l taskLoad, factor float64) float64 {
	if t.state != commander.TaskRunning {
		return 0
	}
	r := 1 / l.slowdown / factor
	if t.throttle > 0 && t.throttle < 1 {
		r *= t.throttle
	}
	return r
}

// slowFactor returns the factor by which an injected fault multiplies run times.
func (m *Machine) slowFactor() float64 {
	if f := m.faults.get().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// loadsLocked returns the usage and slowdown of each task, in the order of m.tasks, and
// applies the slowdown to instances.
func (m *Machine) loadsLocked() []taskLoad {
	ls := make([]taskLoad, len(m.tasks))
	total := 0.0
	for i, t := range m.tasks {
		ls[i] = taskLoad{used: t.used(), slowdown: 1}
		total += ls[i].used.Cores
	}
	capacity := m.options.Capacity.Cores
	for i, t := range m.tasks {
		if !t.state.Active() {
			continue
		}
		others := func(yield func(class string, cores float64) bool) {
			for j, o := range m.tasks {
				if j != i && o.state.Active() && !yield(o.Class, ls[j].used.Cores) {
					return
				}
			}
		}
		ls[i].slowdown = m.options.Interference.slowdown(t.Class, others, total, capacity)
		if t.instance != nil {
			t.instance.SetSlowdown(ls[i].slowdown * m.slowFactor())
		}
	}
	return ls
}

// idleUsageShare is the usage of an instance without requests, as a share of its usage at
// full load.
const idleUsageShare = 0.1

// used returns the task's current usage.
func (t *task) used() configurator.Resources {
	if !t.state.Active() {
		return configurator.Resources{}
	}
	cores := t.Declared.Cores * t.usageRatio
	if t.instance != nil {
		cores *= idleUsageShare + (1-idleUsageShare)*t.instance.Load()
	}
	if t.throttle > 0 && t.throttle < 1 {
		cores = min(cores, t.Declared.Cores*t.throttle)
	}
	return configurator.Resources{
		Cores:        cores,
		Memory:       int64(float64(t.Declared.Memory) * t.usageRatio),
		Accelerators: t.Declared.Accelerators,
	}
}

// nextEventTime returns the time of the next event, or now if that is earlier.
func (m *Machine) nextEventTime(loads []taskLoad, now commander.WorkerTime) commander.WorkerTime {
	next := min(now, m.lastSampleAt+m.options.SampleInterval)
	consider := func(at commander.WorkerTime) {
		if at > m.clock && at < next {
			next = at
		}
	}
	for i, t := range m.tasks {
		if !t.state.Active() {
			continue
		}
		consider(m.leaseActionTime(t))
		if t.stopDeadline > 0 {
			consider(t.stopDeadline)
		}
		if t.state != commander.TaskRunning {
			consider(t.phaseEnd)
		} else if r := t.rate(loads[i], m.slowFactor()); r > 0 && t.Kind == commander.KindBatch && t.Duration > 0 {
			left := float64(t.Duration - t.progress)
			consider(m.clock + time.Duration(left/r) + 1)
		}
	}
	return max(next, m.clock)
}

// leaseActionTime returns when the machine begins to stop a task whose lease ends. A batch
// task must not run after the end of its lease, so its checkpoint begins early enough to
// be complete by then. A service task keeps running for ServiceLeaseGrace.
func (m *Machine) leaseActionTime(t *task) commander.WorkerTime {
	if t.Kind == commander.KindService {
		return t.leaseEnd + m.options.ServiceLeaseGrace
	}
	if t.stopReason == "" && t.state == commander.TaskRunning {
		return t.leaseEnd - m.options.CheckpointTime
	}
	return t.leaseEnd
}

// addProgress adds the work that the tasks did in a time d without events.
func (m *Machine) addProgress(loads []taskLoad, d time.Duration) {
	for i, t := range m.tasks {
		t.progress += time.Duration(float64(d) * t.rate(loads[i], m.slowFactor()))
	}
}

// takeSamples measures the running tasks if SampleInterval has passed since the last samples.
func (m *Machine) takeSamples(loads []taskLoad) {
	if m.clock < m.lastSampleAt+m.options.SampleInterval {
		return
	}
	m.lastSampleAt = m.clock - m.clock%m.options.SampleInterval
	for i, t := range m.tasks {
		if t.state != commander.TaskRunning {
			continue
		}
		s := sample{at: m.lastSampleAt, used: loads[i].used, slowdown: m.options.Interference.withMeasurementError(loads[i].slowdown, t.Task, m.lastSampleAt)}
		t.samples = append(t.samples, s)
		if len(t.samples) > maxSamplesPerTask {
			t.samples = t.samples[1:]
		}
	}
}

// handleDueEvents applies the state changes that are due at m.clock.
func (m *Machine) handleDueEvents() {
	for _, t := range m.tasks {
		if !t.state.Active() {
			continue
		}
		m.handleTransition(t)
		if t.state.Active() {
			m.handleLeaseEnd(t)
		}
		if t.state.Active() && t.stopDeadline > 0 && m.clock >= t.stopDeadline {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	}
}

// handleTransition applies the end of a drain, a start, a checkpoint or the work of a task.
func (m *Machine) handleTransition(t *task) {
	switch {
	case t.draining:
		if t.instance == nil || t.instance.InFlight() == 0 {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	case t.state == commander.TaskStarting && m.clock >= t.phaseEnd:
		if m.faults.get().FailTasks {
			m.endLocked(t, commander.TaskFailed, "the worker fails every task")
			return
		}
		t.state = commander.TaskRunning
	case t.state == commander.TaskCheckpointing && m.clock >= t.phaseEnd:
		m.counts.Checkpoints++
		t.checkpoint = formatCheckpoint(t.checkpointProgress)
		t.state = commander.TaskRunning
		if t.stopReason != "" {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	case t.state == commander.TaskRunning && t.Kind == commander.KindBatch && t.Duration > 0 && t.progress >= t.Duration:
		m.endLocked(t, commander.TaskFinished, "")
	}
}

// handleLeaseEnd stops a task whose lease has ended, or begins to stop a task at its
// leaseActionTime.
func (m *Machine) handleLeaseEnd(t *task) {
	if m.clock < m.leaseActionTime(t) {
		return
	}
	switch {
	case m.clock >= t.leaseEnd && t.Kind == commander.KindBatch:
		m.endLocked(t, commander.TaskStopped, reasonLeaseEnded)
	case t.stopReason != "":
		// The task is already stopping.
	case t.Kind == commander.KindService:
		m.stopLocked(t, time.Second, reasonLeaseEnded)
	case t.state == commander.TaskRunning:
		m.beginCheckpoint(t)
		t.stopReason = reasonLeaseEnded
	}
}
