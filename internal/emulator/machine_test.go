package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

var smallCapacity = configurator.Resources{Cores: 4, Memory: 8 << 30}

func startCommand(name string, attempt int, d time.Duration, leaseEnd commander.WorkerTime) commander.Command {
	return commander.Command{
		Verb: commander.VerbStart, Task: name, Attempt: attempt, Kind: commander.KindBatch, Class: "plain",
		Declared: configurator.Resources{Cores: 1, Memory: 1 << 30}, Duration: d, LeaseEnd: leaseEnd,
	}
}

func noInterference() *Interference { return NewInterference(1, 0) }

func reportOf(m *Machine, name string) commander.TaskReport {
	for _, t := range m.Report().Tasks {
		if t.Task == name {
			return t
		}
	}
	return commander.TaskReport{}
}

// Guards against an emulated worker that lets a batch task run past its lease, which would
// hide jobs that run twice at the same time.
func TestLeaseEndStopsTaskWithCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity, Interference: noInterference()})
		a := m.Apply(1, "e1", []commander.Command{startCommand("j", 1, time.Hour, 2*time.Second)})
		is.True(a.Accepted && a.Results[0].Done)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(reportOf(m, "j").State, commander.TaskRunning)
		time.Sleep(time.Second)
		s := reportOf(m, "j")
		is.Equal(s.State, commander.TaskStopped)
		is.Equal(s.Checkpoint, "work:1.93s") // 2 s minus the start time and the checkpoint time
		is.Equal(m.Counts().LeasesEnded, 1)
		rs := m.options.RunLog.Runs()
		is.Equal(rs[0].Ended.Sub(rs[0].Started), 2*time.Second)
	})
}

// Guards against renewals that shorten a lease when they arrive out of order.
func TestRenewNeverShortens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity, Interference: noInterference()})
		m.Apply(1, "e1", []commander.Command{startCommand("j", 1, 3*time.Second, time.Second)})
		for _, end := range []time.Duration{10 * time.Second, 2 * time.Second} {
			m.Apply(1, "e1", []commander.Command{{Verb: commander.VerbRenew, Task: "j", Attempt: 1, LeaseEnd: end}})
		}
		time.Sleep(4 * time.Second)
		is.Equal(reportOf(m, "j").State, commander.TaskFinished)
	})
}

// Guards against an emulated worker that enforces what the product must enforce, or that
// does not count violations by the product.
func TestGuaranteeViolationsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity, Interference: noInterference()})
		var cs []commander.Command
		for _, n := range []string{"a", "b", "c", "d", "e"} {
			cs = append(cs, startCommand(n, 1, time.Second, time.Minute))
		}
		a := m.Apply(1, "e1", cs)
		is.True(a.Results[4].Done) // started although it exceeds the capacity
		is.Equal(m.Counts().Overcommits, 1)
		m.Apply(1, "e1", []commander.Command{startCommand("a", 1, time.Second, time.Minute)})
		is.Equal(m.Counts().DoubleStarts, 0) // a repeated command has no effect
		m.Apply(1, "e1", []commander.Command{startCommand("a", 2, time.Second, time.Minute)})
		is.Equal(m.Counts().DoubleStarts, 1)
		time.Sleep(time.Millisecond)
		is.Equal(len(Violations(m.options.RunLog.Runs(), time.Now())), 1)
	})
}

// Guards against a worker that executes commands of an earlier owner, or commands that
// arrive after NotAfter.
func TestOldEpochAndLateCommandsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity})
		is.True(m.Fence(5, "e2").Accepted)
		a := m.Apply(4, "e1", []commander.Command{startCommand("j", 1, time.Second, time.Minute)})
		is.True(!a.Accepted)
		is.Equal(a.Epoch, uint64(5))
		time.Sleep(time.Second)
		c := startCommand("j", 1, time.Second, time.Minute)
		c.NotAfter = 500 * time.Millisecond
		is.True(!m.Apply(5, "e2", []commander.Command{c}).Results[0].Done)
		is.Equal(len(m.Report().Tasks), 0)
	})
}

// Guards against a Start command that takes effect although it was delayed until after a
// restart of its worker: the new process has a new clock and no accepted epoch, so only
// the incarnation tells that the command is old.
func TestRestartedWorkerRefusesCommandsOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity})
		is.True(old.Fence(5, "e2").Accepted)
		c := startCommand("j", 1, time.Second, time.Minute)
		c.NotAfter, c.Incarnation = 10*time.Second, old.Report().Incarnation
		time.Sleep(time.Second)
		restarted := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity})
		is.True(!restarted.Apply(5, "e2", []commander.Command{c}).Results[0].Done)
		is.Equal(restarted.Counts().RefusedIncarnations, 1)
		is.Equal(len(restarted.Report().Tasks), 0)
		is.True(old.Apply(5, "e2", []commander.Command{c}).Results[0].Done)
	})
}

// Guards against usage figures that are newer than ReportLag allows, and against
// neighbours that cause no slowdown.
func TestInterferenceIsReportedWithLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		in := noInterference()
		in.Set("plain", "plain", 4)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity, Interference: in, ReportLag: time.Second})
		m.Apply(1, "e1", []commander.Command{startCommand("a", 1, time.Hour, time.Hour), startCommand("b", 1, time.Hour, time.Hour)})
		time.Sleep(900 * time.Millisecond)
		is.Equal(reportOf(m, "a").Slowdown, 0.0) // not measured yet
		time.Sleep(time.Second)
		r := m.Report()
		is.Equal(r.Clock-r.MeasuredAt, time.Second)
		is.True(r.Tasks[0].Slowdown > 1.1)
	})
}

// Guards against a stop that takes no checkpoint and so loses work, and against a later
// attempt that does not resume from it.
func TestStopTakesCheckpointAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMachine(MachineOptions{Name: "w1", Capacity: smallCapacity, Interference: noInterference()})
		m.Apply(1, "e1", []commander.Command{startCommand("j", 1, 2*time.Second, time.Minute)})
		time.Sleep(1020 * time.Millisecond)
		m.Apply(1, "e1", []commander.Command{{Verb: commander.VerbStop, Task: "j", Attempt: 1, Grace: time.Second}})
		time.Sleep(time.Second)
		s := reportOf(m, "j")
		is.Equal(s.Checkpoint, "work:1s")
		c := startCommand("j", 2, 2*time.Second, time.Minute)
		c.Checkpoint = s.Checkpoint
		m.Apply(1, "e1", []commander.Command{c})
		time.Sleep(1020 * time.Millisecond)
		rs := m.options.RunLog.Runs()
		is.Equal(rs[1].State, commander.TaskFinished)
		is.Equal(rs[1].FromWork, time.Second)
		is.Equal(Violations(rs, time.Now()), nil)
	})
}
