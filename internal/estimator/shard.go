package estimator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/scheduler"
)

// shardDriver drives one scheduler.Shard and a placer.Placer on virtual time. The emulated
// store and workers answer at once, and a started job finishes before the next report.
type shardDriver struct {
	shard   *scheduler.Shard
	now     time.Time
	queue   []scheduler.Event
	workers map[string]*emulatedWorker

	jobs int // submitted so far
	actionCounts
}

// actionCounts counts the actions that a shard returned.
type actionCounts struct {
	writes, bytes      int // journal writes and their bytes
	messages, commands int // messages to workers and the commands in them
	records            int // decision records
}

type emulatedWorker struct {
	report    commander.Report
	finishing map[string]bool // tasks that the next report lists as finished
}

// newShardDriver returns a driver whose shard owns the workers and has adopted their tasks from
// the journal of an earlier owner.
func newShardDriver(workers, batch, instances int, seed uint64) *shardDriver {
	random := rand.New(rand.NewPCG(seed, uint64(workers)))
	c := configuration(configurationSize{domains: 1, hosts: 2, workers: workers, shards: 1, services: 1, instances: workers * instances, teams: 200})
	d := &shardDriver{now: startTime, workers: make(map[string]*emulatedWorker)}
	d.shard = scheduler.NewShard(scheduler.Settings{
		Shard: firstDomain + "/0", FailureDomain: firstDomain, Host: hostName(0), Writer: hostName(0) + "-5f3759df",
		Placer: placer.New(placer.Policy{}, c.Measures, rand.New(rand.NewPCG(seed, 1))),
	})
	for i := range workers {
		r := report(0, random)
		r.Worker, r.Capacity = workerName(i), workerCapacity(i)
		d.workers[r.Worker] = &emulatedWorker{report: r, finishing: make(map[string]bool)}
	}
	j := journal(workers*batch, workers*instances, workers)
	for _, e := range j.Jobs {
		d.add(e.Worker, taskReport(e.Spec.Name, e.Spec.Class, commander.KindBatch, random))
	}
	for _, e := range j.Instances {
		d.add(e.Worker, taskReport(e.Task, "quotes", commander.KindService, random))
	}
	d.jobs = len(j.Jobs)
	d.handle(scheduler.ConfigurationChanged{Configuration: c})
	d.handle(scheduler.Claimed{Journal: j})
	d.handle(scheduler.OwnershipLeaseChanged{PlacingUntil: d.now.Add(time.Hour), RunningUntil: d.now.Add(time.Hour), EarlierOwnersEndAt: d.now})
	d.advance(3*time.Second, 0) // the workers accept the epoch, and their reports are merged
	return d
}

func (d *shardDriver) add(worker string, t commander.TaskReport) {
	w := d.workers[worker]
	w.report.Tasks = append(w.report.Tasks, t)
}

// advance advances the virtual time by span and submits jobs at a rate per second, spread
// evenly over the ticks of a second. Class 0 is the urgent one and is left out.
func (d *shardDriver) advance(span time.Duration, rate int) {
	ticks := int(span / scheduler.TickInterval)
	perSecond := int(time.Second / scheduler.TickInterval)
	for i := range ticks {
		for range (i+1)*rate/perSecond - i*rate/perSecond {
			d.handle(scheduler.JobSubmitted{Request: uint64(d.jobs), Spec: scheduler.JobSpec{
				Name: jobName(d.jobs), Class: className(1 + d.jobs%(jobClassCount-1)), Team: teamName(d.jobs % 20), Declared: jobSize, Duration: time.Hour,
			}})
			d.jobs++
		}
		d.now = d.now.Add(scheduler.TickInterval)
		d.handle(scheduler.Tick{})
	}
}

// handle passes an event to the shard and executes the resulting actions and events.
func (d *shardDriver) handle(e scheduler.Event) {
	d.queue = append(d.queue, e)
	for len(d.queue) > 0 {
		e, d.queue = d.queue[0], d.queue[1:]
		for _, a := range d.shard.Step(e, d.now) {
			d.execute(a)
		}
	}
}

// execute emulates the store and the workers: it counts an action of the shard and queues the
// event that answers it.
func (d *shardDriver) execute(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.SendFence:
		d.queue = append(d.queue, scheduler.WorkerEpochAccepted{Worker: a.Worker, Epoch: a.Epoch, Report: d.report(a.Worker), SentAt: d.now, ReceivedAt: d.now})
	case scheduler.RequestReport:
		d.queue = append(d.queue, scheduler.ReportArrived{Worker: a.Worker, Report: d.report(a.Worker), SentAt: d.now, ReceivedAt: d.now})
	case scheduler.SendCommands:
		d.messages++
		d.commands += len(a.Commands)
		d.queue = append(d.queue, scheduler.CommandsAnswered{Worker: a.Worker, Results: d.apply(a)})
	case scheduler.WriteJournal:
		d.writes++
		d.bytes += len(a.Value)
		d.queue = append(d.queue, scheduler.JournalWritten{Sequence: a.Sequence})
	case scheduler.DecisionRecord:
		d.records++
	case scheduler.WriteJobHistory:
		d.queue = append(d.queue, scheduler.JobHistoryWritten{Done: true})
	}
}

// report returns the report of a worker that started an hour before startTime and measured its
// tasks 500 ms ago. The tasks are copied, because the shard retains them.
func (d *shardDriver) report(name string) commander.Report {
	w := d.workers[name]
	w.report.Clock = d.now.Sub(startTime) + time.Hour
	w.report.MeasuredAt = w.report.Clock - 500*time.Millisecond
	r := w.report
	r.Tasks = slices.Clone(r.Tasks)
	for i := range w.report.Tasks {
		if t := &w.report.Tasks[i]; w.finishing[t.Task] {
			t.State = commander.TaskFinished
			r.Tasks[i].State = commander.TaskFinished
		}
	}
	clear(w.finishing)
	return r
}

// apply changes an emulated worker's tasks as the commands require and returns the results.
func (d *shardDriver) apply(a scheduler.SendCommands) []commander.Result {
	w := d.workers[a.Worker]
	var rs []commander.Result
	for _, c := range a.Commands {
		i := slices.IndexFunc(w.report.Tasks, func(t commander.TaskReport) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Verb == commander.VerbStart && i < 0:
			w.report.Tasks = append(w.report.Tasks, commander.TaskReport{
				Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, Class: c.Class, State: commander.TaskRunning, Declared: c.Declared, Used: c.Declared, Slowdown: 1, LeaseEnd: c.LeaseEnd,
			})
			w.finishing[c.Task] = true
		case c.Verb == commander.VerbRenew && i >= 0:
			w.report.Tasks[i].LeaseEnd = c.LeaseEnd
		case c.Verb == commander.VerbForget && i >= 0:
			w.report.Tasks = slices.Delete(w.report.Tasks, i, i+1)
		}
		rs = append(rs, commander.Result{Task: c.Task, Done: true})
	}
	return rs
}

// placerWorkers returns workers as input of the placer, each with a number of batch tasks and
// three instances.
func placerWorkers(workers, batch int, seed uint64) []placer.Worker {
	random := rand.New(rand.NewPCG(seed, uint64(workers)))
	var ws []placer.Worker
	for i := range workers {
		w := placer.Worker{Name: workerName(i), Rack: workerName(i / workersPerRack), FailureDomain: firstDomain, Capacity: workerCapacity(i), MeasuredAt: startTime, EpochAccepted: true, Version: uint64(i + 1)}
		for k := range batch + 3 {
			t := placer.Task{Name: jobName(i*100 + k), Class: className(random.IntN(jobClassCount)), Team: teamName(random.IntN(200)), Kind: placer.KindBatch, Declared: jobSize, Attempt: 1}
			if k < 3 {
				t.Kind, t.Spread, t.Urgent = placer.KindService, serviceName(random.IntN(20)), true
			}
			w.AssignedTasks = append(w.AssignedTasks, placer.AssignedTask{Task: t, Committed: jobSize, Measured: jobSize, Slowdown: 1 + random.Float64()/4, Started: startTime})
		}
		ws = append(ws, w)
	}
	return ws
}

// teamQuotas returns the same large quota for each of a number of teams.
func teamQuotas(teams int) map[string]configurator.Resources {
	return maps.Collect(func(yield func(string, configurator.Resources) bool) {
		for i := range teams {
			if !yield(teamName(i), configurator.Resources{Cores: 4000, Memory: 16000 * gigabyte}) {
				return
			}
		}
	})
}
