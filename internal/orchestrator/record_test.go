package orchestrator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/classifier"
	"peridotpitch/internal/orchestrator"
)

// Guards against records that stay in the store for ever: the record of a finished job is
// deleted after its retention, also if the first write that deletes it fails.
func TestRecordsOfFinishedJobsExpire(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(4, 16), "r0")
	w.elect(false)
	w.run(time.Second)
	w.submit(simpleJob("j1", 1, cores(1, 1)))
	w.run(2 * time.Second)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
	l := w.leader()
	w.now = w.now.Add(2 * time.Hour)
	l.step(orchestrator.Tick{})
	is.True(l.o.HasUnwrittenChanges())
	for range 2 { // the first write gets no answer
		b := l.o.NextBatch(9, true, w.now)
		is.Equal(len(b.Entries), 1)
		is.True(b.Entries[0].Delete)
	}
	b := l.o.NextBatch(9, true, w.now)
	l.step(orchestrator.Written{Batch: b})
	is.True(!l.o.HasUnwrittenChanges())
	is.Equal(w.state("j1"), orchestrator.State(""))
}

// Guards against a successor that loses the measured interference and has to measure it anew.
func TestWorkloadStatisticsSurviveLeaderChange(t *testing.T) {
	is := is.New(t)
	e := orchestrator.WorkloadStatistics{
		Pairs:  []orchestrator.PairStatistics{{Serving: "web", Filler: "loud", Coefficient: 3, Samples: 40, Variance: 0.02}},
		Images: []orchestrator.ImageStatistics{{Image: "web", Idle: 0.22, Mean: 0.5}},
		Ratios: map[string]float64{"q": 1.5}, Variances: map[string]float64{"q": 0.09},
		LongTasks: map[string]classifier.Queue{"q": {Long: 3, Normal: 100}},
	}
	b, err := orchestrator.EncodeWorkloadStatistics(e)
	is.NoErr(err)
	back, err := orchestrator.DecodeWorkloadStatistics(b)
	is.NoErr(err)
	is.Equal(back, e)
	w := newSimulation(t, 1)
	l := w.elect(false)
	l.step(orchestrator.Inherited{Statistics: back})
	next := l.o.NextBatch(9, true, w.now.Add(time.Minute))
	is.Equal(*next.Statistics, e)
}

// The store is out of reach while runs of many jobs begin. Guards against ends that are not acknowledged for
// long after a wave: with as few jobs in each write as if all had ended, and in no order, some
// records waited for many writes.
func TestWaveOfChangesIsWrittenOldestFirst(t *testing.T) {
	is := is.New(t)
	const jobs, keys = 60, 27
	w := newCluster(t, 10, cores(8, 64))
	l := w.leader()
	l.storeUnreachable = true
	for i := range jobs {
		j := simpleJob(fmt.Sprintf("j%02d", i), 1, cores(1, 1))
		j.Steps[0].LongRunning = true
		w.submit(j)
		w.run(20 * time.Millisecond)
	}
	w.run(200 * time.Millisecond)
	var written []string
	writes := 0
	for l.o.HasUnwrittenChanges() {
		b := l.o.NextBatch(keys, true, w.now)
		for _, e := range b.Entries {
			written = append(written, e.Record.ID)
		}
		l.step(orchestrator.Written{Batch: b})
		writes++
	}
	is.Equal(writes, (jobs+keys-1)/keys)
	is.Equal(len(written), jobs)
	is.True(slices.IsSorted(written))
}

// Hosts are upgraded one after the other. Guards against records of crashes that another version of the program can't
// read, so that the job is left out.
func TestRecordsOfOtherVersionAreRead(t *testing.T) {
	is := is.New(t)
	type formerTask struct {
		_msgpack                         struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
		Occurrence, Step, Index, NextRun int
		Failed                           []int
		Saved                            string
		Workers                          []string
		LastRunEnd                       int64
	}
	former := struct {
		ID    string
		State orchestrator.State
		Tasks []formerTask
	}{"j1", orchestrator.StateRunning, []formerTask{{Index: 2, NextRun: 7, Failed: []int{3}, Workers: []string{"w1"}}}}
	b, err := msgpack.Marshal(&former)
	is.NoErr(err)
	r, err := orchestrator.DecodeRecord(b)
	is.NoErr(err)
	is.Equal(r.Tasks, []orchestrator.TaskRecord{{Index: 2, NextRun: 7, Failed: []int{3}, Workers: []string{"w1"}}})

	r.Crashes = []orchestrator.TaskCrashes{{Index: 2, Crashes: []orchestrator.Crash{{Run: 6, Certain: true}}}}
	b, err = orchestrator.EncodeRecord(r)
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(b, &former))
	is.Equal(former.Tasks[0].NextRun, 7)
	r, err = orchestrator.DecodeRecord(b)
	is.NoErr(err)
	is.Equal(r.Crashes, []orchestrator.TaskCrashes{{Index: 2, Crashes: []orchestrator.Crash{{Run: 6, Certain: true}}}})

	formerRoster := struct{ Workers []orchestrator.RosterEntry }{[]orchestrator.RosterEntry{{ID: "w1", Service: "s"}}}
	b, err = msgpack.Marshal(&formerRoster)
	is.NoErr(err)
	roster, err := orchestrator.DecodeRoster(b)
	is.NoErr(err)
	is.Equal(roster.Workers, formerRoster.Workers)
	roster.Incarnations = map[string]int64{"w1": 5}
	b, err = orchestrator.EncodeRoster(roster)
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(b, &formerRoster))
}
