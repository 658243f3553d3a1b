package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// fakeBackends is a Sender that calls a script instead of using the network.
type fakeBackends struct {
	mutex      sync.Mutex
	script     func(ctx context.Context, q forwarder.Request) (result forwarder.Result, ran bool)
	ran        map[string]int // executions by request
	written    map[string]int // attempts written at least in part, by request
	running    map[string]int // by instance
	maxRunning int            // highest number of attempts that ran at one instance at the same time
}

func backends(script func(ctx context.Context, q forwarder.Request) (forwarder.Result, bool)) *fakeBackends {
	return &fakeBackends{
		script: script, ran: make(map[string]int), written: make(map[string]int), running: make(map[string]int),
	}
}

func (b *fakeBackends) SetInstances(map[string]int) {}

func (b *fakeBackends) Send(ctx context.Context, q forwarder.Request) forwarder.Result {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	b.mutex.Lock()
	b.running[q.Instance]++
	b.maxRunning = max(b.maxRunning, b.running[q.Instance])
	b.mutex.Unlock()
	result, ran := b.script(ctx, q)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running[q.Instance]--
	if ran {
		b.ran[q.ID]++
	}
	if r, notRun := result.(forwarder.NotRun); !notRun || r.Rejected {
		b.written[q.ID]++
	}
	return result
}

// records is a Recorder that keeps all decisions.
type records struct {
	mutex sync.Mutex
	all   []Decision
}

func (r *records) Record(d Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = append(r.all, d)
}

func (r *records) count(kind DecisionKind, request string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, d := range r.all {
		if d.Kind == kind && (request == "" || d.Request == request) {
			n++
		}
	}
	return n
}

const testSlots = 4

// endpoints returns n instances. With one entry host, the base share is 3 slots of each.
func endpoints(n int) []messenger.Endpoint {
	var es []messenger.Endpoint
	for i := range n {
		es = append(es, messenger.Endpoint{
			Instance: fmt.Sprintf("quotes-%d", i), Service: "quotes", Address: "127.0.0.1:1",
			Slots: testSlots, Connections: 64,
		})
	}
	return es
}

func dispatcher(t *testing.T, n int, s Sender, o Overflow) (*Dispatcher, *records) {
	t.Helper()
	r := &records{}
	d, stop := New(Settings{
		Router: router.New(router.Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 2))),
		Limiter: limiter.New(limiter.Settings{
			Limits: configurator.LimitFair, Retries: configurator.RetryBudget,
		}),
		Sender: s, Overflow: o, Recorder: r,
	})
	t.Cleanup(stop)
	d.Update(endpoints(n), router.Membership{Hosts: 1, Settled: true})
	return d, r
}

func request(id string, repeatable bool, timeout time.Duration) receiver.Request {
	return receiver.Request{
		ID: id, Service: "quotes", Method: "POST", Path: "/", Class: receiver.ClassNormal,
		Repeatable: repeatable, Deadline: time.Now().Add(timeout),
	}
}

// randomFaults returns a script that derives the result of each attempt from the seed, the
// request and the attempt, so that it does not depend on the order of goroutines.
func randomFaults(seed uint64) func(context.Context, forwarder.Request) (forwarder.Result, bool) {
	return func(ctx context.Context, q forwarder.Request) (forwarder.Result, bool) {
		var n uint64
		_, _ = fmt.Sscanf(q.ID, "q%d", &n)
		random := rand.New(rand.NewPCG(seed, n*8+uint64(q.Attempt)))
		wait := func(d time.Duration) bool {
			select {
			case <-time.After(d):
				return true
			case <-ctx.Done():
				return false
			}
		}
		kind := random.IntN(10)
		took := time.Duration(1+random.IntN(20)) * time.Millisecond
		switch {
		case kind == 0:
			return forwarder.NotRun{Reason: "connection refused", SlotsUsed: -1}, false
		case kind == 1 && wait(took):
			return forwarder.NotRun{Reason: "rejected", Rejected: true, SlotsUsed: 4}, false
		case kind == 2 && wait(took):
			return forwarder.Unknown{Reason: "connection closed"}, true
		case kind == 3 && wait(took):
			return forwarder.Unknown{Reason: "connection closed"}, false
		case kind == 4:
			wait(time.Hour)
			return forwarder.Unknown{Reason: "deadline"}, true
		case kind > 4 && wait(took):
			return forwarder.Answered{Status: 200, Body: []byte(q.ID), SlotsUsed: -1}, true
		default:
			return forwarder.Unknown{Reason: "deadline"}, true
		}
	}
}

// Guards against violations of guarantees 4 to 6 by the dispatcher, with random faults at
// every attempt: a caller gets the response to its own request, "not run" means zero
// executions, and a request that is not repeatable runs at most once. Also guards against
// more requests at an instance than it has slots, and against a request without a final
// outcome at its deadline.
func TestOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := backends(randomFaults(seed))
			d, r := dispatcher(t, 3, b, nil)
			const count = 300
			outcomes := make([]receiver.Outcome, count)
			var group sync.WaitGroup
			for i := range count {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 2 * time.Millisecond)
					q := request(fmt.Sprintf("q%d", i), i%2 == 0, 100*time.Millisecond)
					outcomes[i] = d.Handle(t.Context(), q)
					if time.Now().After(q.Deadline) {
						t.Errorf("seed %d: request %s ended %v after its deadline", seed, q.ID, time.Since(q.Deadline))
					}
				})
			}
			group.Wait()
			for i, o := range outcomes {
				id := fmt.Sprintf("q%d", i)
				switch o := o.(type) {
				case receiver.Answered:
					is.Equal(string(o.Body), id)
				case receiver.NotRun:
					if b.ran[id] != 0 {
						t.Errorf("seed %d: request %s ran %d times, but its outcome is not-run: %s", seed, id, b.ran[id], o.Reason)
					}
				}
				if i%2 == 1 && (b.ran[id] > 1 || b.written[id] > 1) {
					t.Errorf("seed %d: request %s is not repeatable, but ran %d times and was written %d times", seed, id, b.ran[id], b.written[id])
				}
			}
			is.True(b.maxRunning <= testSlots-1) // the base share of one host
			is.True(r.count(DecisionRetry, "") > 0)
			time.Sleep(time.Second) // until the slots of abandoned requests are free
			is.Equal(d.Free()["quotes"], 3*(testSlots-1))
		})
	}
}

// Guards against retries multiplying the load when every attempt fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := backends(func(_ context.Context, _ forwarder.Request) (forwarder.Result, bool) {
			time.Sleep(time.Millisecond)
			return forwarder.Unknown{Reason: "closed"}, true
		})
		d, _ := dispatcher(t, 6, b, nil)
		const count = 400
		for i := range count {
			d.Handle(t.Context(), request(fmt.Sprint("q", i), true, time.Second))
			time.Sleep(200 * time.Millisecond) // until the slots of abandoned requests are free
		}
		sent := 0
		for _, n := range b.written {
			sent += n
		}
		is.True(sent > count)           // some retries
		is.True(sent <= count+count/10) // at most 10%
	})
}

// Guards against a retry at the instance that has just failed the same request, and
// against retries that are not recorded.
func TestRetryGoesToAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var instances []string
		fail := false
		b := backends(func(_ context.Context, q forwarder.Request) (forwarder.Result, bool) {
			instances = append(instances, q.Instance)
			if fail && q.Attempt == 1 {
				return forwarder.NotRun{Reason: "connection refused", SlotsUsed: -1}, false
			}
			return forwarder.Answered{Status: 200, SlotsUsed: -1}, true
		})
		d, r := dispatcher(t, 2, b, nil)
		for i := range 10 { // accumulate the budget for one retry
			d.Handle(t.Context(), request(fmt.Sprint("q", i), true, time.Second))
		}
		fail, instances = true, nil
		_, answered := d.Handle(t.Context(), request("again", false, time.Second)).(receiver.Answered)
		is.True(answered)
		is.Equal(len(instances), 2)
		is.True(instances[0] != instances[1])
		is.Equal(r.count(DecisionRoute, "again"), 2)
		is.Equal(r.count(DecisionRetry, "again"), 1)
		_, notRun := d.Handle(t.Context(), request("budget", false, time.Second)).(receiver.NotRun)
		is.True(notRun)
		is.Equal(r.count(DecisionRetry, "budget"), 1) // a refused retry is recorded, too
	})
}

// Guards against a canceled request that stays queued or whose slot is never returned.
func TestCanceledWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		b := backends(func(_ context.Context, _ forwarder.Request) (forwarder.Result, bool) {
			<-release
			return forwarder.Answered{Status: 200, SlotsUsed: -1}, true
		})
		d, r := dispatcher(t, 1, b, nil)
		var group sync.WaitGroup
		for i := range testSlots - 1 {
			group.Go(func() { d.Handle(t.Context(), request(fmt.Sprint("q", i), false, 10*time.Second)) })
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan receiver.Outcome, 1)
		go func() { done <- d.Handle(ctx, request("gone", false, 10*time.Second)) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		o, notRun := (<-done).(receiver.NotRun)
		is.True(notRun)
		is.True(strings.Contains(o.Reason, "given up"))
		is.Equal(r.count(DecisionRefuse, "gone"), 1)
		started := time.Now()
		_, notRun = d.Handle(t.Context(), request("late", false, 50*time.Millisecond)).(receiver.NotRun)
		is.True(notRun)
		is.True(time.Since(started) <= 50*time.Millisecond)
		close(release)
		group.Wait()
		is.Equal(b.ran["gone"]+b.ran["late"], 0)
		is.Equal(d.settings.Limiter.Queued("quotes"), 0)
		is.Equal(d.Free()["quotes"], testSlots-1)
	})
}

// Guards against reuse of a slot while an abandoned request may still run in it.
func TestAbandonedSlotStaysUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := backends(func(context.Context, forwarder.Request) (forwarder.Result, bool) {
			return forwarder.Unknown{Reason: "closed"}, true
		})
		d, _ := dispatcher(t, 1, b, nil)
		d.Handle(t.Context(), request("q1", false, time.Second))
		time.Sleep(time.Second + router.AbandonMargin - time.Millisecond)
		is.Equal(d.Free()["quotes"], testSlots-2)
		time.Sleep(2 * time.Millisecond)
		is.Equal(d.Free()["quotes"], testSlots-1)
	})
}

// fakeOverflow is an Overflow that calls a function.
type fakeOverflow struct {
	forward func(m messenger.ForwardRequest) (messenger.ForwardAnswer, bool, error)
	calls   int
}

func (o *fakeOverflow) Target(string) (string, bool) { return "malolos-1", true }

func (o *fakeOverflow) Forward(_ context.Context, _ string, m messenger.ForwardRequest) (messenger.ForwardAnswer, bool, error) {
	o.calls++
	return o.forward(m)
}

// Guards against a request that is forwarded more than once, or whose outcome is "not
// run" although another entry host may have run it.
func TestForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		never := backends(func(context.Context, forwarder.Request) (forwarder.Result, bool) {
			t.Error("a request was sent although there is no instance")
			return forwarder.Unknown{}, true
		})
		var answer messenger.ForwardAnswer
		var sent bool
		var err error
		o := &fakeOverflow{forward: func(m messenger.ForwardRequest) (messenger.ForwardAnswer, bool, error) {
			answer.Request = m.Request
			return answer, sent, err
		}}
		d, r := dispatcher(t, 0, never, o)
		handle := func(id string) receiver.Outcome {
			return d.Handle(t.Context(), request(id, false, 50*time.Millisecond))
		}
		answer, sent = messenger.ForwardAnswer{Outcome: OutcomeAnswered, Status: 200, Body: []byte("x")}, true
		_, answered := handle("a").(receiver.Answered)
		is.True(answered)
		is.Equal(r.count(DecisionForward, "a"), 1)
		answer = messenger.ForwardAnswer{Outcome: "garbled"}
		_, unknown := handle("b").(receiver.Unknown)
		is.True(unknown)
		err = errors.New("connection reset")
		_, unknown = handle("c").(receiver.Unknown)
		is.True(unknown)
		sent = false
		_, notRun := handle("d").(receiver.NotRun) // not sent, and no local instance
		is.True(notRun)
		is.Equal(o.calls, 4)
		a := d.HandleForwarded(t.Context(), messenger.ForwardRequest{Request: "e", Service: "quotes", Timeout: 50 * time.Millisecond})
		is.Equal(a.Outcome, OutcomeNotRun)
		is.Equal(o.calls, 4) // not forwarded again
	})
}

// Guards against a request running twice because its forward message is delivered twice.
func TestForwardedTwiceRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := backends(func(context.Context, forwarder.Request) (forwarder.Result, bool) {
			return forwarder.Answered{Status: 200, SlotsUsed: -1}, true
		})
		d, _ := dispatcher(t, 2, b, nil)
		m := messenger.ForwardRequest{Request: "e", Service: "quotes", Timeout: time.Second, Headers: map[string]string{"A": "b"}}
		is.Equal(d.HandleForwarded(t.Context(), m).Outcome, OutcomeAnswered)
		is.Equal(d.HandleForwarded(t.Context(), m).Outcome, OutcomeUnknown)
		is.Equal(b.ran["e"], 1)
	})
}
