package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/readmitter"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// sharedStore is a store in memory that two hosts use. Its keys are set once.
type sharedStore struct {
	storer.TransactionalStore
	mu   sync.Mutex // guards keys
	keys map[string][]byte
	// commit, if set, is called before each transaction; an error is the transaction's.
	commit func(ctx context.Context) error
	term   uint64 // revision of keyTerm
}

func (s *sharedStore) Get(_ context.Context, key string) (storer.Entry, error) {
	if key == keyTerm {
		return storer.Entry{Key: key, Revision: s.term}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		return storer.Entry{Key: key}, nil
	}
	return storer.Entry{Key: key, Value: s.keys[key], Revision: 2}, nil
}

func (s *sharedStore) Commit(ctx context.Context, t storer.Transaction) (uint64, error) {
	if s.commit != nil {
		if err := s.commit(ctx); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		switch {
		case c.Key == keyTerm && c.Revision != s.term:
			return 0, &storer.ConflictError{Entries: []storer.Entry{{Key: keyTerm, Revision: s.term}}}
		case c.Key != keyTerm && s.keys[c.Key] != nil:
			return 0, &storer.ConflictError{Entries: []storer.Entry{{Key: c.Key, Revision: 2}}}
		}
	}
	for _, e := range t.Puts {
		s.keys[e.Key] = e.Value
	}
	return 2, nil
}

// stored returns the job that the store holds, or an empty one.
func (s *sharedStore) stored(is *is.I, id string) orchestrator.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.keys[prefixJob+id]
	if value == nil {
		return orchestrator.Job{}
	}
	j, err := orchestrator.DecodeJob(value)
	is.NoErr(err)
	return j
}

// forwardingPair is a leader, and a host that the store does not serve.
type forwardingPair struct {
	store       *sharedStore
	leader      *leadership
	host        *Coordinator
	hostStore   *silentStore
	hostLog     *bytes.Buffer
	leaderLog   *bytes.Buffer
	closeServer func()
}

// newForwardingPair connects the hosts in memory. In a bubble of testing/synctest, their timeouts do not depend on the
// speed of the machine: on a busy one, a connection over TCP took longer than pingTimeout.
func newForwardingPair(t *testing.T) *forwardingPair {
	t.Helper()
	is := is.New(t)
	f := &forwardingPair{store: &sharedStore{keys: make(map[string][]byte), term: 1}, hostStore: &silentStore{}, hostLog: &bytes.Buffer{}}
	f.leader, f.leaderLog = newTestLeadership(f.store)
	l := fasthttputil.NewInmemoryListener()
	ld := f.leader
	ld.apply(orchestrator.Inherited{})
	ld.loaded, ld.c.processID, ld.c.settings.Forwarding = true, "a/1", true
	ld.c.term, ld.c.termKnown = term{Host: "a", Process: "a/1", Address: "127.0.0.1:1", Revision: 1}, true
	// Whatever the test takes, the store has just served the leader.
	ld.c.lastStoreSuccess.Store(timekeeper.Now().Add(time.Minute).UnixNano())
	ld.lastConfirmedSent.Store(timekeeper.Now().Add(time.Minute).UnixNano())
	_, f.closeServer = messenger.NewMethodServer(l, ld.c.peerMethods(), slog.New(slog.DiscardHandler))
	t.Cleanup(f.closeServer)
	f.host = New(Settings{Name: "b", Forwarding: true}, Dependencies{Store: f.hostStore}, slog.New(slog.NewTextHandler(f.hostLog, nil)))
	t.Cleanup(f.host.closeClients)
	f.host.dialHost = func(context.Context, netip.AddrPort) (net.Conn, error) { return l.Dial() }
	f.host.term, f.host.termKnown = ld.c.term, true
	f.ping(is)
	f.host.recordStoreResult(&storer.UnavailableError{})
	f.host.lastStoreSuccess.Store(timekeeper.Now().Add(-minOutageSilence).UnixNano())
	return f
}

// ping makes the host ping the leader. The answer stays fresh for as long as the test takes.
func (f *forwardingPair) ping(is *is.I) {
	_, err := f.host.pingLeader(context.Background(), f.host.term)
	is.NoErr(err)
	f.host.lastLeaderPing.Load().sent = timekeeper.Now().Add(time.Minute)
}

func (f *forwardingPair) submit(id string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.host.Submit(ctx, orchestrator.Job{ID: id, Steps: []orchestrator.Step{{Count: 1}}, Policy: orchestrator.Policy{Queue: "q", Priority: 3}})
}

// The store does not serve one host. Guards against a submission that is refused there although the leader could
// store it, against a job without its policy and time of submission, and against a second job for a
// repetition at another host.
func TestLeaderStoresForwardedSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		begin := time.Now()
		is.Equal(f.submit("j1").Outcome, OutcomeDone)
		j := f.store.stored(is, "j1")
		is.Equal(j.Policy.Priority, 3)
		is.True(!j.Submitted.Before(begin.Round(0)) && !j.Submitted.After(time.Now()))
		is.Equal(j.Epoch, uint64(1))
		_, known, _ := f.leader.state("j1")
		is.True(known) // the leader need not find it in the store
		is.True(strings.Contains(f.hostLog.String(), "Forwarded=a"))
		is.True(strings.Contains(f.leaderLog.String(), "msg=SubmitForwarded Job=j1 From=b Outcome=done"))
		is.Equal(f.hostStore.commits, 0)

		is.Equal(f.submit("j1").Outcome, OutcomeDone)
		is.Equal(f.leader.c.Submit(context.Background(), orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}}).Outcome, OutcomeDone)
		is.Equal(f.store.stored(is, "j1"), j)
		is.Equal(len(f.store.keys), 1)
	})
}

// Guards against a message to the leader while forwarding is off, or while the leader is not known to store jobs.
func TestNothingIsForwarded(t *testing.T) {
	for name, prepare := range map[string]func(f *forwardingPair){
		"off":                        func(f *forwardingPair) { f.host.settings.Forwarding = false },
		"no answer to a ping":        func(f *forwardingPair) { f.host.lastLeaderPing.Store(nil) },
		"old answer to a ping":       func(f *forwardingPair) { f.host.lastLeaderPing.Load().sent = timekeeper.Now().Add(-maxLeaderPingAge) },
		"leader without the store":   func(f *forwardingPair) { f.host.lastLeaderPing.Load().answer.StoreSilence = maxForwardStoreSilence },
		"leader has not loaded":      func(f *forwardingPair) { f.host.lastLeaderPing.Load().answer.Loaded = false },
		"another process answers":    func(f *forwardingPair) { f.host.lastLeaderPing.Load().answer.Process = "a/2" },
		"64 submissions are waiting": func(f *forwardingPair) { fill(f.host.forwardSlots) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwardingPair(t)
				prepare(f)
				a := f.submit("j1")
				is.Equal(a.Outcome, OutcomeUnavailable)
				is.Equal(a.RetryAfter, time.Second)
				is.Equal(f.hostStore.commits, 0)
				is.Equal(f.leaderLog.Len(), 0)
				is.True(!strings.Contains(f.hostLog.String(), "Forwarded="))
			})
		})
	}
}

func fill(slots chan struct{}) {
	for range cap(slots) {
		slots <- struct{}{}
	}
}

// The leader can't store a forwarded submission. Guards against a refusal of a job that may be stored, and against an
// unknown outcome, which costs the caller time, of a job that certainly is not.
func TestForwardingFails(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *forwardingPair)
		want    Outcome
	}{
		{"the store refuses the leader", func(f *forwardingPair) {
			f.store.commit = func(context.Context) error { return &storer.UnavailableError{Reason: "status 503"} }
		}, OutcomeUnavailable},
		{"the leader has lost the store", func(f *forwardingPair) {
			f.store.commit = func(context.Context) error { return &storer.UnknownOutcomeError{} }
			f.leader.c.recordStoreResult(&storer.UnavailableError{})
		}, OutcomeUnavailable},
		{"the leader has been deposed and knows it", func(f *forwardingPair) { f.leader.deposed.Store(true) }, OutcomeUnavailable},
		{"the host that is asked does not lead", func(f *forwardingPair) { f.leader.c.leadership = nil }, OutcomeUnavailable},
		{"the leader hands over", func(f *forwardingPair) { f.leader.handingOver = true }, OutcomeUnavailable},
		{"the leader's process has ended", func(f *forwardingPair) {
			f.closeServer()
			f.host.closeClients()
			f.host.clients = make(map[netip.AddrPort]*messenger.Client)
		}, OutcomeUnavailable},
		{"the leader gets no answer from the store", func(f *forwardingPair) {
			f.store.commit = func(ctx context.Context) error { <-ctx.Done(); return &storer.UnknownOutcomeError{} }
		}, OutcomeUndecided},
		{"the handler of the call panics", func(f *forwardingPair) {
			f.store.commit = func(context.Context) error { panic("fault") }
		}, OutcomeUndecided},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwardingPair(t)
				c.prepare(f)
				begin := time.Now()
				a := f.submit("j1")
				is.Equal(a.Outcome, c.want)
				is.Equal(a.RetryAfter > 0, c.want == OutcomeUnavailable)
				is.True(time.Since(begin) <= maxForwardTime)
				is.Equal(f.hostStore.commits, 0)
				is.Equal(f.store.stored(is, "j1").ID, "")
			})
		})
	}
}

// The leader stores the job, and its answer arrives too late. Guards against a refusal of a job that exists, against
// two jobs after the repetition, and against a wait beyond the caller's time.
func TestAnswerOfLeaderIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		answered, stored := make(chan struct{}), make(chan struct{})
		f.store.commit = func(ctx context.Context) error {
			<-ctx.Done()
			<-answered
			defer close(stored)
			return nil
		}
		answer := sync.OnceFunc(func() { close(answered) })
		defer answer() // the server waits for the call also when the test fails
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		a := f.host.Submit(ctx, orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}})
		is.Equal(a.Outcome, OutcomeUndecided)
		is.NoErr(ctx.Err()) // the caller still hears it
		answer()
		<-stored
		f.store.commit = nil
		for f.store.stored(is, "j1").ID == "" {
			time.Sleep(time.Millisecond)
		}
		is.Equal(f.submit("j1"), Answer{Outcome: OutcomeDone, Reason: "it was accepted before"})
		is.Equal(len(f.store.keys), 1)
	})
}

// The leader answers no submission for a second, and hundreds of them arrive. Guards against memory and connections without
// bound, and against pings that wait for the submissions: the host would take the leader for dead.
func TestForwardedSubmissionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		var waiting, refused atomic.Int64
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		defer end() // the server waits for the calls also when the test fails
		f.store.commit = func(context.Context) error { waiting.Add(1); <-release; return nil }
		var all sync.WaitGroup
		for i := range 3 * maxForwardedSubmissions {
			all.Go(func() {
				j := orchestrator.Job{ID: fmt.Sprint(i), Steps: []orchestrator.Step{{Count: 1}}}
				if f.host.Submit(context.Background(), j).Outcome == OutcomeUnavailable {
					refused.Add(1)
				}
			})
		}
		synctest.Wait()
		is.Equal(refused.Load(), int64(2*maxForwardedSubmissions)) // at once
		is.True(waiting.Load() <= maxForwardedSubmissions)
		f.ping(is)
		end()
		all.Wait()
		is.Equal(refused.Load(), int64(2*maxForwardedSubmissions))
	})
}

// A third of the hosts lose the store and all forward at once, and the store is slow. Guards against jobs and calls to the
// store without bound at the leader, against a wait of those beyond the bound, and against a refusal of a job that is stored.
func TestForwardedSubmissionsOfAllHostsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		defer end()
		f.store.commit = func(context.Context) error { <-release; return nil }
		const refused = 50
		answers := make(map[string]submitAnswer)
		var mu sync.Mutex // guards answers
		var all sync.WaitGroup
		submit := func(id string) {
			j := orchestrator.Job{ID: id, Steps: []orchestrator.Step{{Count: 1}}}
			a, err := f.leader.c.serveSubmit(context.Background(), submitRequest{Host: "b", Job: j, Timeout: maxForwardTime})
			is.NoErr(err)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		}
		for i := range maxServedSubmissions + refused {
			all.Go(func() { submit(fmt.Sprint(i)) })
		}
		synctest.Wait()
		is.Equal(len(answers), refused) // at once: the others wait for the store
		for _, a := range answers {
			is.Equal(a.Outcome, OutcomeUnavailable)
			is.Equal(a.RetryAfter, time.Second)
		}
		end()
		all.Wait()
		for id, a := range answers {
			is.Equal(a.Outcome == OutcomeDone, f.store.stored(is, id).ID == id)
		}
		is.Equal(len(f.store.keys), maxServedSubmissions)
		submit("later")
		is.Equal(answers["later"].Outcome, OutcomeDone)
	})
}

// Another host was elected while the leader was late. Guards against a job that names the earlier term, which nobody
// would start until it is found in the store.
func TestDeposedLeaderStoresForwardedSubmissionUnderNewTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		f.store.term = 9
		is.Equal(f.submit("j1").Outcome, OutcomeDone)
		is.Equal(f.store.stored(is, "j1").Epoch, uint64(9))
		is.True(f.leader.deposed.Load())
		is.Equal(f.submit("j2").Outcome, OutcomeUnavailable) // it does not lead any more
	})
}

// unavailableStore refuses each call.
type unavailableStore struct {
	silentStore
	calls atomic.Int64
}

func (s *unavailableStore) Commit(context.Context, storer.Transaction) (uint64, error) {
	s.calls.Add(1)
	return 0, &storer.UnavailableError{Reason: "status 503"}
}

// The store fails during a submission. Guards against a refusal although the leader could store the job, and against a
// refusal of a job that this host may have stored.
func TestSubmissionIsForwardedAfterItsOwnFailure(t *testing.T) {
	for _, c := range []struct {
		store  storer.TransactionalStore
		leader bool // stores the job
		want   Outcome
	}{
		{&unavailableStore{}, true, OutcomeDone},
		{&unavailableStore{}, false, OutcomeUnavailable},
		{&silentStore{}, true, OutcomeDone},
		{&silentStore{}, false, OutcomeUndecided}, // its transaction may still be executed
	} {
		t.Run(fmt.Sprintf("%T, leader %t", c.store, c.leader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwardingPair(t)
				f.host.store = observedStore{TransactionalStore: c.store, onResult: f.host.recordStoreResult}
				f.host.recordStoreResult(nil)
				if !c.leader {
					f.store.commit = func(context.Context) error { return &storer.UnavailableError{Reason: "status 503"} }
				}
				is.Equal(f.submit("j1").Outcome, c.want)
				is.Equal(f.store.stored(is, "j1").ID != "", c.leader)
				if s, ok := c.store.(*silentStore); ok {
					is.Equal(s.reads, 0) // no second wait for a silent store
				}
			})
		})
	}
}

// Guards against refusals that all say the same during an outage, and against other answers than before while the setting is off.
func TestRetryAfterFollowsPriorityAndOutage(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a", StoreWriteRate: 40}, Dependencies{Store: &silentStore{}}, slog.New(slog.DiscardHandler))
	c.config.Store(&Configuration{Version: 1, Queues: []Queue{{Policy: orchestrator.Policy{Priority: 0}}, {Policy: orchestrator.Policy{Priority: 1}}}})
	c.recordStoreResult(&storer.UnavailableError{})
	c.lastStoreSuccess.Store(timekeeper.Now().Add(-2500 * time.Millisecond).UnixNano())
	told := func() map[int]map[time.Duration]int {
		by := map[int]map[time.Duration]int{0: {}, 1: {}}
		for i := range 60 {
			a := c.Submit(context.Background(), orchestrator.Job{ID: fmt.Sprintf("%016x", i), Steps: []orchestrator.Step{{Count: 1}}, Policy: orchestrator.Policy{Priority: i % 2}})
			is.Equal(a.Outcome, OutcomeUnavailable)
			by[i%2][a.RetryAfter]++
		}
		return by
	}
	by := told()
	is.True(len(by[0]) > 1 && len(by[1]) > 1)
	is.True(by[0][time.Second] > 0)
	is.Equal(by[1][time.Second], 0) // the first second is the urgent callers'

	// Other hosts could serve the callers: nothing is gained by a wait for the store of this one.
	c.settings.StoreWriteRate, c.returns.returns = 4000, readmitter.Returns{}
	c.lastStoreSuccess.Store(0)
	c.knownHosts.Store(400)
	c.lastLeaderPing.Store(&leaderPing{answer: pingAnswer{Leading: true, Loaded: true}, sent: timekeeper.Now().Add(time.Minute)})
	is.Equal(told(), map[int]map[time.Duration]int{0: {time.Second: 30}, 1: {2 * time.Second: 30}})
	c.lastLeaderPing.Store(nil)
	is.True(len(told()[0]) > 1)

	c.settings.StoreWriteRate = 0
	is.Equal(told(), map[int]map[time.Duration]int{0: {time.Second: 30}, 1: {time.Second: 30}})
}

// The leader is late: connections to it fail for a second, and it answers 600 ms late after that. Guards against a cancel that
// is acknowledged to its caller and of which the leader learns only by its own read of the store, which is late too: tasks of
// the job began 5 to 9 s after the acknowledgement.
func TestNoticeOfCancelReachesLateLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwardingPair(t)
		f.leader.apply(orchestrator.JobAccepted{Job: orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}}})
		f.host.closeClients()
		f.host.clients = make(map[netip.AddrPort]*messenger.Client)
		dial, late := f.host.dialHost, time.Now().Add(time.Second)
		f.host.dialHost = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			if time.Now().Before(late) {
				return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
			}
			c, err := dial(ctx, a)
			return &lateConn{Conn: c, delay: 600 * time.Millisecond}, err
		}
		f.host.notifyLeader(notice{Cancel: "j1"})
		time.Sleep(5 * time.Second)
		s, known, _ := f.leader.state("j1")
		is.True(known)
		is.Equal(s, orchestrator.StateCancelled)
	})
}

// lateConn is a connection whose answers arrive late.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.delay)
	return n, err
}
