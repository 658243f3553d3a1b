package harness_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/generator"
	"peridotpitch/internal/harness"
	"peridotpitch/internal/relayer"
)

// workload is what runs while a test breaks something.
type workload struct {
	t        *testing.T
	c        *harness.Cluster
	requests chan *generator.Result
	jobs     chan *generator.Result
}

// begin sends requests for about seconds seconds, and submits jobs of about two seconds
// during that time.
func begin(t *testing.T, c *harness.Cluster, seconds, jobs int) *workload {
	t.Helper()
	mix := func(text string) generator.Mix {
		m, err := generator.ParseMix(text)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	w := &workload{t: t, c: c, requests: make(chan *generator.Result, 1), jobs: make(chan *generator.Result, 1)}
	callers := generator.CallerOptions{
		Entries: c.Callers(), Rate: 200, Count: 200 * seconds, Services: mix("quotes"), Tenants: mix("mill,office"), Classes: mix("normal:3,urgent:1"),
		Repeatable: 0.5, Timeout: 2 * time.Second, HealthEvery: 200 * time.Millisecond, Run: "run", Seed: 1,
	}
	submissions := generator.JobOptions{
		Admins: c.Admins(), Rate: float64(jobs) / float64(seconds), Count: jobs, Classes: mix("plan"), Teams: mix("mill,office"),
		Duration: 2 * time.Second, Wait: harness.Limit, RetryFor: harness.Limit, Run: "run", Seed: 1,
	}
	go func() {
		r, err := generator.Call(t.Context(), callers)
		if err != nil {
			t.Error(err)
		}
		w.requests <- r
	}()
	go func() {
		r, err := generator.Report(t.Context(), submissions)
		if err != nil {
			t.Error(err)
		}
		w.jobs <- r
	}()
	return w
}

// beginOn starts a cluster, begins and lets the workload run for a while.
func beginOn(t *testing.T, o harness.ClusterOptions, seconds, jobs int, calm time.Duration) (*harness.Cluster, *workload) {
	t.Helper()
	c := harness.StartCluster(t, o)
	w := begin(t, c, seconds, jobs)
	time.Sleep(calm)
	return c, w
}

// endWithAllJobs is like end and checks that every job has finished.
func (w *workload) endWithAllJobs() (requests, jobs *generator.Result) {
	w.t.Helper()
	requests, jobs = w.end()
	if j := jobs.Jobs(); j.Finished != j.Submitted {
		w.t.Errorf("%d of %d jobs finished", j.Finished, j.Submitted)
	}
	return requests, jobs
}

// end waits for the outcomes and checks the guarantees that every test checks.
func (w *workload) end() (requests, jobs *generator.Result) {
	w.t.Helper()
	requests, jobs = <-w.requests, <-w.jobs
	complete := len(w.c.WorkerAddresses()) == len(w.c.Workers)
	violations, ran := harness.Violations(w.t, w.c.WorkerAddresses())
	for _, v := range append(append(violations, requests.Violations(ran, complete)...), requests.Problems()...) {
		w.t.Error("violation:", v)
	}
	var s strings.Builder
	for _, r := range []*generator.Result{requests, jobs} {
		if err := r.Print(&s); err != nil {
			w.t.Error(err)
		}
	}
	w.t.Log(s.String())
	return requests, jobs
}

// Guards against a crash of an entry host that loses jobs, runs one twice or answers
// callers wrongly.
func TestEntryHostKilled(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 12, 30, 3*time.Second)
	killed := c.Owner("north")
	killed.Kill()
	c.Owner("north", killed) // another host takes over
	c.StartHost(killed)
	_, jobs := w.endWithAllJobs()
	is.Equal(jobs.Jobs().Refused+jobs.Jobs().Unknown, 0)
}

// Guards against a paused owner that acts on its shard after another host took over.
func TestEntryHostPaused(t *testing.T) {
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 16, 30, 3*time.Second)
	paused := c.Owner("north")
	paused.Pause()
	c.Owner("north", paused)
	time.Sleep(2 * time.Second) // the new owner acts
	paused.Resume()
	w.endWithAllJobs()
}

// Guards against a planned stop that interrupts a request.
func TestEntryHostTerminated(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 8, 16, 2*time.Second)
	leaving := c.Owner("north")
	leaving.Terminate()
	is.Equal(leaving.Wait(), 0)
	requests, jobs := w.end()
	is.Equal(requests.Count(generator.Failed), 0) // a connection that ends without an answer
	is.Equal(requests.Count(generator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against a store outage that stops services or runs jobs twice.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 20, 30, 3*time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{Down: true})
	time.Sleep(10 * time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	requests, jobs := w.end()
	is.Equal(requests.Count(generator.Answered), len(requests.Records())) // callers do not notice
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against lost answers of the store that make an owner write or start twice.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 12, 30, 2*time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{LoseAnswers: 0.2})
	time.Sleep(8 * time.Second)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	w.endWithAllJobs()
}

// Guards against a dead worker whose jobs are lost or run while the first run may go on.
func TestWorkerKilled(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	w := begin(t, c, 8, 30)
	killed := c.WaitForBatch()
	killed.Kill()
	requests, jobs := w.end()
	is.True(requests.Count(generator.Answered) > 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against a worker that fails every task and takes all jobs down with it.
func TestWorkerFailsEveryTask(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := harness.StartCluster(t, harness.ClusterOptions{})
	harness.SetFaults(t, c.Workers[0].Address, emulator.Faults{FailTasks: true})
	_, jobs := begin(t, c, 10, 30).end()
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// Guards against an owner that is cut from the store and its peers and goes on while its
// successor starts the same jobs.
func TestEntryHostCutOff(t *testing.T) {
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{Relays: true}, 16, 30, 3*time.Second)
	h := c.Owner("north")
	c.CutOff(h, relayer.Cut{Forward: true, Backward: true})
	c.Owner("north", h)         // another host takes over
	time.Sleep(2 * time.Second) // and acts
	c.CutOff(h, relayer.Cut{})
	w.endWithAllJobs()
}

// Guards against an owner whose messages and writes arrive while it gets no answers: its
// writes keep others from claiming the shard, and it must not act on them.
func TestEntryHostGetsNoAnswers(t *testing.T) {
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{Relays: true}, 16, 30, 3*time.Second)
	h := c.Owner("north")
	c.CutOff(h, relayer.Cut{Backward: true})
	time.Sleep(8 * time.Second) // over two times OwnershipTtl
	c.CutOff(h, relayer.Cut{})
	w.endWithAllJobs()
}

// Guards against a host that is leaving and claims the shard that another leaving host
// released: it then waited for the whole DrainTimeout and did not hand the shard over.
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
	w := begin(t, c, 45, 60)
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
		t.Fatalf("the load ended before the last restart: %v", r)
	default:
	}
	requests, jobs := w.end()
	is.Equal(requests.Count(generator.Failed), 0)
	is.Equal(requests.Count(generator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}

// leavingLimit is guarantee 7: a host that is leaving gets no new work 5 s after the
// operator said so.
const leavingLimit = 5 * time.Second

// Guards against new work on a worker that an operator drains, and against a drain that
// interrupts requests or loses jobs.
func TestWorkerDrained(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 14, 40, 2*time.Second)
	drained := c.WaitForBatch()
	c.Command("host", "drain", "-address", c.Admins()[0].String(), drained.Name)
	limit := time.Now().Add(leavingLimit)
	requests, jobs := w.end()
	late := 0
	for _, r := range harness.Runs(t, drained.Address) {
		if r.Started.After(limit) {
			late++
		}
	}
	is.Equal(late, 0)
	is.Equal(requests.Count(generator.Failed)+requests.Count(generator.Unknown), 0)
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
