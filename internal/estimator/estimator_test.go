package estimator

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

// quick measures with few repetitions, because the tests check counts and sizes, not times.
var quick = measurer{costMeter: costMeter{budget: time.Microsecond, repetitions: 1}, seed: 1}

// Bounds from sections 1.3 and 1.6 of the design page, and sizes derived from them.
const (
	targetControlBytesPerSecond = 23_000      // 1.6: control overhead per host of at most 23 KB per second
	targetControlHeapBytes      = 256_000_000 // 1.6: control heap per host of at most 256 MB
	targetStartsPerSecond       = 500         // 1.6: 500 task starts per second at peak
	targetValueBytes            = 1_000_000   // 1.3: the store holds values up to 1 MB
	targetWritesPerSecond       = 300         // 1.3: "several hundred" writes per second
	targetReadsPerSecond        = 2000        // 1.3: about 2,000 reads per second
	targetWorkers               = 990         // 1.6: 990 workers
	targetDomains               = 6           // 1.6: 6 failure domains
	targetBatch                 = 16000       // 1.6: 16,000 batch tasks running
	targetInstances             = 3100        // 1.6: 3,100 latency-critical tasks running
	minHosts                    = 12          // two in each failure domain, so that one can fail
	shardsPerDomain             = 4           // 990 workers in shards of at most 50
	startsPerShardAndSecond     = 21          // 500 starts / 24 shards
	messagesPerHostAndSecond    = 48          // sent and received per second: 2 * 2 * (2*1 near + 1*10 far)
	shardsPerHost               = 2           // 24 shards / 12 hosts
	jobsPerShard                = targetBatch/(targetDomains*shardsPerDomain) + 1
	instancesPerShard           = targetInstances/(targetDomains*shardsPerDomain) + 1
)

// Guards against owners that call the store more often than it sustains at the peak of 500
// starts per second. The calls of one failure domain are multiplied by six.
func TestStoreCallsAtThePeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, err := countStoreCalls(context.Background(), 2, shardsPerDomain, startsPerShardAndSecond, 1)
		is.NoErr(err)
		is.Equal(c.JournalsOwned, shardsPerDomain) // each shard has one owner
		is.Equal(c.JobsAccepted, startsPerShardAndSecond*shardsPerDomain*int(startDuration/time.Second))
		writes, reads := 0.0, 0.0
		for kind, r := range c.StartRates {
			if strings.HasPrefix(kind, "write") {
				writes += r.Calls
			} else {
				reads += r.Calls
			}
		}
		is.True(writes > 0)
		is.True(reads > 0)
		is.True(writes*targetDomains <= targetWritesPerSecond)
		is.True(reads*targetDomains <= targetReadsPerSecond)
		// Several starts share a journal write. One write per start would need 500 per second.
		is.True(writes/(startsPerShardAndSecond*shardsPerDomain) <= float64(targetWritesPerSecond)/targetStartsPerSecond)
	})
}

// Guards against ownership renewals and watches that exceed the store's rates without any job.
func TestStoreCallsWithoutWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, err := countStoreCalls(context.Background(), 4, shardsPerDomain, 1, 1)
		is.NoErr(err)
		is.True(c.IdleWritesPerShard > 0) // without renewals another host would claim the shard
		is.True(c.IdleWritesPerShard*shardsPerDomain*targetDomains <= targetWritesPerSecond)
		is.True(c.IdleReadsPerHost > 0)
		is.True(c.IdleReadsPerHost*4*targetDomains <= targetReadsPerSecond)
	})
}

// Guards against a journal that exceeds the store's value size. It holds a shard's part of the
// 19,100 running tasks and the jobs that end in the 10 s between two writes of the job history.
func TestJournalFitsIntoAValue(t *testing.T) {
	is := is.New(t)
	const ended = 10 * startsPerShardAndSecond
	j := journal(jobsPerShard+ended, instancesPerShard, targetWorkers)
	value, err := j.Encode()
	is.NoErr(err)
	is.True(len(value) <= targetValueBytes)
}

// Guards against heartbeats that alone exceed the limit of control traffic while no host is
// leaving.
func TestHeartbeatSize(t *testing.T) {
	is := is.New(t)
	text, err := msgpack.Marshal(heartbeat(shardsPerHost, 0, 0))
	is.NoErr(err)
	is.True(len(text) > 0)
	is.True(len(text)*messagesPerHostAndSecond <= targetControlBytesPerSecond)
}

// Guards against heartbeats that keep the notices of restarted hosts after these are live again.
// Section 1.6: 380 hosts are restarted or replaced on an ordinary day.
func TestHeartbeatSizeAfterRestarts(t *testing.T) {
	is := is.New(t)
	m := heartbeat(shardsPerHost, 0, 0)
	m.Notices = noticesAfterRestarts(380)
	text, err := msgpack.Marshal(m)
	is.NoErr(err)
	t.Logf("%d bytes, %d bytes per second", len(text), len(text)*messagesPerHostAndSecond)
	is.True(len(text)*messagesPerHostAndSecond <= targetControlBytesPerSecond) // bytes per second of an entry host
}

// Guards against tables of one host (its shards and those of measureHeaps) that exceed the
// limit of control heap.
func TestHeapOfTables(t *testing.T) {
	is := is.New(t)
	workers := targetWorkers/(targetDomains*shardsPerDomain) + 1
	total := shardsPerHost * heapInUse(func() any { return newShardDriver(workers, batchPerWorker+1, instancesPerWorker+1, 1).shard })
	is.True(total > 0)
	for _, s := range quick.measureHeaps() {
		last := s.Samples[len(s.Samples)-1]
		is.True(last.Bytes > 0) // s.Name: the measured table is not empty
		total += last.Bytes
	}
	is.True(total <= targetControlHeapBytes)
}

// Guards against decisions with an allocation for each of the 990 workers or for each of the
// 517 instances of a failure domain.
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
	place := largest(quick.measurePlacing(), placeByWorkers)
	is.Equal(place.Size, float64(targetWorkers))
	is.True(place.Allocs < targetWorkers)
	is.True(largest(quick.measureRequests(), pickByInstances).Allocs < targetInstances/targetDomains)
}

// Guards against measurements of a shard without work, because its workers did not accept the
// epoch or its tasks were lost.
func TestShardDriverKeepsTasks(t *testing.T) {
	is := is.New(t)
	d := newShardDriver(20, batchPerWorker, instancesPerWorker, 1)
	before := d.actionCounts
	d.advance(10*time.Second, 10)
	is.Equal(d.records-before.records, 100) // one record per start
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
		is.True(running >= batchPerWorker+instancesPerWorker) // the worker has kept its tasks
	}
	is.True(d.commands-before.commands >= 2*20*batchPerWorker) // two renewals of each lease in 10 s
}

// Guards against a printed page with missing series or invalid numbers.
func TestPageIsComplete(t *testing.T) {
	is := is.New(t)
	all, err := quick.measureAll()
	is.NoErr(err)
	synctest.Test(t, func(*testing.T) {
		calls, err := quick.measureStoreCalls(context.Background())
		is.NoErr(err)
		all = append(all, calls...)
	})
	for _, s := range all {
		is.True(len(s.Samples) >= 3) // s.Name is measured at three sizes or more
	}
	m := newModel(PlannedDeployment(), all)
	var b bytes.Buffer
	for _, n := range []int{12, 24} {
		printEstimates(&b, m, n)
		printOptimizations(&b, m, n)
	}
	is.Equal(len(m.missing), 0)
	for _, wrong := range []string{"NaN", "Inf", "%!"} {
		is.True(!strings.Contains(b.String(), wrong))
	}
	for _, role := range []string{"receiving and routing requests", "owning shards and placing", "membership heartbeats", "configuration following", "slot grants", "decision records", "operator interface"} {
		is.Equal(strings.Count(b.String(), "| "+role+" |"), 4)
	}
}

// Guards against wrong lines through the samples and wrong formatting of numbers.
func TestFit(t *testing.T) {
	is := is.New(t)
	s := Series{Samples: []Sample{{Size: 1, Time: 5}, {Size: 2, Time: 7}, {Size: 4, Time: 11}}}
	l := s.Fit(timeOf)
	is.True(l.Base > 2.999 && l.Base < 3.001)
	is.True(l.Slope > 1.999 && l.Slope < 2.001)
	for x, want := range map[float64]string{0: "0", 1234567: "1230000", 12.34: "12.3", 0.056789: "0.0568", -4.125: "-4.12", 999.6: "1000"} {
		is.Equal(formatNumber(x), want)
	}
}

// Guards against invalid arguments being accepted, for example a number of hosts that cannot be
// divided evenly among the failure domains.
func TestRunRefusesWrongArguments(t *testing.T) {
	is := is.New(t)
	for _, a := range [][]string{{"-hosts", "7"}, {"-hosts", "6"}, {"-hosts", "x"}, {"-shard-workers", "0"}, {"-budget", "0s"}, {"-nothing"}} {
		is.Equal(Run(context.Background(), a, io.Discard, io.Discard), 2)
	}
}
