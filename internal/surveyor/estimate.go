package surveyor

import (
	"math"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// Limits of section 1.6 of the design page for control on each node, and of section 1.3
// for the store.
const (
	limitCore  = 4.9                 // percent of a core
	limitHeap  = 256_000_000         // bytes
	limitBytes = 23_000              // per second
	storeReads = 2000                // per second
	storeValue = storer.MaxValueSize // bytes
	// storeWrites is the low end of "several hundred" writes per second.
	storeWrites = 300
)

// Periods of messages. Those of heartbeats are in section 4.5 of the design page.
const (
	nearPerSecond      = 2.0      // heartbeats to each peer of the failure domain
	farPerSecond       = 1.0      // heartbeats to each other peer
	reportsPerSecond   = 1.0      // of each worker
	configPerSecond    = 0.5      // reads of the configuration
	configWatches      = 1.0 / 20 // per second, without a change
	hostListsPerSecond = 0.5      // reads of the platform's host list
	predecessorLists   = 1.0 / 10 // per second, at a JobRecoveryDelay of 60 s
	perDay             = 24 * 60 * 60.0
	operatorLists      = 1.0 / 60 // lists of all jobs per second that one host answers
)

// usage is what a role needs on one entry host.
type usage struct {
	Role  string
	State float64 // bytes of the role's tables, encoded or as heap
	Calls float64 // per second, sent and received; an answer is not counted by itself
	Bytes float64 // per second, sent and received
	Core  float64 // percent of one core
	Heap  float64 // bytes
}

// demand is what the system needs with a number of entry hosts.
type demand struct {
	Hosts, Shards  int
	Peak           bool
	Requests       usage   // not part of control
	Control        []usage // the other roles
	Store          storeDemand
	Worker         usage // the part of control that one worker sees
	JournalSize    float64
	ConfigSize     float64 // bytes of text
	HeartbeatSize  float64 // bytes, within a failure domain, with claims and notices
	AnswerSize     float64 // bytes, with endpoints and grants
	StartsPerShard float64
}

type storeDemand struct{ State, Writes, Reads, BytesIn, BytesOut, Largest float64 }

// total adds up the roles of control.
func (d demand) total() usage {
	t := usage{Role: "control together"}
	for _, u := range d.Control {
		t.State += u.State
		t.Calls += u.Calls
		t.Bytes += u.Bytes
		t.Core += u.Core
		t.Heap += u.Heap
	}
	return t
}

// changes are changes of the program whose effect is worked out. None is made yet.
type changes struct {
	renewalKey    bool // renewals are written to a small key, and hosts watch only these
	journalLog    bool // a write of the journal carries only what has changed
	reportDeltas  bool // a report lists only the tasks that have changed
	workerLeases  bool // one renewal for all tasks of a worker
	endpointDelta bool // endpoints are sent when they have changed
	configKey     bool // the generation is read from a small key
	listPages     bool // operators' lists come in pages
}

// What the changes assume.
const (
	renewalSize      = 500.0 // bytes
	compactionPeriod = 60.0  // seconds between full journals
	changesPerStart  = 4.0   // pending, starting, running, ended
	changedTasks     = 0.05  // share of tasks in a report that lists changes
	generationSize   = 200.0 // bytes
	pageSize         = 500.0 // jobs
)

// model works out demands from measured series.
type model struct {
	size    Size
	series  map[string]Series
	missing map[string]bool // names that were asked for and not measured
	changes changes
}

func newModel(s Size, all []Series) model {
	m := model{size: s, series: make(map[string]Series, len(all)), missing: make(map[string]bool)}
	for _, x := range all {
		m.series[x.Name] = x
	}
	return m
}

// get returns a series and notes if it is missing.
func (m model) get(name string) Series {
	s, ok := m.series[name]
	if !ok || len(s.Samples) == 0 {
		m.missing[name] = true
	}
	return s
}

// scaled returns the model of a deployment that is larger by a factor in everything but
// its failure domains, its services and the size of its shards.
func (m model) scaled(by float64) model {
	z := &m.size
	for _, n := range []*int{&z.Workers, &z.Accelerators, &z.Batch, &z.Instances, &z.Teams, &z.RestartedHosts} {
		*n = max(1, int(math.Round(float64(*n)*by)))
	}
	for _, x := range []*float64{&z.JobsPerDay, &z.StartsPeak, &z.ConfigurationsPerDay} {
		*x *= by
	}
	return m
}

func (m model) time(name string, x float64) float64 {
	return max(0, m.get(name).Fit(timeOf).At(x))
}

func (m model) bytes(name string, x float64) float64 {
	return max(0, m.get(name).Fit(bytesOf).At(x))
}

func (m model) count(name string, x float64) float64 {
	return max(0, m.get(name).Fit(countOf).At(x))
}

// between reads a value off the measured points, for figures that level off.
func (m model) between(name string, x float64, field func(Sample) float64) float64 {
	ss := m.get(name).Samples
	if len(ss) == 0 {
		return 0
	}
	for i := 1; i < len(ss); i++ {
		if a, b := ss[i-1], ss[i]; x <= b.Size || i == len(ss)-1 && field(a) != field(b) {
			return field(a) + (field(b)-field(a))*(x-a.Size)/(b.Size-a.Size)
		}
	}
	return field(ss[len(ss)-1])
}

// percent converts microseconds per second to a share of a core.
func percent(microseconds float64) float64 { return microseconds / 1e6 * 100 }

// measuredTeams is the number of teams in the configurations measured by workers.
const measuredTeams = 200

// layout is how workers and hosts are divided.
type layout struct {
	hosts, shards               float64
	nearPeers, farPeers         float64
	hostsPerDomain              float64
	shardsPerHost, shardsDomain float64
	workersPerShard             float64
	starts                      float64 // per second and shard
}

func (m model) layout(hosts int, peak bool) layout {
	z := m.size
	d := float64(z.Domains)
	shardsDomain := math.Ceil(float64(z.Workers) / d / float64(z.ShardWorkers))
	l := layout{
		hosts: float64(hosts), shards: shardsDomain * d, hostsPerDomain: float64(hosts) / d, shardsDomain: shardsDomain,
		shardsPerHost: shardsDomain * d / float64(hosts), workersPerShard: float64(z.Workers) / d / shardsDomain,
		starts: z.JobsPerDay / perDay / (shardsDomain * d),
	}
	l.nearPeers = l.hostsPerDomain - 1
	l.farPeers = l.hosts - l.hostsPerDomain
	if peak {
		l.starts = z.StartsPeak / l.shards
	}
	return l
}

// estimate returns what is needed with a number of entry hosts, on average over a day or
// at the peak of starts.
func (m model) estimate(hosts int, peak bool) demand {
	l := m.layout(hosts, peak)
	journal, writes := m.journalSize(l), m.between(shardByStarts, l.starts, countOf)
	if peak { // ended jobs stay until they are in the records
		journal += m.between(shardByStarts, l.starts, bytesOf) - m.between(shardByStarts, 0, bytesOf)
	}
	traffic := m.journalTraffic(l, journal, writes)
	d := demand{Hosts: hosts, Shards: int(l.shards), Peak: peak, JournalSize: journal, StartsPerShard: l.starts}
	d.ConfigSize = m.bytes(configByWorkers, float64(m.size.Workers)) +
		m.get(configByTeams).Fit(bytesOf).Slope*float64(m.size.Teams-measuredTeams)
	owning := m.owning(l, journal, traffic)
	heartbeats, size := m.heartbeats(l)
	slots, answer := m.slots(l)
	following, configReads := m.following(d.ConfigSize)
	d.HeartbeatSize, d.AnswerSize = size, answer
	d.Requests = m.requests()
	d.Control = []usage{owning, heartbeats, following, slots, m.recording(l), m.operators()}
	d.Store = m.store(l, journal, traffic, d.ConfigSize)
	d.Store.BytesOut = l.hosts * (traffic.read + configReads)
	commands := m.commands(l)
	d.Worker = usage{
		Role: "one worker", Calls: reportsPerSecond + m.messages(l)/l.workersPerShard,
		Bytes: reportsPerSecond*m.reportSize() + commands/l.workersPerShard*m.get(commandsByCount).Fit(bytesOf).Slope,
	}
	return d
}

func (m model) journalSize(l layout) float64 {
	return m.bytes(journalByJobs, float64(m.size.Batch)/l.shards) +
		m.get(journalByInstances).Fit(bytesOf).Slope*float64(m.size.Instances)/l.shards
}

// commands returns the commands per second of a shard.
func (m model) commands(l layout) float64 {
	renewals := m.count(shardByWorkers+commandsOf, l.workersPerShard)
	if m.changes.workerLeases {
		renewals = m.count(shardByWorkers+messagesOf, l.workersPerShard)
	}
	return renewals + m.between(shardByStarts+commandsOf, l.starts, countOf) - m.between(shardByStarts+commandsOf, 0, countOf)
}

// messages returns the messages with commands per second of a shard.
func (m model) messages(l layout) float64 {
	idle := m.between(shardByStarts+messagesOf, 0, countOf)
	return m.count(shardByWorkers+messagesOf, l.workersPerShard) + m.between(shardByStarts+messagesOf, l.starts, countOf) - idle
}

func (m model) tasksPerWorker() float64 {
	return float64(m.size.Batch+m.size.Instances) / float64(m.size.Workers)
}

// reported returns the number of tasks in a report.
func (m model) reported() float64 {
	if m.changes.reportDeltas {
		return changedTasks * m.tasksPerWorker()
	}
	return m.tasksPerWorker()
}

func (m model) reportSize() float64 { return m.bytes(reportByTasks, m.reported()) }

// journalTraffic is what a shard's journal costs per second.
type journalTraffic struct {
	writes  float64 // calls of the owner
	written float64 // bytes sent by the owner
	encoded float64 // full journals encoded, and parts of them
	values  float64 // values that one host reads, of all shards that it follows
	read    float64 // bytes that it reads
	decoded float64 // full journals decoded, and parts of them
}

// journalTraffic works out the traffic of one shard's owner, and of a host that follows
// all shards of its failure domain and lists those of its predecessor.
func (m model) journalTraffic(l layout, journal, writes float64) journalTraffic {
	full, changed := writes, min(writes, changesPerStart*l.starts)
	sent := m.bytes(envelopeEncode, journal)
	t := journalTraffic{writes: writes, written: full * sent, encoded: full}
	events := m.readShare(l) * l.shardsDomain // that a host reads for each write
	t.values = events*full + predecessorLists*l.shardsDomain
	t.read, t.decoded = t.values*sent, t.values
	if m.changes.renewalKey {
		small := m.bytes(envelopeEncode, renewalSize)
		t.writes, t.written, t.encoded = 1+changed, small+changed*sent, changed
		t.values = events + predecessorLists*l.shardsDomain
		t.read, t.decoded = t.values*small, t.values*renewalSize/journal
	}
	if m.changes.journalLog && m.changes.renewalKey {
		entry := m.get(journalByJobs).Fit(bytesOf).Slope
		parts := changesPerStart * l.starts * entry
		t.written = m.bytes(envelopeEncode, renewalSize)*(1+changed) + parts*m.get(envelopeEncode).Fit(bytesOf).Slope + sent/compactionPeriod
		t.encoded = parts/journal + 1/compactionPeriod
		t.writes += 1 / compactionPeriod
	}
	return t
}

// owning returns the needs of the owner of shards.
func (m model) owning(l layout, journal float64, t journalTraffic) usage {
	jobs := float64(m.size.Batch) / l.shards
	perJob := journal / m.bytes(journalByJobs, jobs) // instances and ended jobs included
	workers := l.workersPerShard * l.shardsPerHost
	messages, commands := m.messages(l), m.commands(l)
	command := m.get(commandsByCount).Fit(timeOf).Slope
	call := m.smallCall()
	storeCalls := l.shardsPerHost*t.writes + m.watches(l) + predecessorLists
	// The measured second of a shard holds the encoding of its journal and the handling
	// of its reports.
	second := m.time(shardByWorkers, l.workersPerShard) + m.between(shardByStarts, l.starts, timeOf) - m.between(shardByStarts, 0, timeOf)
	second -= (m.between(shardByStarts, l.starts, countOf) - t.encoded) * m.time(journalByJobs, jobs) * perJob
	second -= l.workersPerShard * reportsPerSecond * (m.time(reportStepByTasks, m.tasksPerWorker()) - m.time(reportStepByTasks, m.reported()))
	return usage{
		Role: "owning shards and placing", State: l.shardsPerHost * journal,
		Calls: workers*reportsPerSecond + l.shardsPerHost*messages + storeCalls,
		Bytes: workers*reportsPerSecond*m.reportSize() + l.shardsPerHost*(commands*m.get(commandsByCount).Fit(bytesOf).Slope+t.written) + t.read,
		Core: percent(l.shardsPerHost*max(0, second) + workers*reportsPerSecond*m.time(reportCallByTasks, m.reported()) +
			l.shardsPerHost*(messages*call+commands*command) + storeCalls*call +
			l.shardsPerHost*t.written*m.get(envelopeEncode).Fit(timeOf).Slope +
			t.read*m.get(envelopeDecode).Fit(timeOf).Slope + t.decoded*m.time(journalDecode, jobs)*perJob),
		// Twice the journals: of this failure domain and of the predecessor.
		Heap: l.shardsPerHost*m.bytes(shardHeapByWorkers, l.workersPerShard) + 2*l.shardsDomain*m.bytes(journalHeapByJobs, jobs),
	}
}

// smallCall returns the processor time of a call over HTTP with a short body.
func (m model) smallCall() float64 { return m.time(reportCallByTasks, 0) }

// readShare returns how many of the values written in its failure domain one host reads.
func (m model) readShare(l layout) float64 {
	name := readBytesByHosts
	if l.starts >= 1 {
		name += ", while jobs start"
	}
	return m.count(name, l.hostsPerDomain) / l.hostsPerDomain
}

// watches returns the calls of one host that follow its failure domain's journals.
func (m model) watches(l layout) float64 {
	return m.count(callsIdleByHosts+": reads", l.hostsPerDomain) / l.hostsPerDomain
}

// heartbeats returns the needs of membership: identity, notices, claims and promises.
func (m model) heartbeats(l layout) (u usage, size float64) {
	notices := m.count(noticesHeld, float64(m.size.RestartedHosts))
	size = m.bytes(heartbeatByShards, l.shardsPerHost) + m.get(heartbeatByNotices).Fit(bytesOf).Slope*notices
	took := m.time(heartbeatByShards, l.shardsPerHost) + m.get(heartbeatByNotices).Fit(timeOf).Slope*notices
	begun := nearPerSecond*l.nearPeers + farPerSecond*l.farPeers
	// A host begins as many exchanges as it answers. Both messages of an exchange have
	// about the same size: promises answer claims.
	return usage{
		Role: "membership heartbeats", State: size, Calls: 2 * begun, Bytes: 4 * begun * size,
		Core: percent(2 * begun * took), Heap: m.bytes(registrarHeap, notices),
	}, size
}

// slots returns the needs of demand, endpoints and grants, which near heartbeats carry.
func (m model) slots(l layout) (u usage, answer float64) {
	domain := float64(m.size.Instances) / float64(m.size.Domains)
	each := domain / l.hostsPerDomain // instances whose slots one host grants
	begun := nearPerSecond * l.nearPeers
	demandSize := m.get(demandByInstances).Fit(bytesOf).Slope * each
	name := grantsByInstances
	if m.changes.endpointDelta {
		name = grantsOnly
	}
	answer = m.bytes(name, each)
	took := m.time(name, each) + m.get(demandByInstances).Fit(timeOf).Slope*each
	return usage{
		Role: "slot grants", State: l.nearPeers * answer, Bytes: 2 * begun * (demandSize + answer),
		Core: percent(begun * took), Heap: m.bytes(allocatorHeap, each),
	}, answer
}

// following returns the needs of following the configuration, and the bytes read.
func (m model) following(text float64) (u usage, reads float64) {
	changes := m.size.ConfigurationsPerDay / perDay
	value := m.bytes(envelopeEncode, text) // of the text; the record's other fields are below 1 KB
	calls := configPerSecond + configWatches + hostListsPerSecond + changes
	full, small := configPerSecond+changes, 0.0
	if m.changes.configKey {
		full, small = changes, configPerSecond
	}
	reads = full*value + small*generationSize
	return usage{
		Role: "configuration following", State: text, Calls: calls, Bytes: reads,
		Core: percent(calls*m.smallCall() + full*m.time(envelopeDecode, text) + changes*m.time(configByWorkers, float64(m.size.Workers))),
		// The configuration in effect, the next one, and the text of both.
		Heap: 2 * (m.bytes(configHeapByWorkers, float64(m.size.Workers)) + text),
	}, reads
}

func (m model) recording(l layout) usage {
	// The record of a start with its candidates; the measured drive has all the records
	// that starts cause.
	perSecond := l.shardsPerHost*m.between(shardByStarts+recordsOf, l.starts, countOf) + m.size.RoutingDecisionsPerHost
	size := m.bytes(recordByCandidates, 5)
	held := min(recorder.DefaultMaxRecords, recorder.DefaultMaxBytes/size)
	return usage{
		Role: "decision records", State: held * size,
		Core: percent(perSecond * m.time(recordByCandidates, 5)), Heap: m.bytes(recorderHeap, held),
	}
}

func (m model) operators() usage {
	jobs := float64(m.size.Batch)
	if m.changes.listPages {
		jobs = pageSize
	}
	size := m.bytes(listByJobs, jobs)
	// The asked host collects the lists of all hosts and encodes the whole.
	return usage{
		Role: "operator interface", Calls: operatorLists, Bytes: 2 * operatorLists * size,
		Core: percent(2 * operatorLists * m.time(listByJobs, jobs)), Heap: 2 * size,
	}
}

func (m model) requests() usage {
	domain := float64(m.size.Instances) / float64(m.size.Domains)
	service := domain / float64(m.size.Services)
	// A second's requests wait at the most.
	heap := m.bytes(routerHeapByInstance, domain) + m.bytes(limiterHeap, m.size.RequestsPerHost)
	return usage{
		Role: "receiving and routing requests", State: heap, Calls: 2 * m.size.RequestsPerHost,
		Core: percent(m.size.RequestsPerHost * (m.time(pickByInstances, service) + m.time(offerByInstances, service))), Heap: heap,
	}
}

func (m model) store(l layout, journal float64, t journalTraffic, text float64) storeDemand {
	const writesOfChange = 2 // current and history; a deletion keeps the history bounded
	changes := m.size.ConfigurationsPerDay / perDay
	records := m.count(callsByStarts+": records of ended jobs", l.starts) / 2 // as many reads as writes
	s := storeDemand{
		Writes: l.shards*(t.writes+records) + (writesOfChange+1)*changes,
		Reads: l.hosts*(m.watches(l)+predecessorLists+configPerSecond+configWatches+hostListsPerSecond) +
			l.shards*records,
		Largest: max(journal, text),
	}
	// Records hold 500 ended jobs of each shard, each as large as in the journal.
	const kept = 500
	recordsSize := kept * m.get(journalByJobs).Fit(bytesOf).Slope
	s.State = l.shards*(journal+recordsSize) + (1+publisher.HistoryLimit)*text
	s.BytesIn = l.shards*(t.written+records*recordsSize) + writesOfChange*changes*text
	return s
}

// figure is a figure that has a limit.
type figure struct {
	What         string
	Value, Limit float64
	Unit         string
}

// largestMultiple bounds the search for the size at which a limit breaks.
const largestMultiple = 100

// breaksAt returns the multiple of the size at which the figure at an index of limits
// reaches its limit with the same entry hosts: 0 if it is over at any size.
func (m model) breaksAt(hosts, index int) float64 {
	over := func(by float64) bool {
		f := m.scaled(by).limits(hosts)[index]
		return f.Value > f.Limit
	}
	low, high := 1.0/float64(m.size.Workers), float64(largestMultiple)
	switch {
	case over(low):
		return 0
	case !over(high):
		return largestMultiple
	}
	for range 30 {
		if middle := (low + high) / 2; over(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// limits returns the figures that have a limit, with a number of entry hosts.
func (m model) limits(count int) []figure {
	average, peak := m.estimate(count, false), m.estimate(count, true)
	a, p := average.total(), peak.total()
	hosts := float64(count)
	share := hosts / (hosts + float64(m.size.Workers)) // spreads the entry hosts' needs over all hosts
	perShard := m.journalSize(m.layout(count, false))
	return []figure{
		{"bytes of control on an entry host, average", a.Bytes, limitBytes, "bytes/s"},
		{"bytes of control on an entry host, peak", p.Bytes, limitBytes, "bytes/s"},
		{"processor time of control on an entry host, average", a.Core, limitCore, "% of a core"},
		{"processor time of control on an entry host, peak", p.Core, limitCore, "% of a core"},
		{"heap of control on an entry host", p.Heap, limitHeap, "bytes"},
		{"bytes of control, mean over all entry hosts and workers, average", a.Bytes * share, limitBytes, "bytes/s"},
		{"bytes of control, mean over all entry hosts and workers, peak", p.Bytes * share, limitBytes, "bytes/s"},
		{"processor time of control, mean over all entry hosts and workers, average", a.Core * share, limitCore, "% of a core"},
		{"processor time of control, mean over all entry hosts and workers, peak", p.Core * share, limitCore, "% of a core"},
		{"bytes of control on a worker, peak", peak.Worker.Bytes, limitBytes, "bytes/s"},
		{"store writes, average", average.Store.Writes, storeWrites, "per second"},
		{"store writes, peak", peak.Store.Writes, storeWrites, "per second"},
		{"store reads", peak.Store.Reads, storeReads, "per second"},
		{"largest value in the store", peak.Store.Largest, storeValue, "bytes"},
		{"a shard's journal", perShard, scheduler.MaxJournalSize, "bytes"},
		{"text of the configuration", average.ConfigSize, configurator.MaxTextSize, "bytes"},
	}
}
