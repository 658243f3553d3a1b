package estimator

import (
	"math"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// Limits of section 1.6 of the design page for the control traffic, processor time and heap
// of each host, and of section 1.3 for the store.
const (
	maxCorePercent         = 4.9
	maxHeapBytes           = 256_000_000
	maxBytesPerSecond      = 23_000
	maxStoreReadsPerSecond = 2000
	maxStoreValueBytes     = storer.MaxValueBytes
	// maxStoreWritesPerSecond is the low end of the design's "several hundred" writes per second.
	maxStoreWritesPerSecond = 300
)

// Rates of messages. Section 4.5 of the design page states the rates of heartbeats.
const (
	nearHeartbeatsPerSecond   = 2.0      // to each peer of the same failure domain
	farHeartbeatsPerSecond    = 1.0      // to each peer of other failure domains
	reportsPerSecond          = 1.0      // of each worker
	configReadsPerSecond      = 0.5      // of the configuration by each entry host
	configWatchesPerSecond    = 1.0 / 20 // of the configuration by each entry host, without a change
	hostListReadsPerSecond    = 0.5      // of the platform's host list by each entry host
	predecessorListsPerSecond = 1.0 / 10 // of the predecessor domain's journals by each entry host, at a JobRecoveryDelay of 60 s
	secondsPerDay             = 24 * 60 * 60.0
	operatorListsPerSecond    = 1.0 / 60 // of all jobs by operators at each entry host
)

// roleUsage holds the usage of one role of an entry host, for example slot grants.
type roleUsage struct {
	Role           string
	StateBytes     float64 // bytes of the role's tables, encoded or as heap
	CallsPerSecond float64 // sent and received; a call and its answer count once
	BytesPerSecond float64 // sent and received
	CorePercent    float64 // percent of one core
	HeapBytes      float64
}

// systemUsage holds the usage of a deployment with a number of entry hosts.
type systemUsage struct {
	Hosts, Shards  int
	Peak           bool        // at the peak of starts, otherwise on average over a day
	Requests       roleUsage   // not part of control
	Control        []roleUsage // the other roles
	Store          storeUsage
	Worker         roleUsage // control traffic of one worker
	JournalBytes   float64   // of one shard
	ConfigBytes    float64   // of the configuration's text
	HeartbeatBytes float64   // of a heartbeat within a failure domain, with claims and notices
	AnswerBytes    float64   // of the endpoints and grants in a heartbeat's answer
	StartsPerShard float64   // per second
}

// storeUsage holds the load on the platform's store.
type storeUsage struct{ StateBytes, WritesPerSecond, ReadsPerSecond, InBytesPerSecond, OutBytesPerSecond, MaxValueBytes float64 }

// total returns the sum of the control roles.
func (d systemUsage) total() roleUsage {
	t := roleUsage{Role: "control together"}
	for _, u := range d.Control {
		t.StateBytes += u.StateBytes
		t.CallsPerSecond += u.CallsPerSecond
		t.BytesPerSecond += u.BytesPerSecond
		t.CorePercent += u.CorePercent
		t.HeapBytes += u.HeapBytes
	}
	return t
}

// optimizations selects possible optimizations whose effect is estimated. The program has none
// of them yet.
type optimizations struct {
	renewalKey    bool // ownership renewals are written to a small key, and hosts watch only these keys
	journalLog    bool // a journal write contains only the changes
	reportDeltas  bool // a report lists only changed tasks
	workerLeases  bool // one lease renewal for all tasks of a worker
	endpointDelta bool // endpoints are sent only when they have changed
	configKey     bool // hosts poll a small key with the generation
	listPages     bool // operators' lists are paginated
}

// Assumptions of the optimizations.
const (
	renewalBytes            = 500.0 // value of an ownership renewal
	compactionPeriodSeconds = 60.0  // between two full journals
	journalChangesPerStart  = 4.0   // pending, starting, running, ended
	changedTaskShare        = 0.05  // of a worker's tasks in a report that lists only changes
	generationBytes         = 200.0 // value of the key with the generation
	jobsPerPage             = 500.0
)

// model estimates the usage of a deployment from measured series.
type model struct {
	deployment    Deployment
	series        map[string]Series
	missing       map[string]bool // names of series that were looked up but not measured
	optimizations optimizations
}

func newModel(s Deployment, all []Series) model {
	m := model{deployment: s, series: make(map[string]Series, len(all)), missing: make(map[string]bool)}
	for _, x := range all {
		m.series[x.Name] = x
	}
	return m
}

// lookup returns a series. If the series has no samples, lookup records the name as missing.
func (m model) lookup(name string) Series {
	s, ok := m.series[name]
	if !ok || len(s.Samples) == 0 {
		m.missing[name] = true
	}
	return s
}

// scaled returns the model of a deployment that is larger by a factor. The numbers of failure
// domains and services, the size of shards and the requests per entry host are unchanged.
func (m model) scaled(by float64) model {
	z := &m.deployment
	for _, n := range []*int{&z.Workers, &z.Accelerators, &z.Batch, &z.Instances, &z.Teams, &z.RestartedHosts} {
		*n = max(1, int(math.Round(float64(*n)*by)))
	}
	for _, x := range []*float64{&z.JobsPerDay, &z.StartsPeak, &z.ConfigurationsPerDay} {
		*x *= by
	}
	return m
}

// timeAt returns the processor time in microseconds at x on a series' fitted line.
func (m model) timeAt(name string, x float64) float64 {
	return max(0, m.lookup(name).Fit(timeOf).At(x))
}

// bytesAt returns the bytes at x on a series' fitted line.
func (m model) bytesAt(name string, x float64) float64 {
	return max(0, m.lookup(name).Fit(bytesOf).At(x))
}

// countAt returns the count at x on a series' fitted line.
func (m model) countAt(name string, x float64) float64 {
	return max(0, m.lookup(name).Fit(countOf).At(x))
}

// interpolate returns a field at x by linear interpolation between the samples, for quantities
// that do not grow linearly.
func (m model) interpolate(name string, x float64, field func(Sample) float64) float64 {
	ss := m.lookup(name).Samples
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

// corePercent converts microseconds of processor time per second to percent of a core.
func corePercent(microseconds float64) float64 { return microseconds / 1e6 * 100 }

// measuredTeams is the number of teams in the configurations of the series configByWorkers.
const measuredTeams = 200

// layout is the distribution of shards, workers and starts over the entry hosts.
type layout struct {
	hosts, shards                  float64
	nearPeers, farPeers            float64 // other entry hosts in the same and in other failure domains
	hostsPerDomain                 float64
	shardsPerHost, shardsPerDomain float64
	workersPerShard                float64
	startsPerSecond                float64 // of each shard
}

func (m model) layout(hosts int, peak bool) layout {
	z := m.deployment
	d := float64(z.Domains)
	shardsDomain := math.Ceil(float64(z.Workers) / d / float64(z.ShardWorkers))
	l := layout{
		hosts: float64(hosts), shards: shardsDomain * d, hostsPerDomain: float64(hosts) / d, shardsPerDomain: shardsDomain,
		shardsPerHost: shardsDomain * d / float64(hosts), workersPerShard: float64(z.Workers) / d / shardsDomain,
		startsPerSecond: z.JobsPerDay / secondsPerDay / (shardsDomain * d),
	}
	l.nearPeers = l.hostsPerDomain - 1
	l.farPeers = l.hosts - l.hostsPerDomain
	if peak {
		l.startsPerSecond = z.StartsPeak / l.shards
	}
	return l
}

// estimate returns the usage with a number of entry hosts, on average over a day or at the
// peak of starts.
func (m model) estimate(hosts int, peak bool) systemUsage {
	l := m.layout(hosts, peak)
	journal, writes := m.journalBytes(l), m.interpolate(shardSecondByStarts, l.startsPerSecond, countOf)
	if peak { // the journal keeps ended jobs until they are in the job history
		journal += m.interpolate(shardSecondByStarts, l.startsPerSecond, bytesOf) - m.interpolate(shardSecondByStarts, 0, bytesOf)
	}
	traffic := m.journalTraffic(l, journal, writes)
	d := systemUsage{Hosts: hosts, Shards: int(l.shards), Peak: peak, JournalBytes: journal, StartsPerShard: l.startsPerSecond}
	d.ConfigBytes = m.bytesAt(configByWorkers, float64(m.deployment.Workers)) +
		m.lookup(configByTeams).Fit(bytesOf).Slope*float64(m.deployment.Teams-measuredTeams)
	owning := m.shardOwnership(l, journal, traffic)
	heartbeats, size := m.membershipHeartbeats(l)
	slots, answer := m.slotGrants(l)
	following, configReads := m.configurationFollowing(d.ConfigBytes)
	d.HeartbeatBytes, d.AnswerBytes = size, answer
	d.Requests = m.requestRouting()
	d.Control = []roleUsage{owning, heartbeats, following, slots, m.decisionRecords(l), m.operatorInterface()}
	d.Store = m.storeUsage(l, journal, traffic, d.ConfigBytes)
	d.Store.OutBytesPerSecond = l.hosts * (traffic.bytesRead + configReads)
	commands := m.commandsPerSecond(l)
	d.Worker = roleUsage{
		Role: "one worker", CallsPerSecond: reportsPerSecond + m.messagesPerSecond(l)/l.workersPerShard,
		BytesPerSecond: reportsPerSecond*m.reportBytes() + commands/l.workersPerShard*m.lookup(renewalMessageByCount).Fit(bytesOf).Slope,
	}
	return d
}

// journalBytes returns the size of a shard's journal.
func (m model) journalBytes(l layout) float64 {
	return m.bytesAt(journalEncodeByJobs, float64(m.deployment.Batch)/l.shards) +
		m.lookup(journalEncodeByInstances).Fit(bytesOf).Slope*float64(m.deployment.Instances)/l.shards
}

// commandsPerSecond returns the commands that a shard sends to workers per second.
func (m model) commandsPerSecond(l layout) float64 {
	renewals := m.countAt(shardSecondByWorkers+commandsSuffix, l.workersPerShard)
	if m.optimizations.workerLeases {
		renewals = m.countAt(shardSecondByWorkers+messagesSuffix, l.workersPerShard)
	}
	return renewals + m.interpolate(shardSecondByStarts+commandsSuffix, l.startsPerSecond, countOf) - m.interpolate(shardSecondByStarts+commandsSuffix, 0, countOf)
}

// messagesPerSecond returns the messages with commands that a shard sends per second.
func (m model) messagesPerSecond(l layout) float64 {
	idle := m.interpolate(shardSecondByStarts+messagesSuffix, 0, countOf)
	return m.countAt(shardSecondByWorkers+messagesSuffix, l.workersPerShard) + m.interpolate(shardSecondByStarts+messagesSuffix, l.startsPerSecond, countOf) - idle
}

func (m model) tasksPerWorker() float64 {
	return float64(m.deployment.Batch+m.deployment.Instances) / float64(m.deployment.Workers)
}

// tasksPerReport returns the number of tasks in a worker's report.
func (m model) tasksPerReport() float64 {
	if m.optimizations.reportDeltas {
		return changedTaskShare * m.tasksPerWorker()
	}
	return m.tasksPerWorker()
}

func (m model) reportBytes() float64 { return m.bytesAt(reportDecodeByTasks, m.tasksPerReport()) }

// journalTraffic holds rates per second: writes, bytesWritten and encodings of the owner of one
// shard; valuesRead, bytesRead and decodings of a host that follows the journals of several
// shards.
type journalTraffic struct {
	writes       float64
	bytesWritten float64
	encodings    float64 // in full journals; a part of a journal counts as a fraction
	valuesRead   float64
	bytesRead    float64
	decodings    float64 // in full journals; a part of a journal counts as a fraction
}

// journalTraffic estimates the journal traffic of a shard's owner, and of a host that follows
// all shards of its failure domain and lists the shards of the predecessor domain.
func (m model) journalTraffic(l layout, journal, writes float64) journalTraffic {
	full, changed := writes, min(writes, journalChangesPerStart*l.startsPerSecond)
	sent := m.bytesAt(storeCallEncode, journal)
	t := journalTraffic{writes: writes, bytesWritten: full * sent, encodings: full}
	events := m.journalReadRatio(l) * l.shardsPerDomain // read by a host while each shard is written once
	t.valuesRead = events*full + predecessorListsPerSecond*l.shardsPerDomain
	t.bytesRead, t.decodings = t.valuesRead*sent, t.valuesRead
	if m.optimizations.renewalKey {
		small := m.bytesAt(storeCallEncode, renewalBytes)
		t.writes, t.bytesWritten, t.encodings = 1+changed, small+changed*sent, changed
		t.valuesRead = events + predecessorListsPerSecond*l.shardsPerDomain
		t.bytesRead, t.decodings = t.valuesRead*small, t.valuesRead*renewalBytes/journal
	}
	if m.optimizations.journalLog && m.optimizations.renewalKey {
		entry := m.lookup(journalEncodeByJobs).Fit(bytesOf).Slope
		parts := journalChangesPerStart * l.startsPerSecond * entry
		t.bytesWritten = m.bytesAt(storeCallEncode, renewalBytes)*(1+changed) + parts*m.lookup(storeCallEncode).Fit(bytesOf).Slope + sent/compactionPeriodSeconds
		t.encodings = parts/journal + 1/compactionPeriodSeconds
		t.writes += 1 / compactionPeriodSeconds
	}
	return t
}

// shardOwnership returns the usage of owning shards and placing their tasks.
func (m model) shardOwnership(l layout, journal float64, t journalTraffic) roleUsage {
	jobs := float64(m.deployment.Batch) / l.shards
	// The size of the journal relative to a measured one, which has neither instances nor ended jobs.
	journalRatio := journal / m.bytesAt(journalEncodeByJobs, jobs)
	workers := l.workersPerShard * l.shardsPerHost
	messages, commands := m.messagesPerSecond(l), m.commandsPerSecond(l)
	command := m.lookup(renewalMessageByCount).Fit(timeOf).Slope
	call := m.shortCallTime()
	storeCalls := l.shardsPerHost*t.writes + m.journalReadCalls(l) + predecessorListsPerSecond
	// The measured second of a shard includes the encoding of its journal and the handling
	// of its workers' reports. Subtract what the optimizations save.
	second := m.timeAt(shardSecondByWorkers, l.workersPerShard) + m.interpolate(shardSecondByStarts, l.startsPerSecond, timeOf) - m.interpolate(shardSecondByStarts, 0, timeOf)
	second -= (m.interpolate(shardSecondByStarts, l.startsPerSecond, countOf) - t.encodings) * m.timeAt(journalEncodeByJobs, jobs) * journalRatio
	second -= l.workersPerShard * reportsPerSecond * (m.timeAt(reportStepByTasks, m.tasksPerWorker()) - m.timeAt(reportStepByTasks, m.tasksPerReport()))
	return roleUsage{
		Role: "owning shards and placing", StateBytes: l.shardsPerHost * journal,
		CallsPerSecond: workers*reportsPerSecond + l.shardsPerHost*messages + storeCalls,
		BytesPerSecond: workers*reportsPerSecond*m.reportBytes() + l.shardsPerHost*(commands*m.lookup(renewalMessageByCount).Fit(bytesOf).Slope+t.bytesWritten) + t.bytesRead,
		CorePercent: corePercent(l.shardsPerHost*max(0, second) + workers*reportsPerSecond*m.timeAt(reportCallByTasks, m.tasksPerReport()) +
			l.shardsPerHost*(messages*call+commands*command) + storeCalls*call +
			l.shardsPerHost*t.bytesWritten*m.lookup(storeCallEncode).Fit(timeOf).Slope +
			t.bytesRead*m.lookup(storeCallDecode).Fit(timeOf).Slope + t.decodings*m.timeAt(journalDecodeByJobs, jobs)*journalRatio),
		// The journals of this failure domain and of the predecessor.
		HeapBytes: l.shardsPerHost*m.bytesAt(shardHeapByWorkers, l.workersPerShard) + 2*l.shardsPerDomain*m.bytesAt(journalHeapByJobs, jobs),
	}
}

// shortCallTime returns the processor time of a call over HTTP with a short body.
func (m model) shortCallTime() float64 { return m.timeAt(reportCallByTasks, 0) }

// journalReadRatio returns the share of the journal bytes written in its failure domain that
// one host reads.
func (m model) journalReadRatio(l layout) float64 {
	name := readBytesByHosts
	if l.startsPerSecond >= 1 {
		name += ", while jobs start"
	}
	return m.countAt(name, l.hostsPerDomain) / l.hostsPerDomain
}

// journalReadCalls returns the store calls per second with which one host follows its failure
// domain's journals.
func (m model) journalReadCalls(l layout) float64 {
	return m.countAt(callsIdleByHosts+": reads", l.hostsPerDomain) / l.hostsPerDomain
}

// membershipHeartbeats returns the usage of heartbeats with identity, notices, claims and
// promises, and the size of one.
func (m model) membershipHeartbeats(l layout) (u roleUsage, size float64) {
	notices := m.countAt(noticesByRestartedHosts, float64(m.deployment.RestartedHosts))
	size = m.bytesAt(heartbeatByShards, l.shardsPerHost) + m.lookup(heartbeatByNotices).Fit(bytesOf).Slope*notices
	took := m.timeAt(heartbeatByShards, l.shardsPerHost) + m.lookup(heartbeatByNotices).Fit(timeOf).Slope*notices
	heartbeatsPerSecond := nearHeartbeatsPerSecond*l.nearPeers + farHeartbeatsPerSecond*l.farPeers
	// A host sends as many heartbeats as it answers. A heartbeat and its answer have about
	// the same size, because the answer has a promise for each claim.
	return roleUsage{
		Role: "membership heartbeats", StateBytes: size, CallsPerSecond: 2 * heartbeatsPerSecond, BytesPerSecond: 4 * heartbeatsPerSecond * size,
		CorePercent: corePercent(2 * heartbeatsPerSecond * took), HeapBytes: m.bytesAt(registrarHeap, notices),
	}, size
}

// slotGrants returns the usage of slot demand, endpoints and grants in the heartbeats within a
// failure domain, and the size of an answer.
func (m model) slotGrants(l layout) (u roleUsage, answer float64) {
	instancesPerDomain := float64(m.deployment.Instances) / float64(m.deployment.Domains)
	granted := instancesPerDomain / l.hostsPerDomain // instances whose slots one host grants
	heartbeatsPerSecond := nearHeartbeatsPerSecond * l.nearPeers
	demandSize := m.lookup(demandByInstances).Fit(bytesOf).Slope * granted
	name := grantsByInstances
	if m.optimizations.endpointDelta {
		name = grantsWithoutEndpoints
	}
	answer = m.bytesAt(name, granted)
	took := m.timeAt(name, granted) + m.lookup(demandByInstances).Fit(timeOf).Slope*granted
	return roleUsage{
		Role: "slot grants", StateBytes: l.nearPeers * answer, BytesPerSecond: 2 * heartbeatsPerSecond * (demandSize + answer),
		CorePercent: corePercent(heartbeatsPerSecond * took), HeapBytes: m.bytesAt(allocatorHeap, granted),
	}, answer
}

// configurationFollowing returns the usage of following the configuration, and the bytes read
// per second.
func (m model) configurationFollowing(text float64) (u roleUsage, reads float64) {
	changes := m.deployment.ConfigurationsPerDay / secondsPerDay
	value := m.bytesAt(storeCallEncode, text) // the record's other fields have less than 1 KB
	calls := configReadsPerSecond + configWatchesPerSecond + hostListReadsPerSecond + changes
	full, small := configReadsPerSecond+changes, 0.0
	if m.optimizations.configKey {
		full, small = changes, configReadsPerSecond
	}
	reads = full*value + small*generationBytes
	return roleUsage{
		Role: "configuration following", StateBytes: text, CallsPerSecond: calls, BytesPerSecond: reads,
		CorePercent: corePercent(calls*m.shortCallTime() + full*m.timeAt(storeCallDecode, text) + changes*m.timeAt(configByWorkers, float64(m.deployment.Workers))),
		// The configuration in effect and the next one, each with its text.
		HeapBytes: 2 * (m.bytesAt(configHeapByWorkers, float64(m.deployment.Workers)) + text),
	}, reads
}

// decisionRecords returns the usage of recording decisions.
func (m model) decisionRecords(l layout) roleUsage {
	// All records are counted with the size of a start's record, which has candidates.
	perSecond := l.shardsPerHost*m.interpolate(shardSecondByStarts+recordsSuffix, l.startsPerSecond, countOf) + m.deployment.RoutingDecisionsPerHost
	size := m.bytesAt(recordByCandidates, 5)
	held := min(recorder.DefaultMaxRecords, recorder.DefaultMaxBytes/size)
	return roleUsage{
		Role: "decision records", StateBytes: held * size,
		CorePercent: corePercent(perSecond * m.timeAt(recordByCandidates, 5)), HeapBytes: m.bytesAt(recorderHeap, held),
	}
}

// operatorInterface returns the usage of operators' lists of jobs.
func (m model) operatorInterface() roleUsage {
	jobs := float64(m.deployment.Batch)
	if m.optimizations.listPages {
		jobs = jobsPerPage
	}
	size := m.bytesAt(listByJobs, jobs)
	// The host that answers the operator receives the lists of all hosts and encodes them as one.
	return roleUsage{
		Role: "operator interface", CallsPerSecond: operatorListsPerSecond, BytesPerSecond: 2 * operatorListsPerSecond * size,
		CorePercent: corePercent(2 * operatorListsPerSecond * m.timeAt(listByJobs, jobs)), HeapBytes: 2 * size,
	}
}

// requestRouting returns the usage of callers' requests.
func (m model) requestRouting() roleUsage {
	instancesPerDomain := float64(m.deployment.Instances) / float64(m.deployment.Domains)
	instancesPerService := instancesPerDomain / float64(m.deployment.Services)
	// At most the requests of one second wait.
	heap := m.bytesAt(routerHeapByInstance, instancesPerDomain) + m.bytesAt(limiterHeap, m.deployment.RequestsPerHost)
	return roleUsage{
		Role: "receiving and routing requests", StateBytes: heap, CallsPerSecond: 2 * m.deployment.RequestsPerHost,
		CorePercent: corePercent(m.deployment.RequestsPerHost * (m.timeAt(pickByInstances, instancesPerService) + m.timeAt(offerByInstances, instancesPerService))), HeapBytes: heap,
	}
}

// storeUsage returns the load on the store, without OutBytesPerSecond.
func (m model) storeUsage(l layout, journal float64, t journalTraffic, text float64) storeUsage {
	const writesPerChange = 2 // current record and history; one deletion keeps the history bounded
	changes := m.deployment.ConfigurationsPerDay / secondsPerDay
	records := m.countAt(callsByStarts+": records of ended jobs", l.startsPerSecond) / 2 // half of the calls are reads
	s := storeUsage{
		WritesPerSecond: l.shards*(t.writes+records) + (writesPerChange+1)*changes,
		ReadsPerSecond: l.hosts*(m.journalReadCalls(l)+predecessorListsPerSecond+configReadsPerSecond+configWatchesPerSecond+hostListReadsPerSecond) +
			l.shards*records,
		MaxValueBytes: max(journal, text),
	}
	// The job history of a shard holds 500 ended jobs, each as large as in the journal.
	const kept = 500
	recordsSize := kept * m.lookup(journalEncodeByJobs).Fit(bytesOf).Slope
	s.StateBytes = l.shards*(journal+recordsSize) + (1+publisher.MaxHistoryRecords)*text
	s.InBytesPerSecond = l.shards*(t.bytesWritten+records*recordsSize) + writesPerChange*changes*text
	return s
}

// limitCheck is an estimated quantity with its limit.
type limitCheck struct {
	Name         string
	Value, Limit float64
	Unit         string
}

// maxSizeMultiple bounds the search for the size at which a limit is exceeded.
const maxSizeMultiple = 100

// breakingMultiple returns the multiple of the deployment size at which the quantity at an
// index of limitChecks reaches its limit with the same entry hosts. It is 0 if the limit is
// exceeded at any size, and maxSizeMultiple if it is not reached up to that multiple.
func (m model) breakingMultiple(hosts, index int) float64 {
	over := func(by float64) bool {
		f := m.scaled(by).limitChecks(hosts)[index]
		return f.Value > f.Limit
	}
	low, high := 1.0/float64(m.deployment.Workers), float64(maxSizeMultiple)
	switch {
	case over(low):
		return 0
	case !over(high):
		return maxSizeMultiple
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

// limitChecks returns the quantities that have a limit, with a number of entry hosts.
func (m model) limitChecks(count int) []limitCheck {
	average, peak := m.estimate(count, false), m.estimate(count, true)
	a, p := average.total(), peak.total()
	hosts := float64(count)
	share := hosts / (hosts + float64(m.deployment.Workers)) // of the entry hosts among all hosts
	perShard := m.journalBytes(m.layout(count, false))
	return []limitCheck{
		{"bytes of control on an entry host, average", a.BytesPerSecond, maxBytesPerSecond, "bytes/s"},
		{"bytes of control on an entry host, peak", p.BytesPerSecond, maxBytesPerSecond, "bytes/s"},
		{"processor time of control on an entry host, average", a.CorePercent, maxCorePercent, "% of a core"},
		{"processor time of control on an entry host, peak", p.CorePercent, maxCorePercent, "% of a core"},
		{"heap of control on an entry host", p.HeapBytes, maxHeapBytes, "bytes"},
		{"bytes of control, mean over all entry hosts and workers, average", a.BytesPerSecond * share, maxBytesPerSecond, "bytes/s"},
		{"bytes of control, mean over all entry hosts and workers, peak", p.BytesPerSecond * share, maxBytesPerSecond, "bytes/s"},
		{"processor time of control, mean over all entry hosts and workers, average", a.CorePercent * share, maxCorePercent, "% of a core"},
		{"processor time of control, mean over all entry hosts and workers, peak", p.CorePercent * share, maxCorePercent, "% of a core"},
		{"bytes of control on a worker, peak", peak.Worker.BytesPerSecond, maxBytesPerSecond, "bytes/s"},
		{"store writes, average", average.Store.WritesPerSecond, maxStoreWritesPerSecond, "per second"},
		{"store writes, peak", peak.Store.WritesPerSecond, maxStoreWritesPerSecond, "per second"},
		{"store reads", peak.Store.ReadsPerSecond, maxStoreReadsPerSecond, "per second"},
		{"largest value in the store", peak.Store.MaxValueBytes, maxStoreValueBytes, "bytes"},
		{"a shard's journal", perShard, scheduler.MaxJournalBytes, "bytes"},
		{"text of the configuration", average.ConfigBytes, configurator.MaxTextBytes, "bytes"},
	}
}
