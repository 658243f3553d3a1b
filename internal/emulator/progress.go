package emulator

import (
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

const (
	reasonLeaseEnded = "lease ended"
	// maxSamples bounds the measurements kept for each task.
	maxSamples = 64
	// maxSteps bounds one advance: a machine that was not called for a long time takes
	// one sample per step.
	maxSteps = 1 << 20
)

// advance runs the machine up to the present. The lock is held.
func (m *Machine) advance() {
	now := time.Since(m.start)
	for range maxSteps {
		loads := m.loadsLocked()
		next := m.nextEvent(loads, now)
		m.runTasks(loads, next-m.clock)
		m.clock = next
		m.takeSamples(loads)
		m.handleDue()
		if next >= now {
			return
		}
	}
}

// taskLoad is what a task uses and how much the others slow it down, constant until the
// next event.
type taskLoad struct {
	used     configurator.Resources
	slowdown float64
}

// rate is the work done per unit of time.
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

func (m *Machine) slowFactor() float64 {
	if f := m.faults.get().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// loadsLocked calculates usage and slowdown of each task, in the order of m.tasks.
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

// idleShare is the share of its usage that an instance without requests has.
const idleShare = 0.1

// used returns what the task uses now.
func (t *task) used() configurator.Resources {
	if !t.state.Active() {
		return configurator.Resources{}
	}
	cores := t.Declared.Cores * t.factor
	if t.instance != nil {
		cores *= idleShare + (1-idleShare)*t.instance.Load()
	}
	if t.throttle > 0 && t.throttle < 1 {
		cores = min(cores, t.Declared.Cores*t.throttle)
	}
	return configurator.Resources{
		Cores:        cores,
		Memory:       int64(float64(t.Declared.Memory) * t.factor),
		Accelerators: t.Declared.Accelerators,
	}
}

// nextEvent returns the time of the next event, at most now.
func (m *Machine) nextEvent(loads []taskLoad, now commander.WorkerTime) commander.WorkerTime {
	next := min(now, m.sampled+m.options.SampleEvery)
	earlier := func(at commander.WorkerTime) {
		if at > m.clock && at < next {
			next = at
		}
	}
	for i, t := range m.tasks {
		if !t.state.Active() {
			continue
		}
		earlier(m.leaseAction(t))
		if t.killAt > 0 {
			earlier(t.killAt)
		}
		if t.state != commander.TaskRunning {
			earlier(t.until)
		} else if r := t.rate(loads[i], m.slowFactor()); r > 0 && t.Kind == commander.KindBatch && t.Duration > 0 {
			left := float64(t.Duration - t.progress)
			earlier(m.clock + time.Duration(left/r) + 1)
		}
	}
	return max(next, m.clock)
}

// leaseAction returns when the machine acts on the end of a task's lease: early enough
// to complete a checkpoint before the lease ends, so that nothing of a batch task is
// left after it.
func (m *Machine) leaseAction(t *task) commander.WorkerTime {
	if t.Kind == commander.KindService {
		return t.leaseEnd + m.options.ServiceKeep
	}
	if t.stopReason == "" && t.state == commander.TaskRunning {
		return t.leaseEnd - m.options.CheckpointTime
	}
	return t.leaseEnd
}

func (m *Machine) runTasks(loads []taskLoad, d time.Duration) {
	for i, t := range m.tasks {
		t.progress += time.Duration(float64(d) * t.rate(loads[i], m.slowFactor()))
	}
}

func (m *Machine) takeSamples(loads []taskLoad) {
	if m.clock < m.sampled+m.options.SampleEvery {
		return
	}
	m.sampled = m.clock - m.clock%m.options.SampleEvery
	for i, t := range m.tasks {
		if t.state != commander.TaskRunning {
			continue
		}
		s := sample{at: m.sampled, used: loads[i].used, slowdown: m.options.Interference.measured(loads[i].slowdown, t.Task, m.sampled)}
		t.samples = append(t.samples, s)
		if len(t.samples) > maxSamples {
			t.samples = t.samples[1:]
		}
	}
}

// handleDue changes the states whose time has come.
func (m *Machine) handleDue() {
	for _, t := range m.tasks {
		if !t.state.Active() {
			continue
		}
		m.handleState(t)
		if t.state.Active() {
			m.handleLease(t)
		}
		if t.state.Active() && t.killAt > 0 && m.clock >= t.killAt {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	}
}

func (m *Machine) handleState(t *task) {
	switch {
	case t.draining:
		if t.instance == nil || t.instance.InFlight() == 0 {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	case t.state == commander.TaskStarting && m.clock >= t.until:
		if m.faults.get().FailTasks {
			m.endLocked(t, commander.TaskFailed, "the worker fails every task")
			return
		}
		t.state = commander.TaskRunning
	case t.state == commander.TaskCheckpointing && m.clock >= t.until:
		m.counts.Checkpoints++
		t.checkpoint = formatCheckpoint(t.saved)
		t.state = commander.TaskRunning
		if t.stopReason != "" {
			m.endLocked(t, commander.TaskStopped, t.stopReason)
		}
	case t.state == commander.TaskRunning && t.Kind == commander.KindBatch && t.Duration > 0 && t.progress >= t.Duration:
		m.endLocked(t, commander.TaskFinished, "")
	}
}

func (m *Machine) handleLease(t *task) {
	if m.clock < m.leaseAction(t) {
		return
	}
	switch {
	case m.clock >= t.leaseEnd && t.Kind == commander.KindBatch:
		m.endLocked(t, commander.TaskStopped, reasonLeaseEnded)
	case t.stopReason != "":
		// A stop is already under way.
	case t.Kind == commander.KindService:
		m.stopLocked(t, time.Second, reasonLeaseEnded)
	case t.state == commander.TaskRunning:
		m.beginCheckpoint(t)
		t.stopReason = reasonLeaseEnded
	}
}
