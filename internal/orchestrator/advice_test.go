package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"gopkg.in/ini.v1"

	"peridotpitch/internal/orchestrator"
)

// adviceCase is a section of testdata/advice.ini.
type adviceCase struct {
	Workers                     int
	Decide, PerWorker, Validity time.Duration
	Configured                  float64 // times in the configuration, as a share of the real ones
	Rate, Burst                 float64 // jobs per second, and the factor of the burst
	BurstTime, After            time.Duration
	LeaderLost                  time.Duration // from the beginning of the burst; 0: the leader is not lost
	Down, Unanswered            bool
}

const (
	adviceBefore = 8 * time.Second
	// adviceFinish is how long after the end of the traffic jobs may still wait: "`finish_s` after the end of the traffic jobs are asked for".
	adviceFinish = 14 * time.Second
)

// allowHalf allows a step on about half of the workers.
func allowHalf(step, worker string) bool {
	return xxhash.Sum64String(step+"/"+worker)&1 == 0
}

// advisedPolicy returns the policy of a queue with advice by a policy service.
func advisedPolicy(p *policyService, configured float64) orchestrator.Policy {
	return orchestrator.Policy{Service: "s", Attempts: 3, Stretch: 2, TargetDuration: time.Second, Advised: true,
		AdviceTime: time.Duration(configured * float64(p.decide)), AdviceTimePerWorker: time.Duration(configured * float64(p.perWorker))}
}

// advisedLoad is a simulation of a load on a queue with advice.
type advisedLoad struct {
	*simulation
	adviceCase
	submitted []string
}

func newAdvisedLoad(t *testing.T, c adviceCase, disabled orchestrator.MechanismSet) *advisedLoad {
	if c.Configured == 0 {
		c.Configured = 1
	}
	w := newSimulation(t, 1)
	w.disabled = disabled
	for i := range c.Workers {
		w.addWorker(fmt.Sprintf("w%03d", i), cores(32, 128), "r0")
	}
	w.policy = &policyService{decide: c.Decide, perWorker: c.PerWorker, validity: c.Validity, allows: allowHalf}
	if c.Unanswered {
		w.policy.fails = func(step string) bool { return step == "job00001.0.0" }
	}
	w.runTime = func(string, *simulatedWorker) time.Duration { return 640 * time.Millisecond }
	w.elect(false)
	w.run(time.Second)
	return &advisedLoad{simulation: w, adviceCase: c}
}

// load submits jobs at a rate for d.
func (l *advisedLoad) load(d time.Duration, rate float64) {
	const step = 10 * time.Millisecond
	begin := l.now
	for n := 0.0; l.now.Sub(begin) < d; l.run(step) {
		for ; n <= l.now.Sub(begin).Seconds()*rate; n++ {
			id := fmt.Sprintf("job%05d", len(l.submitted)+1)
			j := simpleJob(id, 6, orchestrator.Resources{CPU: 2300, Memory: 4600})
			j.Steps[0].Estimate = 640 * time.Millisecond
			j.Policy = advisedPolicy(l.policy, l.Configured)
			l.submit(j)
			l.submitted = append(l.submitted, id)
		}
	}
}

// waiting returns the jobs that have not succeeded and of which no task runs.
func (l *advisedLoad) waiting() []string {
	var ids []string
	for _, id := range l.submitted {
		if l.state(id) != orchestrator.StateSucceeded && len(l.runningOn(id)) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against a state that outlasts a burst or an outage of the outside policy: most of its work is for calls that are given up before
// their answer, or answers come when their tickets are no longer valid.
func TestAdviceRecovers(t *testing.T) {
	t.Parallel()
	f, err := ini.Load("testdata/advice.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		t.Run(section.Name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var c adviceCase
			is.NoErr(section.StrictMapTo(&c))
			l := newAdvisedLoad(t, c, 0)
			l.load(adviceBefore, c.Rate)
			l.policy.down = c.Down
			if c.LeaderLost > 0 {
				l.load(c.LeaderLost, c.Burst*c.Rate)
				l.changeLeader(false)
				l.load(c.BurstTime-c.LeaderLost, c.Burst*c.Rate)
			} else {
				l.load(c.BurstTime, c.Burst*c.Rate)
			}
			l.policy.down = false
			l.load(c.After, c.Rate)
			l.run(adviceFinish)
			waiting := l.waiting()
			if c.Unanswered {
				is.Equal(waiting, []string{"job00001"})
				return
			}
			if len(waiting) > 0 {
				t.Errorf("%d of %d jobs have no run; %d calls answered, %d abandoned, %d starts refused", len(waiting), len(l.submitted), l.policy.answered, l.policy.abandoned, l.policy.refusedStarts)
			}
		})
	}
}

// newAdvisedCluster returns a cluster with a policy service that answers in 28 ms and 3 ms for each worker.
func newAdvisedCluster(t *testing.T, n int, allows func(step, worker string) bool) *simulation {
	w := newSimulation(t, 1)
	for i := range n {
		w.addWorker(fmt.Sprintf("w%02d", i), cores(32, 128), "r0")
	}
	w.policy = &policyService{decide: 28 * time.Millisecond, perWorker: 3 * time.Millisecond, validity: 3 * time.Second, allows: allows}
	w.elect(false)
	w.run(time.Second)
	return w
}

// submitAdvised submits a job to a queue with advice.
func (w *simulation) submitAdvised(j orchestrator.Job) {
	priority := j.Policy.Priority
	j.Policy = advisedPolicy(w.policy, 1)
	j.Policy.Priority = priority
	w.submit(j)
}

func allowAll(string, string) bool { return true }

// Guards against a step that asks about the same workers again and again although it can start no further task there.
func TestAdviceReachesAllWorkers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 48, allowAll)
	j := longRunningJob("wide", 40, cores(6, 13))
	j.Steps[0].MaxPerWorker = 1
	w.submitAdvised(j)
	w.run(3 * time.Second)
	is.Equal(len(w.runningOn("wide")), 40)
}

// Guards against a gang that never has the tickets of all its members at once.
func TestAdviceForGang(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 48, allowHalf)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	j := simpleJob("gang", 12, cores(6, 13))
	j.Steps[0].Gang, j.Steps[0].MaxPerWorker = true, 1
	w.submitAdvised(j)
	w.run(3 * time.Second)
	is.Equal(len(w.runningOn("gang")), 12)
}

// A gang of three may run on two workers only. Guards against calls for a step that can't start whatever the answer is.
func TestNoAdviceForGangWithoutRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 2, allowAll)
	j := simpleJob("gang", 3, cores(6, 13))
	j.Steps[0].Gang, j.Steps[0].MaxPerWorker = true, 1
	w.submitAdvised(j)
	w.run(10 * time.Second)
	is.Equal(w.policy.answered, 0)
}

// A backlog of batch jobs waits for a slow policy service when an urgent job comes. Guards against steps that ask in the order of their
// arrival.
func TestUrgentStepAsksFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 24, allowAll)
	w.policy.decide = 500 * time.Millisecond
	for i := range 40 {
		j := simpleJob(fmt.Sprintf("batch%02d", i), 1, cores(2, 2))
		j.Policy.Priority = 2
		w.submitAdvised(j)
	}
	w.run(time.Second)
	w.submitAdvised(simpleJob("urgent", 1, cores(2, 2)))
	w.run(1200 * time.Millisecond) // the call of a batch job that was sent before, and its own
	is.True(!w.startedAt["urgent.0.0.0"].IsZero())
}

// A job is cancelled while the policy service handles its call. Guards against a call that counts as unanswered for good, so that no other
// is sent.
func TestCallOfCancelledJobHoldsUpNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 24, allowAll)
	w.policy.decide = 500 * time.Millisecond
	w.submitAdvised(simpleJob("first", 1, cores(2, 2)))
	w.run(100 * time.Millisecond)
	w.cancel("first")
	w.submitAdvised(simpleJob("second", 1, cores(2, 2)))
	w.run(1500 * time.Millisecond)
	is.Equal(w.startedAt["first.0.0.0"], time.Time{})
	is.True(!w.startedAt["second.0.0.0"].IsZero())
}

// A worker restarts after the step was allowed there, and its task has to start again. Guards against a ticket that is used for another process than
// the one it was given for.
func TestTicketEndsWithProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 1, allowAll)
	w.submitAdvised(longRunningJob("job", 1, cores(2, 2)))
	w.run(500 * time.Millisecond)
	is.Equal(w.runningOn("job"), []string{"w00"})
	w.crash.down, w.crash.sameID = 300*time.Millisecond, true
	w.crashWorker(w.workers["w00"])
	w.run(2 * time.Second) // within the validity of the former ticket
	is.Equal(w.runningOn("job"), []string{"w00"})
	is.Equal(w.policy.refusedStarts, 0)
}

// The policy service forgets its tickets once. Guards against a step that uses refused tickets again, and against one that asks again about
// workers that it may not use.
func TestRefusedTicketIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 2, func(_, worker string) bool { return worker == "w01" })
	w.runTime = func(string, *simulatedWorker) time.Duration { return 400 * time.Millisecond }
	w.succeeds = func(_ string, run int) bool { return run > 1 } // starts again within the validity of its ticket
	w.submitAdvised(simpleJob("job", 1, cores(2, 2)))
	w.run(300 * time.Millisecond)
	is.Equal(w.runningOn("job"), []string{"w01"})
	clear(w.policy.ended)
	w.run(2 * time.Second)
	is.Equal(w.state("job"), orchestrator.StateSucceeded)
	is.Equal(w.policy.refusedStarts, 1)
	is.Equal(w.policy.asked["w00"], 1)
}

// Guards against a task that stays in an evacuated failure domain because it has a run and no waiting task of its step asks for tickets.
func TestAdvisedTaskLeavesEvacuatedDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 4, allowAll)
	for i, n := range w.workerNames {
		w.workers[n].entry.FailureDomain = fmt.Sprintf("d%d", i%2)
		w.leader().step(orchestrator.WorkerListed{Worker: w.workers[n].entry})
	}
	w.submitAdvised(longRunningJob("job", 1, cores(2, 2)))
	w.run(time.Second)
	from := w.runningOn("job")[0]
	w.evacuate(w.workers[from].entry.FailureDomain)
	w.run(4 * time.Second)
	is.Equal(len(w.runningOn("job")), 1)
	is.True(w.workers[w.runningOn("job")[0]].entry.FailureDomain != w.workers[from].entry.FailureDomain)
}

// Jobs come faster than the policy service answers calls about all workers.
func adviceKeepsUpWithLoad(t *testing.T, disabled orchestrator.MechanismSet) bool {
	l := newAdvisedLoad(t, adviceCase{Workers: 24, Decide: 28 * time.Millisecond, PerWorker: 3 * time.Millisecond, Validity: 3 * time.Second}, disabled)
	l.load(20*time.Second, 16)
	l.run(time.Second)
	return len(l.waiting()) == 0
}

// Jobs of several kinds come to a queue with advice while commands get no answer, workers restart, leaders change and the policy service is
// down at times. Guards against a step that never has its tickets again, and against starts that break a guarantee on the way.
func TestAdviceUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed)
			for i := range 10 {
				w.addWorker(fmt.Sprintf("w%02d", i), cores(16, 64), fmt.Sprintf("r%d", i%2))
			}
			w.policy = &policyService{decide: 28 * time.Millisecond, perWorker: 3 * time.Millisecond, validity: time.Second, allows: allowHalf}
			w.crash.down, w.crash.sameID = 500*time.Millisecond, true
			w.elect(false)
			w.run(time.Second)
			w.faults = faults{dropped: 0.03}
			var ids []string
			for n := range 60 {
				id := fmt.Sprintf("job%02d", n)
				j := simpleJob(id, 1+w.rng.IntN(5), cores(2, 2))
				switch s := &j.Steps[0]; w.rng.IntN(5) {
				case 0:
					s.LongRunning, s.Size = true, cores(0.1, 1)
				case 1:
					s.Gang, s.MaxPerWorker, s.Count = true, 1, 1+w.rng.IntN(3) // about half of the workers are allowed
				case 2:
					s.MaxPerWorker, s.Count = 1, 1+w.rng.IntN(3)
				case 3:
					s.RackAffinity = "r1"
				}
				w.submitAdvised(j)
				ids = append(ids, id)
				switch w.rng.IntN(10) {
				case 0:
					w.changeLeader(w.rng.IntN(2) == 0)
				case 1:
					w.policy.down = !w.policy.down
				case 2:
					if k := w.workers[w.workerNames[w.rng.IntN(len(w.workerNames))]]; !k.dead {
						w.crashWorker(k)
					}
				}
				w.run(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
			}
			w.faults, w.policy.down = faults{}, false
			w.run(time.Second)
			w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()}) // also of workers that were away when it was elected
			w.run(40 * time.Second)
			for _, id := range ids {
				step := w.jobs[id].Steps[0]
				allowed := 0
				for _, n := range w.workerNames {
					if allowHalf(id+".0.0", n) {
						allowed++
					}
				}
				switch state := w.state(id); {
				case state == orchestrator.StateFailed: // its workers were crashed too often
				case state == orchestrator.StateSucceeded, step.LongRunning && len(w.runningOn(id)) == step.Count:
				case allowed == 0 || step.Gang && allowed < step.Count:
				default:
					t.Errorf("%s is %s, and its tasks run on %v; it has %d and may run on %d workers: %+v", id, state, w.runningOn(id), step.Count, allowed, step)
				}
			}
		})
	}
}

// All workers are full of runs of lower priority. Guards against an urgent step that never asks the policy service, because no worker has
// room, and so stops no run of lower priority.
func TestUrgentAdvisedTaskPreempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 4, func(_, worker string) bool { return worker == "w01" || worker == "w03" })
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	low := simpleJob("low", 40, cores(8, 2)) // more than find room
	low.Policy.Priority = 2
	w.submit(low)
	w.run(time.Second)
	is.Equal(len(w.runningOn("low")), 16)
	w.submitAdvised(simpleJob("urgent", 1, cores(12, 2)))
	w.run(4 * time.Second)
	is.Equal(len(w.runningOn("urgent")), 1)
	is.Equal(w.stops("low"), 2)
	is.True(w.policy.answered <= 3)
}

// The same with runs of the same priority that end, and others that take their place. Guards against a long-running task for which no worker is
// reserved.
func TestWorkerIsReservedForAdvisedTask(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newAdvisedCluster(t, 20, allowHalf)
	for _, n := range w.workerNames {
		w.resize(w.workers[n], cores(8, 64))
	}
	w.runTime = func(string, *simulatedWorker) time.Duration { return 600 * time.Millisecond }
	n := 0
	load := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.run(shortJobInterval) {
			n++
			w.submit(simpleJob(fmt.Sprintf("short%05d", n), 3, cores(3, 2)))
		}
	}
	load(5 * time.Second)
	w.submitAdvised(longRunningJob("job", 1, cores(7, 2)))
	load(4500*time.Millisecond + maxGap)
	is.Equal(len(w.runningOn("job")), 1)
}

// The only worker is full when a batch job comes, and then an urgent one. Guards against a step that looks for room at intervals of its own, so
// that a less urgent one takes the room that becomes free.
func TestUrgentStepTakesRoomFirst(t *testing.T) {
	t.Parallel()
	for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 10 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			is := is.New(t)
			w := newAdvisedCluster(t, 1, allowAll)
			w.disabled, _ = orchestrator.ParseMechanisms(string(orchestrator.MechanismPreemption))
			w.changeLeader(true)
			w.run(time.Second)
			w.runTime = func(task string, _ *simulatedWorker) time.Duration {
				if task == "first.0.0.0" {
					return time.Second + offset
				}
				return time.Minute
			}
			w.submit(simpleJob("first", 1, cores(20, 2)))
			w.submit(simpleJob("rest", 1, cores(12, 2)))
			w.run(200 * time.Millisecond)
			is.Equal(len(w.runningOn("first"))+len(w.runningOn("rest")), 2)
			batch := simpleJob("batch", 1, cores(20, 2))
			batch.Policy.Priority = 2
			w.submitAdvised(batch)
			w.run(100 * time.Millisecond)
			w.submitAdvised(simpleJob("urgent", 1, cores(20, 2)))
			w.run(2 * time.Second)
			is.Equal(w.runningOn("urgent"), []string{"w00"})
		})
	}
}
