package estimator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/registrar"
	"peridotpitch/internal/router"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// Names of the series, most of which the estimate uses.
const (
	journalEncodeByJobs      = "Journal encode"
	journalEncodeByInstances = "Journal encode, instances"
	journalDecodeByJobs      = "Journal decode"
	storeCallEncode          = "Store call, JSON and base64: encode"
	storeCallDecode          = "Store call, JSON and base64: decode"
	shardSecondByWorkers     = "Shard, one second without starts"
	shardSecondByStarts      = "Shard of 50 workers, one second with starts"
	placeByWorkers           = "placer.Place"
	placeByTasks             = "placer.Place on 50 workers"
	reportDecodeByTasks      = "Worker report, JSON decode"
	reportStepByTasks        = "Worker report, scheduler.Step"
	reportCallByTasks        = "Worker report over HTTP, both ends"
	renewalMessageByCount    = "Message with renewals, JSON encode, bytes with the answer"
	heartbeatByShards        = "Heartbeat"
	heartbeatByNotices       = "Heartbeat, notices"
	demandByInstances        = "Slot demand in a heartbeat"
	grantsByInstances        = "Endpoints and grants in a heartbeat's answer"
	grantsWithoutEndpoints   = "Grants in a heartbeat's answer, without endpoints"
	noticesByRestartedHosts  = "Notices of hosts that have restarted and are live"
	configByWorkers          = "Configuration: parse, verify and adopt"
	configByTeams            = "Configuration: parse, verify and adopt, 990 workers"
	configPrint              = "Configuration: print"
	pickByInstances          = "router.Pick and Done"
	offerByInstances         = "limiter.Offer, Next and Release"
	offerByTeams             = "limiter.Offer, Next and Release, queue of all teams"
	recordByCandidates       = "recorder.Add with its log line"
	listByJobs               = "Operators' list of jobs, JSON encode"
	shardHeapByWorkers       = "Heap of a shard"
	journalHeapByJobs        = "Heap of a decoded journal"
	configHeapByWorkers      = "Heap of a parsed configuration"
	routerHeapByInstance     = "Heap of the router"
	registrarHeap            = "Heap of the registrar"
	allocatorHeap            = "Heap of the allocator, with the heartbeats of 4 entry hosts"
	limiterHeap              = "Heap of the limiter"
	recorderHeap             = "Heap of the recorder"
)

// Tasks of one worker in the deployment of section 1.6 of the design page, rounded.
const (
	batchPerWorker     = 16
	instancesPerWorker = 3
)

// measurer runs the measurements. Their inputs depend only on the seed.
type measurer struct {
	costMeter
	seed uint64
}

// random returns a random number source in its initial state.
func (s measurer) random() *rand.Rand { return rand.New(rand.NewPCG(s.seed, 0)) }

// series returns a series with the measurements of f at each size.
func series(name, per, bytes string, sizes []int, f func(size int) Sample) Series {
	out := Series{Name: name, Per: per, Bytes: bytes}
	for _, n := range sizes {
		m := f(n)
		m.Size = float64(n)
		out.Samples = append(out.Samples, m)
	}
	return out
}

func (s measurer) measureJournals() []Series {
	const workers = 50
	encode := func(jobs, instances int) Sample {
		j := journal(jobs, instances, workers)
		var value []byte
		m := s.cost(func() { value, _ = j.Encode() })
		m.Bytes = float64(len(value))
		return m
	}
	decode := func(jobs int) Sample {
		j := journal(jobs, 0, workers)
		value, _ := j.Encode()
		return s.cost(func() { _, _ = scheduler.DecodeJournal(j.Shard, value) })
	}
	type body struct{ Value []byte }
	value := func(size int) []byte { return bytes.Repeat([]byte{'x'}, size) }
	encodeCall := func(size int) Sample {
		v := body{value(size)}
		var text []byte
		m := s.cost(func() { text, _ = json.Marshal(v) })
		m.Bytes = float64(len(text))
		return m
	}
	decodeCall := func(size int) Sample {
		text, _ := json.Marshal(body{value(size)})
		return s.cost(func() {
			var b body
			_ = json.Unmarshal(text, &b)
		})
	}
	sizes := []int{64 << 10, 256 << 10, 900 << 10}
	return []Series{
		series(journalEncodeByJobs, "jobs", "bytes", []int{250, 800, 1600}, func(n int) Sample { return encode(n, 0) }),
		series(journalEncodeByInstances, "instances", "bytes", []int{50, 155, 500}, func(n int) Sample { return encode(0, n) }),
		series(journalDecodeByJobs, "jobs", "", []int{250, 800, 1600}, decode),
		series(storeCallEncode, "bytes of the value", "bytes sent", sizes, encodeCall),
		series(storeCallDecode, "bytes of the value", "", sizes, decodeCall),
	}
}

func (s measurer) measureShards() []Series {
	byWorkers := newShardSeries(shardSecondByWorkers, "workers, 16 batch tasks and 3 instances each")
	for _, n := range []int{20, 50, 165} {
		byWorkers.add(n, s.measureShardSecond(n, 0))
	}
	byStarts := newShardSeries(shardSecondByStarts, "starts per second")
	for _, n := range []int{0, 5, 10, 25} {
		byStarts.add(n, s.measureShardSecond(50, n))
	}
	return slices.Concat(byWorkers.series(), byStarts.series())
}

func (s measurer) measurePlacing() []Series {
	place := func(workers, batch int) Sample {
		p := placer.New(placer.Policy{Placement: configurator.PlacementInterference, Quotas: teamQuotas(200)}, configurator.Measures{Latency: 10, Throughput: 3, Evictions: 1}, s.random())
		ws := placerWorkers(workers, batch, s.seed)
		t := placer.Task{Name: "new", Class: className(3), Team: teamName(3), Kind: placer.KindBatch, Declared: jobSize, Attempt: 1}
		i := 0
		return s.cost(func() { // one worker changes between two calls, as in a shard
			ws[i%workers].Version += uint64(workers)
			i++
			p.Place(t, ws, startTime)
		})
	}
	return []Series{
		series(placeByWorkers, "workers, 16 batch tasks and 3 instances each", "", []int{20, 50, 165, 990}, func(n int) Sample { return place(n, batchPerWorker) }),
		series(placeByTasks, "batch tasks per worker", "", []int{8, 16, 32}, func(n int) Sample { return place(50, n) }),
	}
}

// shardSeries holds the series that are measured with one shardDriver.
type shardSeries struct{ time, messages, commands, records Series }

// Suffixes of the names of shardSeries.
const (
	messagesSuffix = ": messages with commands"
	commandsSuffix = ": commands"
	recordsSuffix  = ": decision records"
)

func newShardSeries(name, per string) *shardSeries {
	return &shardSeries{
		time:     Series{Name: name, Per: per, Bytes: "bytes of a journal write", Counted: "journal writes per second"},
		messages: Series{Name: name + messagesSuffix, Per: per, Counted: "messages per second"},
		commands: Series{Name: name + commandsSuffix, Per: per, Counted: "commands per second"},
		records:  Series{Name: name + recordsSuffix, Per: per, Counted: "records per second"},
	}
}

func (s *shardSeries) add(size int, m shardSecond) {
	add := func(to *Series, m Sample) {
		m.Size = float64(size)
		to.Samples = append(to.Samples, m)
	}
	add(&s.time, Sample{Time: m.time, Bytes: m.writeBytes, Count: m.writes})
	add(&s.messages, Sample{Count: m.messages})
	add(&s.commands, Sample{Count: m.commands})
	add(&s.records, Sample{Count: m.records})
}

func (s *shardSeries) series() []Series { return []Series{s.time, s.messages, s.commands, s.records} }

// shardSecond holds processor time in microseconds and counts of one second of a shard.
type shardSecond struct{ time, writes, writeBytes, messages, commands, records float64 }

// measureShardSecond measures a shard's processor time and actions per second of virtual time,
// at a number of job starts per second. The time includes copying the emulated workers'
// reports.
func (s measurer) measureShardSecond(workers, rate int) shardSecond {
	d := newShardDriver(workers, batchPerWorker, instancesPerWorker, s.seed)
	d.advance(2*time.Second, rate)
	before := d.actionCounts
	const seconds = 5 // the interval of lease renewals
	var times []float64
	for range s.repetitions {
		began := processorTime()
		d.advance(seconds*time.Second, rate)
		times = append(times, float64(processorTime()-began)/float64(time.Microsecond)/seconds)
	}
	per := func(a, b int) float64 { return float64(a-b) / float64(seconds*s.repetitions) }
	return shardSecond{
		time: median(times), writes: per(d.writes, before.writes), writeBytes: float64(d.bytes-before.bytes) / float64(d.writes-before.writes),
		messages: per(d.messages, before.messages), commands: per(d.commands, before.commands), records: per(d.records, before.records),
	}
}

func (s measurer) measureReports() []Series {
	sizes := []int{5, 19, 40}
	decode := func(tasks int) Sample {
		text, _ := json.Marshal(report(tasks, s.random()))
		m := s.cost(func() {
			var r commander.Report
			_ = json.Unmarshal(text, &r)
		})
		m.Bytes = float64(len(text))
		return m
	}
	step := func(tasks int) Sample {
		d := newShardDriver(4, tasks, 0, s.seed)
		return s.cost(func() {
			e := scheduler.ReportArrived{Worker: workerName(0), Report: d.report(workerName(0)), SentAt: d.now, ReceivedAt: d.now}
			d.shard.Step(e, d.now)
		})
	}
	commands := func(count int) Sample {
		var cs []commander.Command
		for i := range count {
			cs = append(cs, commander.Command{Verb: commander.VerbRenew, Task: jobName(i), Attempt: 1, Kind: commander.KindBatch, Class: className(i), LeaseEnd: 123456789012, NotAfter: 123456789012})
		}
		var text []byte
		m := s.cost(func() { text, _ = json.Marshal(cs) })
		answer, _ := json.Marshal(make([]commander.Result, count))
		m.Bytes = float64(len(text) + len(answer))
		return m
	}
	return []Series{
		series(reportDecodeByTasks, "tasks of the worker", "bytes of JSON", sizes, decode),
		series(reportStepByTasks, "tasks of the worker", "", sizes, step),
		series(reportCallByTasks, "tasks of the worker", "", sizes, s.measureReportCall),
		series(renewalMessageByCount, "renewals", "bytes of JSON", []int{1, 16, 64}, commands),
	}
}

// measureReportCall measures report calls over the loopback interface to a server that sends
// a fixed report. The processor time includes client and server.
func (s measurer) measureReportCall(tasks int) Sample {
	text, _ := json.Marshal(report(tasks, s.random()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Sample{} // the printed table then has no row for the time
	}
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.SetContentType("application/json")
		c.SetBody(text)
	}}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	c, closeClient := commander.NewClient(commander.Options{})
	at := netip.MustParseAddrPort(l.Addr().String())
	m := s.cost(func() { _, _ = c.Report(context.Background(), at) })
	closeClient()
	_ = server.Shutdown()
	_ = g.Wait() // nil after Shutdown
	return m
}

func (s measurer) measureHeartbeats() []Series {
	now := startTime
	// handle measures the encoding, decoding and handling of a heartbeat.
	handle := func(m messenger.Heartbeat) Sample {
		r := registrar.New()
		var text []byte
		out := s.cost(func() {
			text, _ = msgpack.Marshal(m)
			var in messenger.Heartbeat
			_ = msgpack.Unmarshal(text, &in)
			r.RecordIdentity(in.Identity, now)
		})
		out.Bytes = float64(len(text))
		return out
	}
	return []Series{
		series(heartbeatByShards, "shards of the sender", "bytes of msgpack", []int{0, 1, 4, 8}, func(n int) Sample { return handle(heartbeat(n, 0, 0)) }),
		series(heartbeatByNotices, "notices of leaving hosts", "bytes of msgpack", []int{0, 10, 200, 990}, func(n int) Sample { return handle(heartbeat(0, 0, n)) }),
		countNotices(),
		series(demandByInstances, "instances of the receiver", "bytes of msgpack", []int{20, 130, 500}, func(n int) Sample { return handle(heartbeat(0, n, 0)) }),
		series(grantsByInstances, "instances of the answering host", "bytes of msgpack", []int{20, 130, 500}, func(n int) Sample { return s.measureGrants(n, true) }),
		series(grantsWithoutEndpoints, "instances of the answering host", "bytes of msgpack", []int{20, 130, 500}, func(n int) Sample { return s.measureGrants(n, false) }),
	}
}

// countNotices counts the notices in a heartbeat after the platform's host list has reported
// hosts as leaving and then as live for long enough that the registrar regards them as live.
func countNotices() Series {
	out := Series{Name: noticesByRestartedHosts, Per: "hosts restarted", Counted: "notices in each heartbeat"}
	for _, n := range []int{11, 380, 990} {
		out.Samples = append(out.Samples, Sample{Size: float64(n), Count: float64(len(noticesAfterRestarts(n)))})
	}
	return out
}

// noticesAfterRestarts returns the notices in a heartbeat after a number of hosts have
// restarted. Sender and receiver have both followed the platform's host list.
func noticesAfterRestarts(hosts int) []messenger.HostNotice {
	r, peer := registrarAfterRestarts(hosts), registrarAfterRestarts(hosts)
	digest, _ := peer.Exchange("self")
	r.RecordIdentity(messenger.Identity{Host: "peer", Incarnation: "a", NoticeDigest: digest}, startTime)
	_, notices := r.Exchange("peer")
	return notices
}

// registrarAfterRestarts returns a registrar that has seen hosts leaving and live again.
func registrarAfterRestarts(hosts int) *registrar.Registrar {
	r := registrar.New()
	list := func(state storer.HostState) storer.HostList {
		var l storer.HostList
		for i := range hosts {
			l.Hosts = append(l.Hosts, storer.Host{Name: workerName(i), FailureDomain: firstDomain, State: state})
		}
		return l
	}
	now := startTime
	r.RecordHostList(list(storer.HostLeaving), now)
	for range 2 {
		now = now.Add(registrar.LiveConfirmationTime)
		r.RecordHostList(list(storer.HostLive), now)
	}
	return r
}

// measureGrants measures the allocator's decision, the encoding and decoding of the heartbeat's
// answer, and the router's handling of the grants, with or without endpoints in the answer.
func (s measurer) measureGrants(instances int, withEndpoints bool) Sample {
	es := endpoints(instances, 20)
	now := startTime
	a := router.NewAllocator(1, configurator.DefaultMaxRequestTimeout, now)
	a.Update(es, []string{hostName(0), hostName(1)}, true, now)
	r := router.New(router.Settings{Policy: configurator.RoutingAdaptive, MaxRequestTimeout: configurator.DefaultMaxRequestTimeout}, s.random())
	r.Update(es, router.Membership{Hosts: 2, Settled: true}, now)
	sequence := uint64(0)
	var sent []messenger.Endpoint
	if withEndpoints {
		sent = es
	}
	var text []byte
	m := s.cost(func() {
		sequence++
		now = now.Add(500 * time.Millisecond)
		demand := r.Demand(hostName(0), now)
		answer := messenger.HeartbeatAnswer{
			Identity: identity(0), Endpoints: sent,
			Grants: a.HandleReport(router.DemandReport{Host: hostName(1), Incarnation: "1", Sequence: sequence, RunningFor: time.Hour, Demand: demand}, now),
		}
		text, _ = msgpack.Marshal(answer)
		var in messenger.HeartbeatAnswer
		_ = msgpack.Unmarshal(text, &in)
		for _, g := range in.Grants {
			r.ApplyGrant(hostName(0), g, now, now)
		}
		if withEndpoints {
			r.Update(in.Endpoints, router.Membership{Hosts: 2, Settled: true}, now)
		}
	})
	m.Bytes = float64(len(text))
	return m
}

func (s measurer) measureConfigurations() ([]Series, error) {
	public, private, err := ed25519.GenerateKey(randomReader{s.random()})
	if err != nil {
		return nil, err
	}
	var first error
	build := func(workers, teams int) (*configurator.Configuration, configurator.Record) {
		const domains = 6
		c := configuration(configurationSize{domains: domains, hosts: 4, workers: workers / domains, shards: 4, services: 20, instances: workers * instancesPerWorker / domains, teams: teams})
		text := configurator.Print(c)
		if _, err := configurator.Parse(text); err != nil && first == nil {
			first = fmt.Errorf("generated configuration of %d workers: %w", workers, err)
		}
		return c, configurator.Record{Generation: 1, Text: string(text), Signature: configurator.Sign(text, private), Key: "owner"}
	}
	adopt := func(workers, teams int) Sample {
		_, record := build(workers, teams)
		m := s.cost(func() { _, _ = configurator.NewAdopter(configurator.Keys{"owner": public}).Offer(record) })
		m.Bytes = float64(len(record.Text))
		return m
	}
	sizes := []int{252, 498, 990}
	out := []Series{
		series(configByWorkers, "workers, 200 teams", "bytes of text", sizes, func(n int) Sample { return adopt(n, 200) }),
		series(configByTeams, "teams", "bytes of text", []int{50, 100, 200}, func(n int) Sample { return adopt(990, n) }),
		series(configPrint, "workers, 200 teams", "", sizes, func(n int) Sample {
			c, _ := build(n, 200)
			return s.cost(func() { configurator.Print(c) })
		}),
		series(configHeapByWorkers, "workers, 200 teams", "bytes of heap", sizes, func(n int) Sample {
			_, record := build(n, 200)
			return Sample{Bytes: heapInUse(func() any {
				c, _ := configurator.Parse([]byte(record.Text))
				return c
			})}
		}),
	}
	return out, first
}

// randomReader is an io.Reader of random numbers from a seeded source. It is not secure. It is
// used only to generate the key that signs generated configurations.
type randomReader struct{ random *rand.Rand }

func (r randomReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.random.Uint32())
	}
	return len(b), nil
}

func newRouter(instances, services int, random *rand.Rand) *router.Router {
	r := router.New(router.Settings{Policy: configurator.RoutingAdaptive, MaxRequestTimeout: configurator.DefaultMaxRequestTimeout}, random)
	r.Update(endpoints(instances, services), router.Membership{Hosts: 2, Settled: true}, startTime)
	return r
}

func (s measurer) measureRequests() []Series {
	pick := func(instances int) Sample {
		r := newRouter(instances, 1, s.random())
		now := startTime
		return s.cost(func() {
			now = now.Add(time.Millisecond)
			c, ok := r.Pick(router.Request{ID: "1", Service: serviceName(0), Deadline: now.Add(time.Second)}, now).(router.ChosenInstance)
			if ok {
				r.Done(c, router.Outcome{Kind: router.OutcomeAnswered, Latency: 5 * time.Millisecond, SlotsUsed: -1}, now)
			}
		})
	}
	return []Series{
		series(pickByInstances, "instances of the service", "", []int{26, 130, 517}, pick),
		series(offerByInstances, "instances in use", "", []int{26, 130, 517}, func(n int) Sample { return s.measureOffer(n, 10, 0) }),
		series(offerByTeams, "teams with waiting requests", "", []int{50, 100, 200}, func(n int) Sample { return s.measureOffer(26, n, n) }),
	}
}

// measureOffer measures the handling of one request by the limiter, while a number of requests
// is running and a number of requests is queued, both spread over the teams.
func (s measurer) measureOffer(running, teams, waiting int) Sample {
	var ts []configurator.Team
	for i := range teams {
		ts = append(ts, configurator.Team{Name: teamName(i), Share: 1})
	}
	l := limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget, Teams: ts})
	now, n := startTime, 0
	request := func() limiter.Request {
		n++
		return limiter.Request{ID: fmt.Sprint(n), Service: serviceName(0), Tenant: teamName(n % teams), Deadline: now.Add(30 * time.Second)}
	}
	for range running {
		l.Offer(request(), now)
		l.Next(serviceName(0), 1, now)
	}
	for range waiting {
		l.Offer(request(), now)
	}
	return s.cost(func() {
		now = now.Add(time.Millisecond)
		l.Offer(request(), now)
		for _, a := range l.Next(serviceName(0), 1, now) {
			if a, ok := a.(limiter.Start); ok {
				l.Release(a.Request, 5*time.Millisecond, true, now)
			}
		}
	})
}

// discardWriter discards log lines. With io.Discard, slog would skip their formatting.
type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func newRecorder() (*recorder.Recorder, error) {
	r, _, err := recorder.New(recorder.Options{}, slog.New(slog.NewTextHandler(discardWriter{}, nil)), prometheus.NewRegistry())
	return r, err
}

func decisionRecord(i, candidates int) recorder.Record {
	d := recorder.Record{Time: startTime, Kind: recorder.KindPlace, Job: jobName(i), Worker: workerName(i % 990), Cause: "pending", Rule: "LeastInterference", Outcome: "placed on " + workerName(i%990), Generation: 299300, SignedBy: "owner"}
	for k := range candidates {
		d.Candidates = append(d.Candidates, recorder.Candidate{Name: workerName(k), Figures: []recorder.Figure{{Name: "FreeCores", Value: 4.5}, {Name: "Score", Value: 1.25}, {Name: "Interference", Value: 0.5}}, Age: time.Second})
	}
	return d
}

func (s measurer) measureRecords() ([]Series, error) {
	var first error
	add := func(candidates int) Sample {
		r, err := newRecorder()
		if err != nil {
			first = err
			return Sample{}
		}
		i := 0
		m := s.cost(func() {
			r.Add(decisionRecord(i, candidates))
			i++
		})
		n, bytes := r.Len()
		m.Bytes = float64(bytes) / float64(n)
		return m
	}
	list := func(jobs int) Sample {
		js := make([]scheduler.JobStatus, 0, jobs)
		for _, e := range journal(jobs, 0, 50).Jobs {
			js = append(js, scheduler.JobStatus{Spec: e.Spec, State: e.State, Shard: firstDomain + "/0", Worker: e.Worker, Attempt: 1, Submitted: e.Submitted, Started: e.Started, Decision: e.Decision})
		}
		var text []byte
		m := s.cost(func() { text, _ = json.Marshal(js) })
		m.Bytes = float64(len(text))
		return m
	}
	out := []Series{
		series(recordByCandidates, "candidates", "bytes of a record", []int{0, 2, 5}, add),
		series(listByJobs, "jobs", "bytes of JSON", []int{250, 1000, 4000}, list),
	}
	return out, first
}

// allocatorWithDemand returns an allocator that has handled the slot demand of four entry hosts.
func allocatorWithDemand(instances int) *router.Allocator {
	const hosts = 4
	now := startTime
	a := router.NewAllocator(1, configurator.DefaultMaxRequestTimeout, now)
	var names []string
	for i := range hosts {
		names = append(names, hostName(i))
	}
	a.Update(endpoints(instances, 20), names, true, now)
	for sequence := range uint64(200) { // for longer than grants of an earlier owner can last
		now = now.Add(500 * time.Millisecond)
		for _, h := range names {
			a.HandleReport(router.DemandReport{Host: h, Incarnation: "1", Sequence: sequence + 1, RunningFor: time.Hour, Demand: heartbeat(0, instances, 0).Demand}, now)
		}
	}
	return a
}

// limiterWithQueue returns a limiter with queued requests.
func limiterWithQueue(requests int) *limiter.Limiter {
	const teams = 200
	var ts []configurator.Team
	for i := range teams {
		ts = append(ts, configurator.Team{Name: teamName(i), Share: 1})
	}
	l := limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget, Teams: ts})
	for i := range requests {
		l.Offer(limiter.Request{ID: fmt.Sprint(i), Service: serviceName(i % 20), Tenant: teamName(i % teams), Deadline: startTime.Add(30 * time.Second)}, startTime)
	}
	return l
}

func (s measurer) measureHeaps() []Series {
	return []Series{
		series(shardHeapByWorkers, "workers, 16 batch tasks and 3 instances each", "bytes of heap", []int{20, 50, 165}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any { return newShardDriver(n, batchPerWorker, instancesPerWorker, s.seed).shard })}
		}),
		series(journalHeapByJobs, "jobs", "bytes of heap", []int{250, 800, 1600}, func(n int) Sample {
			j := journal(n, 0, 50)
			value, _ := j.Encode()
			return Sample{Bytes: heapInUse(func() any {
				d, _ := scheduler.DecodeJournal(j.Shard, value)
				return d
			})}
		}),
		series(routerHeapByInstance, "instances of 20 services", "bytes of heap", []int{130, 517, 1034}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any { return newRouter(n, 20, s.random()) })}
		}),
		series(registrarHeap, "notices", "bytes of heap", []int{200, 500, 990}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any { return registrarAfterRestarts(n) })}
		}),
		series(allocatorHeap, "instances that it lends", "bytes of heap", []int{130, 260, 517}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any { return allocatorWithDemand(n) })}
		}),
		series(limiterHeap, "waiting requests of 200 teams", "bytes of heap", []int{200, 1000, 4000}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any { return limiterWithQueue(n) })}
		}),
		series(recorderHeap, "records", "bytes of heap", []int{2000, 5000, 10000}, func(n int) Sample {
			return Sample{Bytes: heapInUse(func() any {
				r, _ := newRecorder()
				for i := range n {
					r.Add(decisionRecord(i, 5))
				}
				return r
			})}
		}),
	}
}

// measureAll measures all series except those of measureStoreCalls.
func (s measurer) measureAll() ([]Series, error) {
	configurations, err := s.measureConfigurations()
	if err != nil {
		return nil, err
	}
	records, err := s.measureRecords()
	if err != nil {
		return nil, err
	}
	return slices.Concat(s.measureJournals(), s.measureShards(), s.measurePlacing(), s.measureReports(), s.measureHeartbeats(), configurations, s.measureRequests(), records, s.measureHeaps()), nil
}
