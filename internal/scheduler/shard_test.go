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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver steps a shard with one worker, "w1", whose clock is workerClockOffset ahead.
type driver struct {
	shard        *scheduler.Shard
	now          time.Time
	sequence     uint64
	sentCommands []commander.Command
	answers      []scheduler.AnswerSubmission
	decisions    []scheduler.DecisionRecord
	importedFrom []string
	journal      scheduler.Journal
	tasks        []commander.TaskReport
	storeDown    bool
}

const workerClockOffset = time.Hour

func newDriver(j scheduler.Journal) *driver {
	d := &driver{now: startTime, shard: scheduler.NewShard(scheduler.Settings{
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

// step passes an event to the shard and carries out the resulting actions at once. The
// answer to every command is lost.
func (d *driver) step(e scheduler.Event) {
	for _, a := range d.shard.Step(e, d.now) {
		switch a := a.(type) {
		case scheduler.WriteJournal:
			if d.storeDown {
				d.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: time.Second, Reason: "down"})
				continue
			}
			d.journal, _ = scheduler.DecodeJournal("a/0", a.Value)
			d.step(scheduler.JournalWritten{Sequence: a.Sequence})
		case scheduler.SendFence:
			d.step(scheduler.WorkerEpochAccepted{Worker: "w1", Epoch: a.Epoch, Report: d.report(a.Epoch), SentAt: d.now, ReceivedAt: d.now})
		case scheduler.RequestReport:
			d.step(scheduler.ReportArrived{Worker: "w1", Report: d.report(d.journal.Epoch), SentAt: d.now, ReceivedAt: d.now})
		case scheduler.SendCommands:
			d.sentCommands = append(d.sentCommands, a.Commands...)
			d.step(scheduler.CommandsAnswered{Worker: "w1", Unreachable: true})
		case scheduler.AnswerSubmission:
			d.answers = append(d.answers, a)
		case scheduler.AnswerImport:
			d.importedFrom = append(d.importedFrom, a.From)
		case scheduler.DecisionRecord:
			d.decisions = append(d.decisions, a)
		}
	}
}

func (d *driver) report(epoch uint64) commander.Report {
	return commander.Report{
		Worker: "w1", Incarnation: "1", Clock: d.now.Sub(startTime) + workerClockOffset, MeasuredAt: d.now.Sub(startTime) + workerClockOffset, Epoch: epoch,
		Capacity: configurator.Resources{Cores: 4, Memory: 8}, Tasks: d.tasks,
	}
}

// runFor advances the clock by t in ticks. At each tick the ownership lease ends after 3 s
// for placing and after 15 s for running.
func (d *driver) runFor(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.now = d.now.Add(scheduler.TickInterval)
		d.step(scheduler.OwnershipLeaseChanged{PlacingUntil: d.now.Add(3 * time.Second), RunningUntil: d.now.Add(15 * time.Second)})
		d.step(scheduler.Tick{})
	}
}

func (d *driver) submit(names ...string) {
	for i, n := range names {
		d.step(scheduler.JobSubmitted{Request: uint64(i), Spec: scheduler.JobSpec{Name: n, Class: "repair"}})
	}
}

// Guards against a task lease or a command deadline that ends after the ownership lease. Also
// guards against an unacknowledged start whose capacity is assigned to another task.
func TestStartsCarryOwnershipLeaseInWorkerClock(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.runFor(time.Second)
	d.submit("x", "y", "z")
	d.runFor(400 * time.Millisecond)
	is.Equal(len(d.sentCommands), 2) // x and y fill the worker, although neither is acknowledged
	c := d.sentCommands[0]
	is.Equal(c.Verb, commander.VerbStart)
	is.Equal(c.Incarnation, "1") // another incarnation of the worker refuses it
	clock := d.now.Sub(startTime) + workerClockOffset
	is.True(c.LeaseEnd <= clock+15*time.Second) // end of the ownership lease for running, earlier than a full task lease
	is.True(c.LeaseEnd > clock+14*time.Second)
	is.True(c.NotAfter <= clock+3*time.Second)
	is.Equal(d.journal.Jobs[0].State, scheduler.JobStarting)
	is.Equal(d.journal.Jobs[0].Worker, "w1")
	d.runFor(30 * time.Second) // the reports list no task, so the starts are sent again with the same attempt
	for _, c := range d.sentCommands {
		is.Equal(c.Attempt, 1)
		is.True(c.Task != "z")
	}
	is.True(len(d.sentCommands) > 4)
}

// Guards against an owner that stops or adopts a running task that its journal does not
// list, starts a second run of it, or assigns its capacity to another task.
func TestUnlistedTaskIsRecordedAndNotStopped(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 4})
	d.tasks = []commander.TaskReport{{Task: "unlisted", Attempt: 2, Kind: commander.KindBatch, State: commander.TaskRunning, Declared: configurator.Resources{Cores: 3, Memory: 1}, LeaseEnd: workerClockOffset + 10*time.Second}}
	d.runFor(time.Second)
	d.submit("x", "unlisted")
	d.runFor(5 * time.Second)
	is.Equal(len(d.sentCommands), 0) // x does not fit beside unlisted, and unlisted must not run twice
	recorded := 0
	for _, r := range d.decisions {
		if r.ID == "unlisted" && r.Rule == "UnknownTask" {
			recorded++
		}
	}
	is.Equal(recorded, 1)
	d.tasks[0].State = commander.TaskStopped
	d.runFor(5 * time.Second)
	started := map[string]bool{}
	for _, c := range d.sentCommands {
		started[fmt.Sprint(c.Verb, " ", c.Task)] = true
	}
	is.True(started["Start x"] && started["Start unlisted"] && started["Forget unlisted"])
}

// Guards against jobs that run twice because an import is repeated after its answer was
// lost, and against a running job that is not resumed from its checkpoint after the import.
func TestImportIsIdempotent(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.runFor(time.Second)
	jobs := []scheduler.JobEntry{
		{Spec: scheduler.JobSpec{Name: "x", Class: "repair"}, State: scheduler.JobRunning, Worker: "b-worker", Attempt: 3, Checkpoint: "c3"},
		{Spec: scheduler.JobSpec{Name: "canceled", Class: "repair"}, State: scheduler.JobCanceling, Attempt: 1},
	}
	d.step(scheduler.JobsImported{From: "b/0", Jobs: jobs})
	d.runFor(time.Second)
	is.Equal(d.importedFrom, []string{"b/0"})
	d.step(scheduler.JobsImported{From: "b/0", Jobs: jobs})
	d.runFor(time.Second)
	x, _ := d.shard.Job("x")
	is.Equal(x.Attempt, 4)
	is.Equal(d.sentCommands[0].Checkpoint, "c3")
	canceled, _ := d.shard.Job("canceled")
	is.Equal(canceled.State, scheduler.JobCancelled)
	for _, c := range d.sentCommands {
		is.True(c.Task == "x" && c.Attempt == 4)
	}
}

// Guards against a submission that is accepted although the store does not hold it, and
// against a rejected job that runs after the outage.
func TestSubmissionsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.runFor(time.Second)
	d.storeDown = true
	d.submit("x")
	d.runFor(3 * time.Second)
	d.submit("y")
	is.Equal(len(d.answers), 2)
	for _, a := range d.answers {
		is.True(!a.Accepted)
	}
	d.storeDown = false
	d.runFor(10 * time.Second)
	is.Equal(len(d.sentCommands), 0)
	is.Equal(len(d.shard.Jobs()), 0)
}

// Guards against a journal that grows beyond the store's limit: when it is nearly full,
// further jobs must be refused.
func TestJournalSizeIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.runFor(time.Second)
	for i := range 2000 {
		d.submit(fmt.Sprint("job", i))
	}
	d.runFor(time.Second)
	refused := 0
	for _, a := range d.answers {
		if !a.Accepted {
			refused++
		}
	}
	value, err := d.journal.Encode()
	is.NoErr(err)
	is.True(refused > 0)
	is.True(len(value) < scheduler.MaxJournalBytes)
	t.Logf("%d of 2000 accepted at once, journal of %d bytes", 2000-refused, len(value))
}

func ExampleShard_Step() {
	d := newDriver(scheduler.Journal{Epoch: 1})
	d.runFor(time.Second)
	d.submit("die-plan-7")
	d.runFor(400 * time.Millisecond)
	c := d.sentCommands[0]
	fmt.Println(d.answers[0].Accepted, c.Verb, c.Task, c.Attempt)
	// Output: true Start die-plan-7 1
}
