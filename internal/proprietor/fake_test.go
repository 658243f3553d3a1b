package proprietor_test

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
	"peridotpitch/internal/proprietor"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// world is a set of fakes with a shared list of violated invariants.
type world struct {
	mutex      sync.Mutex
	config     *configurator.Configuration
	entries    map[string]storer.Entry
	revision   uint64
	calls      map[string]int   // store calls by kind
	writes     map[string][]int // by second and key: for the bound on writes
	total      map[int]int      // writes by second
	tenths     map[int]int      // writes by 100 ms
	claims     []claim
	begin      time.Time
	workers    map[netip.AddrPort]*fakeWorker
	hosts      map[string]*fakeHost
	cut        map[string]bool // "a>b": messages from a to b are lost
	delay      map[string]time.Duration
	loseAnswer int             // next compare-and-swaps whose answer is lost after the effect
	cancelled  map[string]bool // jobs whose cancellation was acknowledged
	finished   map[string]int
	starts     map[string]int
	unlisted   int             // starts that no journal showed
	unseen     bool            // attempts without a journal entry may be lost with their workers, and their numbers used again
	ended      map[string]bool // jobs whose end is in a journal
	violations []string
}

// claim is a claim of shard a/0: when it was sent, and when its host was first seen
// acting on it.
type claim struct {
	host        string
	epoch       uint64
	sent, acted time.Duration
}

type fakeHost struct {
	name, domain string
	p            *proprietor.Proprietor
	stop         func()
	paused       bool
	started      time.Time
}

func newWorld(c *configurator.Configuration) *world {
	w := &world{
		config: c, entries: make(map[string]storer.Entry), calls: make(map[string]int), writes: make(map[string][]int),
		total: make(map[int]int), tenths: make(map[int]int), begin: time.Now(), workers: make(map[netip.AddrPort]*fakeWorker), hosts: make(map[string]*fakeHost),
		cut: make(map[string]bool), delay: make(map[string]time.Duration), cancelled: make(map[string]bool), finished: make(map[string]int), ended: make(map[string]bool), starts: make(map[string]int),
	}
	for _, cw := range c.Workers {
		w.workers[cw.Address] = &fakeWorker{world: w, name: cw.Name, capacity: cw.Capacity, incarnation: "1", born: time.Now(), tasks: make(map[string]*fakeTask)}
	}
	return w
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", time.Since(w.begin))+fmt.Sprintf(format, args...))
}

// set runs f with the world's lock.
func (w *world) set(f func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	f()
}

// partition cuts or restores the messages between two names in both directions.
func (w *world) partition(a, b string, cut bool) {
	w.set(func() { w.cut[a+">"+b], w.cut[b+">"+a] = cut, cut })
}

// resumed waits while the host is paused: a message whose sender was paused after its
// last check is sent when the sender resumes.
func (w *world) resumed(h *fakeHost) {
	for {
		w.mutex.Lock()
		paused := h.paused
		w.mutex.Unlock()
		if !paused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isolate cuts or restores the messages between each of the names and all others whose
// name does not start with the given prefix.
func (w *world) isolate(names []string, inside string, cut bool) {
	others := []string{"store"}
	for _, h := range w.config.EntryHosts {
		others = append(others, h.Name)
	}
	for _, o := range w.config.Workers {
		others = append(others, o.Name)
	}
	for _, n := range names {
		for _, o := range others {
			if inside == "" || !strings.HasPrefix(o, inside) && !strings.HasPrefix(o, "w"+inside) {
				w.partition(n, o, cut)
			}
		}
	}
}

// restart replaces a worker's process: its tasks, its epoch and its clock are gone.
func (w *world) restart(name string) {
	w.set(func() {
		for _, o := range w.workers {
			if o.name == name {
				o.tasks, o.epoch, o.born = make(map[string]*fakeTask), 0, time.Now()
				o.incarnation += "1"
			}
		}
	})
}

func (w *world) start(name string) *fakeHost {
	domain := ""
	for _, h := range w.config.EntryHosts {
		if h.Name == name {
			domain = h.FailureDomain
		}
	}
	h := &fakeHost{name: name, domain: domain, started: time.Now()}
	seed := uint64(len(name)) + uint64(time.Since(w.begin))
	p, stop, err := proprietor.New(proprietor.Settings{
		Host: name, FailureDomain: domain, Incarnation: fmt.Sprintf("%s-%d", name, time.Since(w.begin)),
		Store: &fakeStore{w, h}, Workers: &fakeTransport{w, h}, Random: rand.New(rand.NewPCG(seed, 1)),
	})
	if err != nil {
		panic(err)
	}
	h.p = p
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.stop = sync.OnceFunc(func() {
		cancel()
		stop()
		<-done
	})
	p.Configure(w.config)
	w.set(func() { w.hosts[name] = h })
	go func() {
		defer close(done)
		w.beat(ctx, h)
	}()
	return h
}

// kill stops a host without notice.
func (w *world) kill(name string) {
	w.mutex.Lock()
	h := w.hosts[name]
	delete(w.hosts, name)
	w.mutex.Unlock()
	if h != nil {
		h.stop()
	}
}

func (w *world) stopAll() {
	for _, h := range w.config.EntryHosts {
		w.kill(h.Name)
	}
}

// beat exchanges heartbeats like the server does.
func (w *world) beat(ctx context.Context, h *fakeHost) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		m := messenger.Heartbeat{Identity: messenger.Identity{Host: h.name, FailureDomain: h.domain}, Claims: h.p.Claims()}
		w.mutex.Lock()
		for _, c := range m.Claims {
			w.acting(h.name, c)
		}
		var peers []*fakeHost
		for _, o := range w.hosts {
			if o != h && !w.cut[h.name+">"+o.name] && !h.paused && !o.paused {
				peers = append(peers, o)
			}
		}
		w.mutex.Unlock()
		for _, o := range peers {
			a := messenger.HeartbeatAnswer{Identity: messenger.Identity{Host: o.name}, Promises: o.p.Promise(m)}
			w.mutex.Lock()
			lost := w.cut[o.name+">"+h.name]
			w.mutex.Unlock()
			if !lost {
				h.p.Answered(sentAt, a)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// acting notes that a host acts as the owner of a shard. A host that acts without a
// claim in the store adds a claim that the history cannot explain.
func (w *world) acting(host string, c messenger.ShardClaim) {
	if c.Shard != "a/0" {
		return
	}
	for i := range w.claims {
		if k := &w.claims[i]; k.host == host && k.epoch == c.Epoch {
			k.acted = min(k.acted, time.Since(w.begin))
			return
		}
	}
	w.claims = append(w.claims, claim{host, c.Epoch, time.Since(w.begin), time.Since(w.begin)})
}

// fakeStore is the store as one host sees it.
type fakeStore struct {
	w *world
	h *fakeHost
}

var _ storer.Store = (*fakeStore)(nil)

// call counts a call, waits for the configured delay, and reports whether the request
// arrives and whether its answer does.
func (s *fakeStore) call(ctx context.Context, kind string) (arrives, answered bool) {
	s.w.mutex.Lock()
	d := s.w.delay["store"]
	s.w.calls[kind]++
	s.w.mutex.Unlock()
	time.Sleep(d)
	s.w.resumed(s.h)
	s.w.mutex.Lock()
	defer s.w.mutex.Unlock()
	arrives = !s.w.cut[s.h.name+">store"]
	return arrives, arrives && !s.w.cut["store>"+s.h.name] && ctx.Err() == nil
}

var errDown = &storer.UnavailableError{Reason: "refused"}

func (s *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if _, ok := s.call(ctx, "get"); !ok {
		return storer.Entry{}, errDown
	}
	s.w.mutex.Lock()
	defer s.w.mutex.Unlock()
	e := s.w.entries[key]
	e.Key = key
	return e, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	if _, ok := s.call(ctx, "list"); !ok {
		return nil, 0, errDown
	}
	s.w.mutex.Lock()
	defer s.w.mutex.Unlock()
	return s.w.since(prefix, 0), s.w.revision, nil
}

func (w *world) since(prefix string, after uint64) []storer.Entry {
	var es []storer.Entry
	for k, e := range w.entries {
		if strings.HasPrefix(k, prefix) && e.Revision > after {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b storer.Entry) int { return int(a.Revision) - int(b.Revision) })
	return es
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	sent := time.Since(s.w.begin)
	arrives, answered := s.call(ctx, "cas")
	if !arrives {
		return false, 0, errDown
	}
	s.w.mutex.Lock()
	defer s.w.mutex.Unlock()
	second := int(time.Since(s.w.begin) / time.Second)
	counts := s.w.writes[key]
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	s.w.writes[key] = counts
	s.w.total[second]++
	s.w.tenths[int(time.Since(s.w.begin)/(100*time.Millisecond))]++
	if counts[second] > 11 { // ten per second, and one on either border of the second
		s.w.violate("%d writes to %s within a second", counts[second], key)
	}
	lose := s.w.loseAnswer > 0
	if lose {
		s.w.loseAnswer--
	}
	swapped := s.w.entries[key].Revision == expect
	if swapped {
		s.w.revision++
		s.w.entries[key] = storer.Entry{Key: key, Value: slices.Clone(value), Revision: s.w.revision}
		s.w.note(key, value, sent)
	}
	if lose || !answered {
		return false, 0, &storer.UnknownOutcomeError{Key: key, Reason: "no answer"}
	}
	return swapped, s.w.entries[key].Revision, nil
}

// note remembers the jobs whose end a journal shows: none of them may start again. A job
// that finished out of sight of its owner may, because it counts as lost.
func (w *world) note(key string, value []byte, sent time.Duration) {
	shard, ok := strings.CutPrefix(key, "shards/")
	if !ok {
		return
	}
	j, err := scheduler.DecodeJournal(shard, value)
	if err != nil {
		w.violate("journal written that cannot be read: %v", err)
	}
	if last := len(w.claims) - 1; shard == "a/0" && (last < 0 || w.claims[last].epoch != j.Epoch) {
		w.claims = append(w.claims, claim{j.Owner, j.Epoch, sent, math.MaxInt64})
	}
	for _, b := range j.Jobs {
		if b.State.Ended() {
			w.ended[b.Spec.Name] = true
		}
	}
}

func (s *fakeStore) Delete(context.Context, string, uint64) (bool, error) { return false, errDown }

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	if _, ok := s.call(ctx, "watch"); !ok {
		return storer.Events{}, errDown
	}
	for end := time.Now().Add(wait); ; {
		s.w.mutex.Lock()
		es, revision := s.w.since(prefix, after), s.w.revision
		s.w.mutex.Unlock()
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
	world       *world
	name        string
	capacity    configurator.Resources
	incarnation string
	born        time.Time
	drift       float64 // of its clock
	epoch       uint64
	tasks       map[string]*fakeTask
}

type fakeTask struct {
	commander.TaskReport
	duration time.Duration
	began    time.Time
	stopAt   time.Time
}

func (f *fakeWorker) clock() commander.WorkerTime {
	return time.Duration(float64(time.Since(f.born)) * (1 + f.drift))
}

// advance ends tasks whose lease, work or grace has ended.
func (f *fakeWorker) advance() {
	now := time.Now()
	for _, t := range f.tasks {
		if !t.State.Active() {
			continue
		}
		finish := t.began.Add(t.duration)
		switch {
		case f.clock() > t.LeaseEnd:
			t.State, t.Checkpoint, t.Reason = commander.TaskStopped, fmt.Sprint(t.Attempt), "lease ended"
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			t.State, t.Checkpoint, t.Reason = commander.TaskStopped, fmt.Sprint(t.Attempt), "told to stop"
		case t.Kind == commander.KindBatch && now.After(finish):
			t.State = commander.TaskFinished
			f.world.finished[t.Task]++
		}
	}
}

func (f *fakeWorker) report() commander.Report {
	f.advance()
	r := commander.Report{Worker: f.name, Incarnation: f.incarnation, Clock: f.clock(), MeasuredAt: max(0, f.clock()-time.Second), Epoch: f.epoch, Capacity: f.capacity}
	for _, t := range f.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// apply carries out one command.
func (f *fakeWorker) apply(c commander.Command) commander.Result {
	key := fmt.Sprint(c.Task, "/", c.Attempt)
	t := f.tasks[key]
	if f.clock() > c.NotAfter {
		return commander.Result{Task: c.Task, Reason: "too late"}
	}
	if c.Verb == commander.VerbStart {
		if t == nil {
			f.begin(key, c)
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

// begin starts a task and checks the invariants that a start can violate.
func (f *fakeWorker) begin(key string, c commander.Command) {
	w := f.world
	if w.cancelled[c.Task] {
		w.violate("%s: cancelled job %s starts", f.name, c.Task)
	}
	if w.ended[c.Task] {
		w.violate("%s: ended job %s starts", f.name, c.Task)
	}
	w.starts[c.Task]++
	if c.Kind == commander.KindBatch && !w.listed(f.name, c) {
		w.unlisted++
	}
	used := c.Declared
	for _, o := range w.workers {
		o.advance()
		for _, t := range o.tasks {
			if t.State.Active() && t.Task == c.Task && c.Kind == commander.KindBatch {
				w.violate("job %s attempt %d starts on %s and runs on %s as attempt %d", c.Task, c.Attempt, f.name, o.name, t.Attempt)
			}
			if t.State.Active() && o == f {
				used = used.Add(t.Declared)
			}
			if !w.unseen && t.Task == c.Task && t.Attempt >= c.Attempt && c.Kind == commander.KindBatch {
				w.violate("job %s starts again with attempt %d after attempt %d", c.Task, c.Attempt, t.Attempt)
			}
		}
	}
	if !used.Fits(f.capacity) {
		w.violate("%s is over capacity: %+v", f.name, used)
	}
	f.tasks[key] = &fakeTask{
		TaskReport: commander.TaskReport{
			Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, Class: c.Class, Service: c.Service, State: commander.TaskRunning,
			Declared: c.Declared, LeaseEnd: c.LeaseEnd, Checkpoint: c.Checkpoint, Address: "127.0.0.1:80",
		},
		duration: c.Duration, began: time.Now(),
	}
}

// listed reports whether a journal shows the assignment.
func (w *world) listed(worker string, c commander.Command) bool {
	for key, e := range w.entries {
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

// fakeTransport is the workers as one host sees them.
type fakeTransport struct {
	w *world
	h *fakeHost
}

// call runs f at the worker. The answer may be lost.
func (t *fakeTransport) call(address netip.AddrPort, f func(*fakeWorker)) error {
	t.w.mutex.Lock()
	d := t.w.delay["workers"]
	t.w.mutex.Unlock()
	time.Sleep(d)
	t.w.resumed(t.h)
	t.w.mutex.Lock()
	defer t.w.mutex.Unlock()
	o := t.w.workers[address]
	if o == nil || t.w.cut[t.h.name+">"+o.name] {
		return fmt.Errorf("worker %s does not answer", address)
	}
	o.advance()
	f(o)
	if t.w.cut[o.name+">"+t.h.name] {
		return fmt.Errorf("worker %s does not answer", address)
	}
	return nil
}

func (t *fakeTransport) Fence(_ context.Context, a netip.AddrPort, epoch uint64, _ string) (m commander.FenceAnswer, err error) {
	err = t.call(a, func(o *fakeWorker) {
		m.Accepted = epoch >= o.epoch
		o.epoch = max(o.epoch, epoch)
		m.Epoch, m.Report = o.epoch, o.report()
	})
	return m, err
}

func (t *fakeTransport) Report(_ context.Context, a netip.AddrPort) (r commander.Report, err error) {
	err = t.call(a, func(o *fakeWorker) { r = o.report() })
	return r, err
}

func (t *fakeTransport) Apply(_ context.Context, a netip.AddrPort, epoch uint64, _ string, cs []commander.Command) (m commander.ApplyAnswer, err error) {
	err = t.call(a, func(o *fakeWorker) {
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

// configuration returns domains "a" and "b" with the given number of entry hosts and
// workers each; b resumes the jobs of a.
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

// submit asks the owner of the job's home shard.
func (w *world) submit(name string, duration time.Duration) (messenger.JobAnswer, bool) {
	w.mutex.Lock()
	hs := make([]*fakeHost, 0, len(w.hosts))
	for _, h := range w.hosts {
		if !h.paused {
			hs = append(hs, h)
		}
	}
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range hs {
		if a, err := h.p.Submit(ctx, scheduler.JobSpec{Name: name, Class: "repair", Duration: duration}); err == nil {
			return a, true
		}
	}
	return messenger.JobAnswer{}, false
}

// count returns the number of finished jobs.
func (w *world) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, o := range w.workers {
		o.advance()
	}
	return len(w.finished)
}

// cancel asks every host until one answers. The job is marked as cancelled only if the
// cancellation was acknowledged before the job finished.
func (w *world) cancel(name string) {
	w.mutex.Lock()
	hs := make([]*fakeHost, 0, len(w.hosts))
	for _, h := range w.hosts {
		if !h.paused {
			hs = append(hs, h)
		}
	}
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range hs {
		a, err := h.p.Cancel(ctx, name)
		if err == nil && a.Accepted && (a.Status.State == scheduler.JobCanceling || a.Status.State == scheduler.JobCancelled) {
			w.set(func() { w.cancelled[name] = true })
		}
	}
}
