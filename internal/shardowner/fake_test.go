package shardowner_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/shardowner"
	"peridotpitch/internal/storer"
)

// cluster simulates the entry hosts, workers and store of two failure domains, and collects
// violations of invariants.
type cluster struct {
	mutex                sync.Mutex
	config               *configurator.Configuration
	storeEntries         map[string]storer.Entry
	revision             uint64
	storeCalls           map[string]int   // by kind of call
	writesPerSecond      map[string][]int // writes to the store by key, one element for each second
	totalWritesPerSecond map[int]int      // by second
	totalWritesPer100ms  map[int]int      // by interval of 100 ms
	claims               []recordedClaim
	startedAt            time.Time
	workers              map[netip.AddrPort]*fakeWorker
	hosts                map[string]*fakeHost
	cutLinks             map[string]bool // "a>b": messages from a to b are lost
	delays               map[string]time.Duration
	answersToLose        int             // number of following compare-and-swaps that take effect but whose answer is lost
	cancelledJobs        map[string]bool // jobs whose cancellation an entry host has acknowledged
	finishesByTask       map[string]int
	startsByTask         map[string]int
	startsNotInJournal   int             // starts of attempts that were in no stored journal
	allowReusedAttempts  bool            // the number of a lost attempt that is in no journal may be used again
	endedJobs            map[string]bool // jobs that have ended according to a stored journal
	violations           []string
}

// recordedClaim is a claim of shard a/0, with the time when it was sent and the time of the
// first heartbeat that reports its host as the owner in that epoch.
type recordedClaim struct {
	host               string
	epoch              uint64
	sentAt, firstActed time.Duration
}

type fakeHost struct {
	name, domain string
	owner        *shardowner.Owner
	stop         func()
	paused       bool
	startedAt    time.Time
}

func newCluster(c *configurator.Configuration) *cluster {
	cl := &cluster{
		config: c, storeEntries: make(map[string]storer.Entry), storeCalls: make(map[string]int), writesPerSecond: make(map[string][]int),
		totalWritesPerSecond: make(map[int]int), totalWritesPer100ms: make(map[int]int), startedAt: time.Now(), workers: make(map[netip.AddrPort]*fakeWorker), hosts: make(map[string]*fakeHost),
		cutLinks: make(map[string]bool), delays: make(map[string]time.Duration), cancelledJobs: make(map[string]bool), finishesByTask: make(map[string]int), endedJobs: make(map[string]bool), startsByTask: make(map[string]int),
	}
	for _, cw := range c.Workers {
		cl.workers[cw.Address] = &fakeWorker{cl: cl, name: cw.Name, capacity: cw.Capacity, incarnation: "1", startedAt: time.Now(), tasks: make(map[string]*fakeTask)}
	}
	return cl
}

func (cl *cluster) addViolation(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%s: ", time.Since(cl.startedAt))+fmt.Sprintf(format, args...))
}

// locked runs f while it holds the mutex.
func (cl *cluster) locked(f func()) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	f()
}

// setPartitioned blocks or unblocks the messages between two hosts in both directions.
func (cl *cluster) setPartitioned(a, b string, cut bool) {
	cl.locked(func() { cl.cutLinks[a+">"+b], cl.cutLinks[b+">"+a] = cut, cut })
}

// waitWhilePaused waits until the host is not paused. It simulates a process that is paused
// after its last lease check and sends the message when it resumes.
func (cl *cluster) waitWhilePaused(h *fakeHost) {
	for {
		cl.mutex.Lock()
		paused := h.paused
		cl.mutex.Unlock()
		if !paused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setIsolated blocks or unblocks the messages between each of the named hosts or workers and
// all others, including the store. Messages to and from the entry hosts and workers of failure
// domain exceptDomain stay unchanged, unless it is "".
func (cl *cluster) setIsolated(names []string, exceptDomain string, cut bool) {
	others := []string{"store"}
	for _, h := range cl.config.EntryHosts {
		others = append(others, h.Name)
	}
	for _, o := range cl.config.Workers {
		others = append(others, o.Name)
	}
	for _, n := range names {
		for _, o := range others {
			if exceptDomain == "" || !strings.HasPrefix(o, exceptDomain) && !strings.HasPrefix(o, "w"+exceptDomain) {
				cl.setPartitioned(n, o, cut)
			}
		}
	}
}

// restartWorker simulates a restart of a worker's process, which loses its tasks, its epoch
// and its clock.
func (cl *cluster) restartWorker(name string) {
	cl.locked(func() {
		for _, o := range cl.workers {
			if o.name == name {
				o.tasks, o.epoch, o.startedAt = make(map[string]*fakeTask), 0, time.Now()
				o.incarnation += "1"
			}
		}
	})
}

// startHost starts an entry host with a new Owner.
func (cl *cluster) startHost(name string) *fakeHost {
	domain := ""
	for _, h := range cl.config.EntryHosts {
		if h.Name == name {
			domain = h.FailureDomain
		}
	}
	h := &fakeHost{name: name, domain: domain, startedAt: time.Now()}
	// The names of all hosts have the same length, so hosts that start at the same time get
	// the same random numbers.
	seed := uint64(len(name)) + uint64(time.Since(cl.startedAt))
	p, stop, err := shardowner.New(shardowner.Settings{
		Host: name, FailureDomain: domain, Incarnation: fmt.Sprintf("%s-%d", name, time.Since(cl.startedAt)),
		Store: &fakeStore{cl, h}, Workers: &fakeWorkerClient{cl, h}, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	if err != nil {
		panic(err)
	}
	h.owner = p
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.stop = sync.OnceFunc(func() {
		cancel()
		stop()
		<-done
	})
	p.Configure(cl.config)
	cl.locked(func() { cl.hosts[name] = h })
	go func() {
		defer close(done)
		cl.exchangeHeartbeats(ctx, h)
	}()
	return h
}

// killHost simulates the crash of an entry host.
func (cl *cluster) killHost(name string) {
	cl.mutex.Lock()
	h := cl.hosts[name]
	delete(cl.hosts, name)
	cl.mutex.Unlock()
	if h != nil {
		h.stop()
	}
}

func (cl *cluster) stopAllHosts() {
	for _, h := range cl.config.EntryHosts {
		cl.killHost(h.Name)
	}
}

// exchangeHeartbeats exchanges heartbeats with the other entry hosts, as package server does.
func (cl *cluster) exchangeHeartbeats(ctx context.Context, h *fakeHost) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		m := messenger.Heartbeat{Identity: messenger.Identity{Host: h.name, FailureDomain: h.domain}, Claims: h.owner.Claims()}
		cl.mutex.Lock()
		for _, c := range m.Claims {
			cl.recordActing(h.name, c)
		}
		var peers []*fakeHost
		for _, o := range cl.hosts {
			if o != h && !cl.cutLinks[h.name+">"+o.name] && !h.paused && !o.paused {
				peers = append(peers, o)
			}
		}
		cl.mutex.Unlock()
		for _, o := range peers {
			a := messenger.HeartbeatAnswer{Identity: messenger.Identity{Host: o.name}, Promises: o.owner.AnswerClaims(m)}
			cl.mutex.Lock()
			lost := cl.cutLinks[o.name+">"+h.name]
			cl.mutex.Unlock()
			if !lost {
				h.owner.RecordPromises(sentAt, a)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// recordActing records that a host acts as the owner of a shard. If the store holds no claim of
// that host and epoch, it records an additional one, so that the check of the claims
// in load_test.go fails.
func (cl *cluster) recordActing(host string, c messenger.ShardClaim) {
	if c.Shard != "a/0" {
		return
	}
	for i := range cl.claims {
		if k := &cl.claims[i]; k.host == host && k.epoch == c.Epoch {
			k.firstActed = min(k.firstActed, time.Since(cl.startedAt))
			return
		}
	}
	cl.claims = append(cl.claims, recordedClaim{host, c.Epoch, time.Since(cl.startedAt), time.Since(cl.startedAt)})
}

// fakeStore is one entry host's client of the simulated store.
type fakeStore struct {
	cl   *cluster
	host *fakeHost
}

var _ storer.Store = (*fakeStore)(nil)

// call counts a call, waits for the configured delay, and reports whether the request reaches
// the store and whether its answer reaches the host.
func (s *fakeStore) call(ctx context.Context, kind string) (arrives, answered bool) {
	s.cl.mutex.Lock()
	d := s.cl.delays["store"]
	s.cl.storeCalls[kind]++
	s.cl.mutex.Unlock()
	time.Sleep(d)
	s.cl.waitWhilePaused(s.host)
	s.cl.mutex.Lock()
	defer s.cl.mutex.Unlock()
	arrives = !s.cl.cutLinks[s.host.name+">store"]
	return arrives, arrives && !s.cl.cutLinks["store>"+s.host.name] && ctx.Err() == nil
}

var errUnavailable = &storer.UnavailableError{Reason: "refused"}

func (s *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if _, ok := s.call(ctx, "get"); !ok {
		return storer.Entry{}, errUnavailable
	}
	s.cl.mutex.Lock()
	defer s.cl.mutex.Unlock()
	e := s.cl.storeEntries[key]
	e.Key = key
	return e, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	if _, ok := s.call(ctx, "list"); !ok {
		return nil, 0, errUnavailable
	}
	s.cl.mutex.Lock()
	defer s.cl.mutex.Unlock()
	return s.cl.entriesSince(prefix, 0), s.cl.revision, nil
}

func (cl *cluster) entriesSince(prefix string, after uint64) []storer.Entry {
	var es []storer.Entry
	for k, e := range cl.storeEntries {
		if strings.HasPrefix(k, prefix) && e.Revision > after {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b storer.Entry) int { return int(a.Revision) - int(b.Revision) })
	return es
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	sent := time.Since(s.cl.startedAt)
	arrives, answered := s.call(ctx, "cas")
	if !arrives {
		return false, 0, errUnavailable
	}
	s.cl.mutex.Lock()
	defer s.cl.mutex.Unlock()
	second := int(time.Since(s.cl.startedAt) / time.Second)
	counts := s.cl.writesPerSecond[key]
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	s.cl.writesPerSecond[key] = counts
	s.cl.totalWritesPerSecond[second]++
	s.cl.totalWritesPer100ms[int(time.Since(s.cl.startedAt)/(100*time.Millisecond))]++
	if counts[second] > 11 { // limit of ten per second, and one more because the seconds are not aligned
		s.cl.addViolation("%d writes to %s within a second", counts[second], key)
	}
	lose := s.cl.answersToLose > 0
	if lose {
		s.cl.answersToLose--
	}
	swapped := s.cl.storeEntries[key].Revision == expect
	if swapped {
		s.cl.revision++
		s.cl.storeEntries[key] = storer.Entry{Key: key, Value: slices.Clone(value), Revision: s.cl.revision}
		s.cl.checkJournal(key, value, sent)
	}
	if lose || !answered {
		return false, 0, &storer.UnknownOutcomeError{Key: key, Reason: "no answer"}
	}
	return swapped, s.cl.storeEntries[key].Revision, nil
}

// checkJournal records the claim and the ended jobs in a written journal. These jobs must not
// start again. A job that has finished without its owner noticing may start again, because its
// attempt counts as lost.
func (cl *cluster) checkJournal(key string, value []byte, sent time.Duration) {
	shard, ok := strings.CutPrefix(key, "shards/")
	if !ok {
		return
	}
	j, err := scheduler.DecodeJournal(shard, value)
	if err != nil {
		cl.addViolation("written journal cannot be decoded: %v", err)
	}
	if last := len(cl.claims) - 1; shard == "a/0" && (last < 0 || cl.claims[last].epoch != j.Epoch) {
		// MaxInt64: the host has not acted as the owner yet.
		cl.claims = append(cl.claims, recordedClaim{j.Owner, j.Epoch, sent, math.MaxInt64})
	}
	for _, b := range j.Jobs {
		if b.State.Ended() {
			cl.endedJobs[b.Spec.Name] = true
		}
	}
}

func (s *fakeStore) Delete(context.Context, string, uint64) (bool, error) {
	return false, errUnavailable
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	if _, ok := s.call(ctx, "watch"); !ok {
		return storer.Events{}, errUnavailable
	}
	for end := time.Now().Add(wait); ; {
		s.cl.mutex.Lock()
		es, revision := s.cl.entriesSince(prefix, after), s.cl.revision
		s.cl.mutex.Unlock()
		if len(es) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return storer.Events{Events: es, StoreRevision: revision}, ctx.Err()
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *fakeStore) Hosts(context.Context) (storer.HostList, error) { return storer.HostList{}, nil }

// fakeWorker is a worker with its own clock, epoch and leases.
type fakeWorker struct {
	cl          *cluster
	name        string
	capacity    configurator.Resources
	incarnation string
	startedAt   time.Time
	clockDrift  float64 // relative error of its clock
	epoch       uint64
	tasks       map[string]*fakeTask
}

type fakeTask struct {
	commander.TaskReport
	duration  time.Duration
	startedAt time.Time
	stopAt    time.Time
}

func (f *fakeWorker) clock() commander.WorkerTime {
	return time.Duration(float64(time.Since(f.startedAt)) * (1 + f.clockDrift))
}

// endTasks ends the tasks whose lease, run time or grace period has ended.
func (f *fakeWorker) endTasks() {
	now := time.Now()
	for _, t := range f.tasks {
		if !t.State.Active() {
			continue
		}
		finish := t.startedAt.Add(t.duration)
		switch {
		case f.clock() > t.LeaseEnd:
			t.State, t.Checkpoint, t.Reason = commander.TaskStopped, fmt.Sprint(t.Attempt), "lease ended"
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			t.State, t.Checkpoint, t.Reason = commander.TaskStopped, fmt.Sprint(t.Attempt), "stopped by command"
		case t.Kind == commander.KindBatch && now.After(finish):
			t.State = commander.TaskFinished
			f.cl.finishesByTask[t.Task]++
		}
	}
}

func (f *fakeWorker) report() commander.Report {
	f.endTasks()
	r := commander.Report{Worker: f.name, Incarnation: f.incarnation, Clock: f.clock(), MeasuredAt: max(0, f.clock()-time.Second), Epoch: f.epoch, Capacity: f.capacity}
	for _, t := range f.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// apply executes one command.
func (f *fakeWorker) apply(c commander.Command) commander.Result {
	key := fmt.Sprint(c.Task, "/", c.Attempt)
	t := f.tasks[key]
	if f.clock() > c.NotAfter {
		return commander.Result{Task: c.Task, Reason: "too late"}
	}
	if c.Verb == commander.VerbStart {
		if t == nil {
			f.startTask(key, c)
		}
		return commander.Result{Task: c.Task, Done: true}
	}
	if t == nil {
		return commander.Result{Task: c.Task, Reason: "unknown task"}
	}
	switch c.Verb {
	case commander.VerbRenew:
		t.LeaseEnd = max(t.LeaseEnd, c.LeaseEnd)
	case commander.VerbStop:
		t.stopAt = time.Now().Add(min(c.Grace, 500*time.Millisecond))
	case commander.VerbForget:
		delete(f.tasks, key)
	}
	return commander.Result{Task: c.Task, Done: true}
}

// startTask starts a task and checks the invariants of starts.
func (f *fakeWorker) startTask(key string, c commander.Command) {
	cl := f.cl
	if cl.cancelledJobs[c.Task] {
		cl.addViolation("%s: cancelled job %s starts", f.name, c.Task)
	}
	if cl.endedJobs[c.Task] {
		cl.addViolation("%s: ended job %s starts", f.name, c.Task)
	}
	cl.startsByTask[c.Task]++
	if c.Kind == commander.KindBatch && !cl.journalLists(f.name, c) {
		cl.startsNotInJournal++
	}
	used := c.Declared
	for _, o := range cl.workers {
		o.endTasks()
		for _, t := range o.tasks {
			if t.State.Active() && t.Task == c.Task && c.Kind == commander.KindBatch {
				cl.addViolation("job %s attempt %d starts on %s and runs on %s as attempt %d", c.Task, c.Attempt, f.name, o.name, t.Attempt)
			}
			if t.State.Active() && o == f {
				used = used.Add(t.Declared)
			}
			if !cl.allowReusedAttempts && t.Task == c.Task && t.Attempt >= c.Attempt && c.Kind == commander.KindBatch {
				cl.addViolation("job %s starts again with attempt %d after attempt %d", c.Task, c.Attempt, t.Attempt)
			}
		}
	}
	if !used.Fits(f.capacity) {
		cl.addViolation("%s is over capacity: %+v", f.name, used)
	}
	f.tasks[key] = &fakeTask{
		TaskReport: commander.TaskReport{
			Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, Class: c.Class, Service: c.Service, State: commander.TaskRunning,
			Declared: c.Declared, LeaseEnd: c.LeaseEnd, Checkpoint: c.Checkpoint, Address: "127.0.0.1:80",
		},
		duration: c.Duration, startedAt: time.Now(),
	}
}

// journalLists reports whether a stored journal assigns the attempt to the worker.
func (cl *cluster) journalLists(worker string, c commander.Command) bool {
	for key, e := range cl.storeEntries {
		j, err := scheduler.DecodeJournal(strings.TrimPrefix(key, "shards/"), e.Value)
		if err != nil {
			continue
		}
		for _, b := range j.Jobs {
			if b.Spec.Name == c.Task && b.Attempt == c.Attempt && b.Worker == worker {
				return true
			}
		}
	}
	return false
}

// fakeWorkerClient is one entry host's client of the simulated workers.
type fakeWorkerClient struct {
	cl   *cluster
	host *fakeHost
}

// call runs f at the worker. If only the answer is lost, f takes effect and call returns an
// error.
func (c *fakeWorkerClient) call(address netip.AddrPort, f func(*fakeWorker)) error {
	c.cl.mutex.Lock()
	d := c.cl.delays["workers"]
	c.cl.mutex.Unlock()
	time.Sleep(d)
	c.cl.waitWhilePaused(c.host)
	c.cl.mutex.Lock()
	defer c.cl.mutex.Unlock()
	o := c.cl.workers[address]
	if o == nil || c.cl.cutLinks[c.host.name+">"+o.name] {
		return fmt.Errorf("worker %s does not answer", address)
	}
	o.endTasks()
	f(o)
	if c.cl.cutLinks[o.name+">"+c.host.name] {
		return fmt.Errorf("worker %s does not answer", address)
	}
	return nil
}

func (c *fakeWorkerClient) Fence(_ context.Context, a netip.AddrPort, epoch uint64, _ string) (m commander.FenceAnswer, err error) {
	err = c.call(a, func(o *fakeWorker) {
		m.Accepted = epoch >= o.epoch
		o.epoch = max(o.epoch, epoch)
		m.Epoch, m.Report = o.epoch, o.report()
	})
	return m, err
}

func (c *fakeWorkerClient) Report(_ context.Context, a netip.AddrPort) (r commander.Report, err error) {
	err = c.call(a, func(o *fakeWorker) { r = o.report() })
	return r, err
}

func (c *fakeWorkerClient) Apply(_ context.Context, a netip.AddrPort, epoch uint64, _ string, cs []commander.Command) (m commander.ApplyAnswer, err error) {
	err = c.call(a, func(o *fakeWorker) {
		m.Accepted = epoch >= o.epoch
		o.epoch = max(o.epoch, epoch)
		m.Epoch = o.epoch
		for _, c := range cs {
			if m.Accepted {
				m.Results = append(m.Results, o.apply(c))
			}
		}
	})
	return m, err
}

// configuration returns the failure domains a and b, each the other's successor, with the
// given numbers of entry hosts, workers and shards each.
func configuration(hosts, workers, shards int) *configurator.Configuration {
	c := &configurator.Configuration{
		Generation:     1,
		Policy:         configurator.Policy{Placement: configurator.PlacementInterference, OwnershipTTL: 3 * time.Second, JobRecoveryDelay: 60 * time.Second},
		JobClasses:     []configurator.JobClass{{Name: "repair", Size: configurator.Resources{Cores: 2, Memory: 1 << 30}}, {Name: "rush", Urgent: true, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}}},
		FailureDomains: []configurator.FailureDomain{{Name: "a", Successor: "b"}, {Name: "b", Successor: "a"}},
	}
	for d, domain := range []string{"a", "b"} {
		for i := range hosts {
			c.EntryHosts = append(c.EntryHosts, configurator.EntryHost{Name: fmt.Sprintf("%s%d", domain, i), FailureDomain: domain})
		}
		for i := range workers {
			c.Workers = append(c.Workers, configurator.Worker{
				Name: fmt.Sprintf("w%s%d", domain, i), FailureDomain: domain, Rack: fmt.Sprint("r", i%2), Shard: fmt.Sprint(i % shards),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 1), Capacity: configurator.Resources{Cores: 8, Memory: 32 << 30},
			})
		}
	}
	return c
}

// submit submits a job to the running entry hosts until one of them, the owner of the home
// shard, answers.
func (cl *cluster) submit(name string, duration time.Duration) (messenger.JobAnswer, bool) {
	cl.mutex.Lock()
	hs := make([]*fakeHost, 0, len(cl.hosts))
	for _, h := range cl.hosts {
		if !h.paused {
			hs = append(hs, h)
		}
	}
	cl.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range hs {
		if a, err := h.owner.Submit(ctx, scheduler.JobSpec{Name: name, Class: "repair", Duration: duration}); err == nil {
			return a, true
		}
	}
	return messenger.JobAnswer{}, false
}

// finishedJobs returns the number of finished jobs.
func (cl *cluster) finishedJobs() int {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for _, o := range cl.workers {
		o.endTasks()
	}
	return len(cl.finishesByTask)
}

// cancel sends a cancellation to all running entry hosts. The job counts as cancelled only if
// one of them acknowledges the cancellation before the job has finished.
func (cl *cluster) cancel(name string) {
	cl.mutex.Lock()
	hs := make([]*fakeHost, 0, len(cl.hosts))
	for _, h := range cl.hosts {
		if !h.paused {
			hs = append(hs, h)
		}
	}
	cl.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range hs {
		a, err := h.owner.Cancel(ctx, name)
		if err == nil && a.Accepted && (a.Status.State == scheduler.JobCanceling || a.Status.State == scheduler.JobCancelled) {
			cl.locked(func() { cl.cancelledJobs[name] = true })
		}
	}
}
