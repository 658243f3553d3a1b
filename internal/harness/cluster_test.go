package harness_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/harness"
	"peridotpitch/internal/loadgenerator"
	"peridotpitch/internal/relayer"
)

// workload is the requests and jobs that run while a test injects a fault.
type workload struct {
	t        *testing.T
	cluster  *harness.Cluster
	requests chan *loadgenerator.Result
	jobs     chan *loadgenerator.Result
}

// startWorkload sends requests for about the given number of seconds, and submits jobs of
// about two seconds during that time.
func startWorkload(t *testing.T, c *harness.Cluster, seconds, jobs int) *workload {
	t.Helper()
	mix := func(text string) loadgenerator.Mix {
		m, err := loadgenerator.ParseMix(text)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	w := &workload{t: t, cluster: c, requests: make(chan *loadgenerator.Result, 1), jobs: make(chan *loadgenerator.Result, 1)}
	callers := loadgenerator.CallerOptions{
		Entries: c.Callers(), Rate: 200, Count: 200 * seconds, Services: mix("quotes"), Tenants: mix("mill,office"), Classes: mix("normal:3,urgent:1"),
		Repeatable: 0.5, Timeout: 2 * time.Second, ReadinessInterval: 200 * time.Millisecond, Run: "run", Seed: 1,
	}
	submissions := loadgenerator.JobOptions{
		Admins: c.Admins(), Rate: float64(jobs) / float64(seconds), Count: jobs, Classes: mix("plan"), Teams: mix("mill,office"),
		Duration: 2 * time.Second, Wait: harness.WaitTimeout, RetryFor: harness.WaitTimeout, Run: "run", Seed: 1,
	}
	go func() {
		r, err := loadgenerator.RunCallers(t.Context(), callers)
		if err != nil {
			t.Error(err)
		}
		w.requests <- r
	}()
	go func() {
		r, err := loadgenerator.RunJobs(t.Context(), submissions)
		if err != nil {
			t.Error(err)
		}
		w.jobs <- r
	}()
	return w
}

// startClusterAndWorkload starts a cluster and a workload, and returns when the workload has
// run for the duration warmup.
func startClusterAndWorkload(t *testing.T, o harness.ClusterOptions, seconds, jobs int, warmup time.Duration) (*harness.Cluster, *workload) {
	t.Helper()
	c := harness.StartCluster(t, o)
	w := startWorkload(t, c, seconds, jobs)
	time.Sleep(warmup)
	return c, w
}

// waitForAllJobsFinished is like waitAndCheck and also checks that every submitted job has
// finished.
func (w *workload) waitForAllJobsFinished() (requests, jobs *loadgenerator.Result) {
	w.t.Helper()
	requests, jobs = w.waitAndCheck()
	if j := jobs.Jobs(); j.Finished != j.Submitted {
		w.t.Errorf("%d of %d jobs finished", j.Finished, j.Submitted)
	}
	return requests, jobs
}

// waitAndCheck waits until the workload ends, checks the guarantees that hold in every test
// and returns the results.
func (w *workload) waitAndCheck() (requests, jobs *loadgenerator.Result) {
	w.t.Helper()
	requests, jobs = <-w.requests, <-w.jobs
	complete := len(w.cluster.WorkerAddresses()) == len(w.cluster.Workers)
	violations, ran := harness.Violations(w.t, w.cluster.WorkerAddresses())
	for _, v := range append(append(violations, requests.Violations(ran, complete)...), requests.Problems()...) {
		w.t.Error("violation:", v)
	}
	var s strings.Builder
	for _, r := range []*loadgenerator.Result{requests, jobs} {
		if err := r.Print(&s); err != nil {
			w.t.Error(err)
		}
	}
	w.t.Log(s.String())
	return requests, jobs
}

// Guards against a crash of an entry host that loses jobs, runs a job twice or gives
// callers wrong outcomes.
func TestEntryHostKilled(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 12, 30, 3*time.Second)
	killed := c.Owner("north")
	killed.Kill()
	c.Owner("north", killed) // another host claims the shard
	c.StartHost(killed)
	_, jobs := w.waitForAllJobsFinished()
	is.Equal(jobs.Jobs().Refused+jobs.Jobs().Unknown, 0)
}

// Guards against an owner that is paused and, after it resumes, acts on its shard although
// another host has claimed it.
func TestEntryHostPaused(t *testing.T) {
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 16, 30, 3*time.Second)
	paused := c.Owner("north")
	paused.Pause()
	c.Owner("north", paused)
	time.Sleep(2 * time.Second) // time for the new owner to send commands
	paused.Resume()
	w.waitForAllJobsFinished()
}

// Guards against a planned stop that interrupts a request.
func TestEntryHostTerminated(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 8, 16, 2*time.Second)
	leaving := c.Owner("north")
	leaving.Terminate()
	is.Equal(leaving.Wait(), 0)
	requests, jobs := w.waitAndCheck()
	is.Equal(requests.Count(loadgenerator.Failed), 0) // connection errors, which include closed connections without an answer
	is.Equal(requests.Count(loadgenerator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against a store outage that stops services or runs jobs twice.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 20, 30, 3*time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{Down: true})
	time.Sleep(10 * time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	requests, jobs := w.waitAndCheck()
	is.Equal(requests.Count(loadgenerator.Answered), len(requests.Records())) // callers are not affected
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against an owner that repeats a write or a start because the store's answer to the
// write was lost.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 12, 30, 2*time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{LoseAnswers: 0.2})
	time.Sleep(8 * time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	w.waitForAllJobsFinished()
}

// Guards against jobs of a crashed worker that are lost, or started again while the first
// run may still be in progress.
func TestWorkerKilled(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	w := startWorkload(t, c, 8, 30)
	killed := c.WaitForBatchTask()
	killed.Kill()
	requests, jobs := w.waitAndCheck()
	is.True(requests.Count(loadgenerator.Answered) > 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against jobs that fail for good because the placer keeps choosing a worker on which
// every task fails.
func TestWorkerFailsEveryTask(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	harness.SetFaults(t, c.Workers[0].Address, emulator.Faults{FailTasks: true})
	_, jobs := startWorkload(t, c, 10, 30).waitAndCheck()
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against an owner that is partitioned from the store and its peers and keeps starting
// jobs while its successor starts the same ones.
func TestEntryHostPartitioned(t *testing.T) {
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{Relays: true}, 16, 30, 3*time.Second)
	h := c.Owner("north")
	c.CutOff(h, relayer.Cut{Forward: true, Backward: true})
	c.Owner("north", h)         // another host claims the shard
	time.Sleep(2 * time.Second) // time for the new owner to send commands
	c.CutOff(h, relayer.Cut{})
	w.waitForAllJobsFinished()
}

// Guards against an owner whose messages and writes arrive although it gets no answers: the
// writes prevent other hosts from claiming the shard, but the owner must not act on writes
// that were not confirmed.
func TestEntryHostGetsNoAnswers(t *testing.T) {
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{Relays: true}, 16, 30, 3*time.Second)
	h := c.Owner("north")
	c.CutOff(h, relayer.Cut{Backward: true})
	time.Sleep(8 * time.Second) // more than twice OwnershipTtl
	c.CutOff(h, relayer.Cut{})
	w.waitForAllJobsFinished()
}

// Guards against a leaving host that claims the shard that another leaving host released. The
// claiming host would then wait for the full DrainTimeout and end without having handed the
// shard over.
func TestAllEntryHostsTerminated(t *testing.T) {
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	for _, h := range c.Hosts {
		h.Terminate()
	}
	for _, h := range c.Hosts {
		if code := h.Wait(); code != 0 {
			t.Errorf("%s ended with status %d", h.Name, code)
		}
		for _, l := range h.Lines() {
			if strings.Contains(l, "shards were not released") {
				t.Errorf("%s: %s", h.Name, l)
			}
		}
	}
}

// Guards against a rolling restart of all entry hosts that interrupts a request or loses
// a job.
func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	w := startWorkload(t, c, 45, 60)
	restarted := 0
	for _, h := range c.Hosts {
		h.Terminate()
		is.Equal(h.Wait(), 0)
		c.StartHost(h)
		c.WaitReady()
		restarted++
	}
	is.Equal(restarted, 4)
	select {
	case r := <-w.requests:
		t.Fatalf("the requests ended before the last restart: %v", r)
	default:
	}
	requests, jobs := w.waitAndCheck()
	is.Equal(requests.Count(loadgenerator.Failed), 0)
	is.Equal(requests.Count(loadgenerator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// drainDeadline is the bound of guarantee 7: 5 s after the operator drains a host, the host
// gets no new work.
const drainDeadline = 5 * time.Second

// Guards against new work on a worker that an operator has drained, and against a drain that
// interrupts requests or loses jobs.
func TestWorkerDrained(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 14, 40, 2*time.Second)
	drained := c.WaitForBatchTask()
	c.Command("host", "drain", "-address", c.Admins()[0].String(), drained.Name)
	limit := time.Now().Add(drainDeadline)
	requests, jobs := w.waitAndCheck()
	late := 0
	for _, r := range harness.Runs(t, drained.Address) {
		if r.Started.After(limit) {
			late++
		}
	}
	is.Equal(late, 0)
	is.Equal(requests.Count(loadgenerator.Failed)+requests.Count(loadgenerator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
	harness.WaitFor(t, "the drained worker to be empty", func() bool {
		for _, r := range harness.Runs(t, drained.Address) {
			if r.Ended.IsZero() {
				return false
			}
		}
		return true
	})
}
