package surveyor

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// quick measures each figure a few times only: tests judge counts, not times.
var quick = survey{meter: meter{budget: time.Microsecond, repetitions: 1}, seed: 1}

// Targets of the design page that the bounds below are taken from.
const (
	targetNodeBytes  = 23_000      // 1.6: control overhead per node of at most 23 KB per second
	targetNodeHeap   = 256_000_000 // 1.6: 256 MB
	targetStarts     = 500         // 1.6: 500 task starts per second at peak
	targetValue      = 1_000_000   // 1.3: the store holds values up to 1 MB
	targetWrites     = 300         // 1.3: several hundred writes per second, at the least
	targetReads      = 2000        // 1.3: about 2,000 reads per second
	targetWorkers    = 990         // 1.6: 990 workers
	targetDomains    = 6           // 1.6: 6 failure domains
	targetBatch      = 16000       // 1.6: 16,000 batch tasks running
	targetInstances  = 3100        // 1.6: 3,100 latency-critical tasks running
	fewestHosts      = 12          // two in each failure domain, so that one may fail
	shardsPerDomain  = 4           // 990 workers in shards of at most 50
	startsPerShard   = 21          // 500 starts / 24 shards
	messagesOfAHost  = 48          // sent and received per second: 2 * 2 * (2*1 near + 1*10 far)
	shardsOfOneHost  = 2           // 24 shards / 12 hosts
	jobsOfOneShard   = targetBatch/(targetDomains*shardsPerDomain) + 1
	instancesOfShard = targetInstances/(targetDomains*shardsPerDomain) + 1
)

// Guards against an owner that writes more often than the store sustains: the calls of
// one failure domain, with its part of 500 starts a second, are multiplied by six.
func TestStoreCallsAtThePeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, err := storeCalls(context.Background(), 2, shardsPerDomain, startsPerShard, 1)
		is.NoErr(err)
		is.Equal(c.JournalsOwned, shardsPerDomain) // each shard has one owner
		is.Equal(c.Started, startsPerShard*shardsPerDomain*int(startSpan/time.Second))
		writes, reads := 0.0, 0.0
		for kind, r := range c.Starting {
			if strings.HasPrefix(kind, "write") {
				writes += r.Calls
			} else {
				reads += r.Calls
			}
		}
		is.True(writes > 0)
		is.True(reads > 0)
		is.True(writes*targetDomains <= targetWrites)
		is.True(reads*targetDomains <= targetReads)
		// Starts share writes: a write for each start would need 500 a second.
		is.True(writes/(startsPerShard*shardsPerDomain) <= float64(targetWrites)/targetStarts)
	})
}

// Guards against renewals and watches that use up the store while nothing happens.
func TestStoreCallsWithoutWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, err := storeCalls(context.Background(), 4, shardsPerDomain, 1, 1)
		is.NoErr(err)
		is.True(c.IdleWrites > 0) // a shard whose owner writes nothing is claimed by another host
		is.True(c.IdleWrites*shardsPerDomain*targetDomains <= targetWrites)
		is.True(c.IdleReads > 0)
		is.True(c.IdleReads*4*targetDomains <= targetReads)
	})
}

// Guards against journal entries so large that a shard's part of the 19,100 running
// tasks, and the jobs that end within the 10 s between two writes of the records, do not
// fit into one value.
func TestJournalFitsIntoAValue(t *testing.T) {
	is := is.New(t)
	const ended = 10 * startsPerShard
	j := journal(jobsOfOneShard+ended, instancesOfShard, targetWorkers)
	value, err := j.Encode()
	is.NoErr(err)
	is.True(len(value) <= targetValue)
}

// Guards against heartbeats that alone use up the bytes of control. No host is leaving.
func TestHeartbeatSize(t *testing.T) {
	is := is.New(t)
	text, err := msgpack.Marshal(heartbeat(shardsOfOneHost, 0, 0))
	is.NoErr(err)
	is.True(len(text) > 0)
	is.True(len(text)*messagesOfAHost <= targetNodeBytes)
}

// Guards against notices of hosts that have restarted and are live again, which stay in
// each heartbeat. Section 1.6: 380 hosts are restarted or replaced on an ordinary day.
func TestHeartbeatSizeAfterRestarts(t *testing.T) {
	is := is.New(t)
	m := heartbeat(shardsOfOneHost, 0, 0)
	m.Notices = restarted(380)
	text, err := msgpack.Marshal(m)
	is.NoErr(err)
	t.Logf("%d bytes, %d a second", len(text), len(text)*messagesOfAHost)
	is.True(len(text)*messagesOfAHost <= targetNodeBytes) // bytes per second of an entry host
}

// Guards against tables that do not fit into the memory of control: one host's shards,
// configuration, router and records.
func TestHeapOfTables(t *testing.T) {
	is := is.New(t)
	workers := targetWorkers/(targetDomains*shardsPerDomain) + 1
	total := shardsOfOneHost * heap(func() any { return newDrive(workers, batchPerWorker+1, instancesPerWorker+1, 1).shard })
	is.True(total > 0)
	for _, s := range quick.heaps() {
		last := s.Samples[len(s.Samples)-1]
		is.True(last.Bytes > 0) // s.Name: a table that holds nothing was measured
		total += last.Bytes
	}
	is.True(total <= targetNodeHeap)
}

// Guards against decisions that allocate for each of the 990 workers or for each of a
// failure domain's 517 instances.
func TestAllocationsOfDecisions(t *testing.T) {
	is := is.New(t)
	largest := func(ss []Series, name string) Sample {
		for _, s := range ss {
			if s.Name == name {
				return s.Samples[len(s.Samples)-1]
			}
		}
		t.Fatalf("series %q does not exist", name)
		return Sample{}
	}
	place := largest(quick.placing(), placeByWorkers)
	is.Equal(place.Size, float64(targetWorkers))
	is.True(place.Allocs < targetWorkers)
	is.True(largest(quick.requests(), pickByInstances).Allocs < targetInstances/targetDomains)
}

// Guards against a driven shard that measures nothing because its workers were not
// fenced or its tasks were lost.
func TestDriveKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	d := newDrive(20, batchPerWorker, instancesPerWorker, 1)
	before := d.tally
	d.run(10*time.Second, 10)
	is.Equal(d.notes-before.notes, 100) // one record of each start
	for _, j := range d.shard.Jobs() {
		is.True(j.Attempt == 1) // j.Spec.Name was not lost and started again
	}
	for _, w := range d.workers {
		running := 0
		for _, r := range w.report.Tasks {
			if r.State.Active() {
				running++
			}
		}
		is.True(running >= batchPerWorker+instancesPerWorker) // tasks of the worker
	}
	is.True(d.commands-before.commands >= 2*20*batchPerWorker) // two renewals of each lease in 10 s
}

// Guards against a page with figures that were not measured.
func TestPageIsComplete(t *testing.T) {
	is := is.New(t)
	all, err := quick.all()
	is.NoErr(err)
	synctest.Test(t, func(*testing.T) {
		calls, err := quick.stores(context.Background())
		is.NoErr(err)
		all = append(all, calls...)
	})
	for _, s := range all {
		is.True(len(s.Samples) >= 3) // s.Name is measured at three sizes or more
	}
	m := newModel(TwoYears(), all)
	var b bytes.Buffer
	for _, n := range []int{12, 24} {
		printDemands(&b, m, n)
		printChanges(&b, m, n)
	}
	is.Equal(len(m.missing), 0)
	for _, wrong := range []string{"NaN", "Inf", "%!"} {
		is.True(!strings.Contains(b.String(), wrong))
	}
	for _, role := range []string{"receiving and routing requests", "owning shards and placing", "membership heartbeats", "configuration following", "slot grants", "decision records", "operator interface"} {
		is.Equal(strings.Count(b.String(), "| "+role+" |"), 4)
	}
}

// Guards against slopes that are wrong.
func TestFit(t *testing.T) {
	is := is.New(t)
	s := Series{Samples: []Sample{{Size: 1, Time: 5}, {Size: 2, Time: 7}, {Size: 4, Time: 11}}}
	l := s.Fit(timeOf)
	is.True(l.Base > 2.999 && l.Base < 3.001)
	is.True(l.Slope > 1.999 && l.Slope < 2.001)
	for x, want := range map[float64]string{0: "0", 1234567: "1230000", 12.34: "12.3", 0.056789: "0.0568", -4.125: "-4.12", 999.6: "1000"} {
		is.Equal(number(x), want)
	}
}

// Guards against figures for hosts that cannot be divided over the failure domains.
func TestRunRefusesWrongArguments(t *testing.T) {
	is := is.New(t)
	for _, a := range [][]string{{"-hosts", "7"}, {"-hosts", "6"}, {"-hosts", "x"}, {"-shard-workers", "0"}, {"-budget", "0s"}, {"-nothing"}} {
		is.Equal(Run(context.Background(), a, io.Discard, io.Discard), 2)
	}
}
