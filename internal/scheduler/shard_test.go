package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver steps a shard on one worker, "w1", whose clock is one hour ahead.
type driver struct {
	shard    *scheduler.Shard
	now      time.Time
	sequence uint64
	commands []commander.Command
	answers  []scheduler.AnswerSubmission
	records  []scheduler.Record
	imported []string
	journal  scheduler.Journal
	tasks    []commander.TaskReport
	down     bool // the store
}

const ahead = time.Hour

func newDriver(j scheduler.Journal) *driver {
	d := &driver{now: start, shard: scheduler.NewShard(scheduler.Settings{
		Shard: "a/0", FailureDomain: "a", Host: "h", Writer: "h-1",
		Placer: placer.New(placer.Policy{}, configurator.Measures{}, rand.New(rand.NewPCG(1, 1))),
	})}
	j.Shard = "a/0"
	d.step(scheduler.ConfigurationChanged{Configuration: &configurator.Configuration{
		Policy:     configurator.Policy{Placement: configurator.PlacementInterference},
		JobClasses: []configurator.JobClass{{Name: "repair", Size: configurator.Resources{Cores: 2, Memory: 1}}},
		Workers:    []configurator.Worker{{Name: "w1", FailureDomain: "a", Shard: "0", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: configurator.Resources{Cores: 4, Memory: 8}}},
	}})
	d.step(scheduler.Claimed{Journal: j})
	return d
}

// step passes an event on and answers the store and fences at once.
func (d *driver) step(e scheduler.Event) {
	for _, a := range d.shard.Step(e, d.now) {
		switch a := a.(type) {
		case scheduler.WriteJournal:
			if d.down {
				d.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: time.Second, Reason: "down"})
				continue
			}
			d.journal, _ = scheduler.DecodeJournal("a/0", a.Value)
			d.step(scheduler.JournalWritten{Sequence: a.Sequence})
		case scheduler.SendFence:
			d.step(scheduler.WorkerFenced{Worker: "w1", Epoch: a.Epoch, Report: d.report(a.Epoch), SentAt: d.now, ReceivedAt: d.now})
		case scheduler.AskReport:
			d.step(scheduler.ReportArrived{Worker: "w1", Report: d.report(d.journal.Epoch), SentAt: d.now, ReceivedAt: d.now})
		case scheduler.SendCommands:
			d.commands = append(d.commands, a.Commands...)
			d.step(scheduler.CommandsAnswered{Worker: "w1", Unreachable: true})
		case scheduler.AnswerSubmission:
			d.answers = append(d.answers, a)
		case scheduler.AnswerImport:
			d.imported = append(d.imported, a.From)
		case scheduler.Record:
			d.records = append(d.records, a)
		}
	}
}

func (d *driver) report(epoch uint64) commander.Report {
	return commander.Report{
		Worker: "w1", Incarnation: "1", Clock: d.now.Sub(start) + ahead, MeasuredAt: d.now.Sub(start) + ahead, Epoch: epoch,
		Capacity: configurator.Resources{Cores: 4, Memory: 8}, Tasks: d.tasks,
	}
}

// run lets time pass with a tenure of 3 s for placing and 60 s for running.
func (d *driver) run(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.now = d.now.Add(scheduler.TickInterval)
		d.step(scheduler.TenureChanged{Placing: d.now.Add(3 * time.Second), Running: d.now.Add(15 * time.Second)})
		d.step(scheduler.Tick{})
	}
}

func (d *driver) submit(names ...string) {
	for i, n := range names {
		d.step(scheduler.JobSubmitted{Request: uint64(i), Spec: scheduler.JobSpec{Name: n, Class: "repair"}})
	}
}

// Guards against a lease or a deadline that outlasts the tenure, and against an
// unacknowledged start that does not hold its capacity.
func TestStartsCarryTenureInWorkerClock(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.run(time.Second)
	d.submit("x", "y", "z")
	d.run(400 * time.Millisecond)
	is.Equal(len(d.commands), 2) // x and y fill the worker, although neither is acknowledged
	c := d.commands[0]
	is.Equal(c.Verb, commander.VerbStart)
	is.Equal(c.Incarnation, "1") // a restarted worker refuses it
	clock := d.now.Sub(start) + ahead
	is.True(c.LeaseEnd <= clock+15*time.Second) // the running tenure, less than a lease
	is.True(c.LeaseEnd > clock+14*time.Second)
	is.True(c.NotAfter <= clock+3*time.Second)
	is.Equal(d.journal.Jobs[0].State, scheduler.JobStarting)
	is.Equal(d.journal.Jobs[0].Worker, "w1")
	d.run(30 * time.Second) // the reports do not list them: sent again, with the same attempt
	for _, c := range d.commands {
		is.Equal(c.Attempt, 1)
		is.True(c.Task != "z")
	}
	is.True(len(d.commands) > 4)
}

// Guards against an owner that kills or counts on a task that its journal does not know,
// or gives its capacity away.
func TestUnknownTaskIsReportedAndLeft(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 4})
	d.tasks = []commander.TaskReport{{Task: "stray", Attempt: 2, Kind: commander.KindBatch, State: commander.TaskRunning, Declared: configurator.Resources{Cores: 3, Memory: 1}, LeaseEnd: ahead + 10*time.Second}}
	d.run(time.Second)
	d.submit("x", "stray")
	d.run(5 * time.Second)
	is.Equal(len(d.commands), 0) // x does not fit beside it, stray must not run twice
	reported := 0
	for _, r := range d.records {
		if r.ID == "stray" && r.Rule == "UnknownTask" {
			reported++
		}
	}
	is.Equal(reported, 1)
	d.tasks[0].State = commander.TaskStopped
	d.run(5 * time.Second)
	started := map[string]bool{}
	for _, c := range d.commands {
		started[fmt.Sprint(c.Verb, " ", c.Task)] = true
	}
	is.True(started["Start x"] && started["Start stray"] && started["Forget stray"])
}

// Guards against an import that is repeated after its answer was lost and runs its jobs
// twice, and against a running job of a moved journal that is not resumed.
func TestImportIsIdempotent(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.run(time.Second)
	jobs := []scheduler.JobEntry{
		{Spec: scheduler.JobSpec{Name: "x", Class: "repair"}, State: scheduler.JobRunning, Worker: "far", Attempt: 3, Checkpoint: "c3"},
		{Spec: scheduler.JobSpec{Name: "gone", Class: "repair"}, State: scheduler.JobCanceling, Attempt: 1},
	}
	d.step(scheduler.JobsImported{From: "b/0", Jobs: jobs})
	d.run(time.Second)
	is.Equal(d.imported, []string{"b/0"})
	d.step(scheduler.JobsImported{From: "b/0", Jobs: jobs})
	d.run(time.Second)
	x, _ := d.shard.Job("x")
	is.Equal(x.Attempt, 4)
	is.Equal(d.commands[0].Checkpoint, "c3")
	gone, _ := d.shard.Job("gone")
	is.Equal(gone.State, scheduler.JobCancelled)
	for _, c := range d.commands {
		is.True(c.Task == "x" && c.Attempt == 4)
	}
}

// Guards against an acknowledged submission that the journal does not hold, and against
// one that was refused and still runs.
func TestSubmissionsDuringOutage(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.run(time.Second)
	d.down = true
	d.submit("x")
	d.run(3 * time.Second)
	d.submit("y")
	is.Equal(len(d.answers), 2)
	for _, a := range d.answers {
		is.True(!a.Accepted)
	}
	d.down = false
	d.run(10 * time.Second)
	is.Equal(len(d.commands), 0)
	is.Equal(len(d.shard.Jobs()), 0)
}

// Guards against a journal that grows with ended jobs or beyond the store's limit.
func TestJournalIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.run(time.Second)
	for i := range 2000 {
		d.submit(fmt.Sprint("job", i))
	}
	d.run(time.Second)
	refused := 0
	for _, a := range d.answers {
		if !a.Accepted {
			refused++
		}
	}
	value, err := d.journal.Encode()
	is.NoErr(err)
	is.True(refused > 0)
	is.True(len(value) < scheduler.MaxJournalSize)
	t.Logf("%d of 2000 accepted at once, journal of %d bytes", 2000-refused, len(value))
}

func ExampleShard_Step() {
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.run(time.Second)
	d.submit("die-plan-7")
	d.run(400 * time.Millisecond)
	c := d.commands[0]
	fmt.Println(d.answers[0].Accepted, c.Verb, c.Task, c.Attempt)
	// Output: true Start die-plan-7 1
}
