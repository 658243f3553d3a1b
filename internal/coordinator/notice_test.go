package coordinator

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
)

// Addresses of the hosts in tests of notices.
const (
	formerAddress = "127.0.0.1:1"
	nextAddress   = "127.0.0.1:2"
)

// electedStore serves the term only.
type electedStore struct {
	storer.TransactionalStore
	term  *atomic.Pointer[storer.Entry]
	reads *atomic.Int64
}

func newElectedStore() electedStore {
	s := electedStore{term: new(atomic.Pointer[storer.Entry]), reads: new(atomic.Int64)}
	s.term.Store(&storer.Entry{Key: keyTerm})
	return s
}

func (s electedStore) Get(context.Context, string) (storer.Entry, error) {
	s.reads.Add(1)
	return *s.term.Load(), nil
}

// elect makes a host the leader by a term of the given revision.
func (s electedStore) elect(is *is.I, t term, revision uint64) {
	value, err := msgpack.Marshal(&t)
	is.NoErr(err)
	s.term.Store(&storer.Entry{Key: keyTerm, Value: value, Revision: revision})
}

// noticePair is a host that has stored a request to cancel, and two others, of which the first leads no longer and the second
// is elected later.
type noticePair struct {
	host         *Coordinator
	hostLog      *bytes.Buffer
	store        electedStore
	former, next *leadership
	notices      *atomic.Int64 // that have come to the former leader
}

// newNoticePair connects the hosts in memory. It must be called in a bubble of testing/synctest.
func newNoticePair(t *testing.T) noticePair {
	t.Helper()
	p := noticePair{hostLog: &bytes.Buffer{}, store: newElectedStore(), notices: new(atomic.Int64)}
	p.former, _ = newTestLeadership(nil)
	p.next, _ = newTestLeadership(nil)
	p.next.term.Revision = 9
	listeners := make(map[string]*fasthttputil.InmemoryListener)
	for address, ld := range map[string]*leadership{formerAddress: p.former, nextAddress: p.next} {
		ld.apply(orchestrator.Inherited{})
		ld.loaded = true
		methods := ld.c.peerMethods()
		if ld == p.former {
			serve := methods[methodNotice]
			methods[methodNotice] = func(ctx context.Context, s drpc.Stream) error {
				p.notices.Add(1)
				return serve(ctx, s)
			}
		}
		l := fasthttputil.NewInmemoryListener()
		_, closeServer := messenger.NewMethodServer(l, methods, slog.New(slog.DiscardHandler))
		t.Cleanup(closeServer)
		listeners[address] = l
	}
	p.next.apply(orchestrator.JobAccepted{Job: orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}}})
	p.host = New(Settings{Name: "b"}, Dependencies{Store: p.store}, slog.New(slog.NewTextHandler(p.hostLog, nil)))
	t.Cleanup(p.host.closeClients)
	p.host.dialHost = func(_ context.Context, a netip.AddrPort) (net.Conn, error) {
		if l := listeners[a.String()]; l != nil {
			return l.Dial()
		}
		return nil, syscall.ECONNREFUSED
	}
	p.host.term, p.host.termKnown = term{Host: "a", Process: "a/1", Address: formerAddress, Revision: 1}, true
	return p
}

// endings are the ways in which a host still has a leadership, or none, that does nothing with a notice.
var endings = map[string]func(ld *leadership){
	"another host was elected": func(ld *leadership) { ld.deposed.Store(true) },
	"the scheduler panicked":   func(ld *leadership) { ld.failed = true },
	"it hands over":            func(ld *leadership) { ld.handingOver = true },
	"it does not lead":         func(ld *leadership) { ld.c.leadership = nil },
}

// electNext makes the second host the leader after the first notice, and returns whether the job is cancelled there in time.
// It waits until the last notice has been sent.
func (p noticePair) electNext(is *is.I) bool {
	defer synctest.Wait()
	defer time.Sleep(time.Minute)
	time.Sleep(250 * time.Millisecond)
	p.store.elect(is, term{Host: "c", Process: "c/1", Address: nextAddress}, 9)
	time.Sleep(inputPollInterval) // the poll of the inputs would need as long
	state, _, _ := p.next.state("j1")
	return state == orchestrator.StateCancelled
}

// The host that gets the notice of a request to cancel does not lead, or not for much longer. Guards against a notice that
// counts as delivered although nobody has taken it: the next leader heard of the request only by its poll of the inputs.
func TestNoticeThatNobodyTakesIsRepeatedAtNextLeader(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newNoticePair(t)
				end(p.former)
				p.host.notifyLeader(notice{Cancel: "j1"})
				is.True(p.electNext(is))
				log := p.hostLog.String()
				is.True(strings.Contains(log, `Outcome="not taken" Try=1`))
				is.True(strings.Contains(log, "Outcome=delivered"))
			})
		})
	}
}

// The host that has stored a request to cancel has a leadership itself that is about to end. Guards against a notice that this
// leadership ignores and that no other leader gets.
func TestNoticeIsSentToNextLeaderByFormerOne(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newNoticePair(t)
				own, _ := newTestLeadership(nil)
				own.apply(orchestrator.Inherited{})
				own.c = p.host
				p.host.leadership, p.host.processID = own, "b/1"
				p.host.term = term{Host: "b", Process: "b/1", Address: "127.0.0.1:3", Revision: 1}
				end(own)
				p.host.notifyLeader(notice{Cancel: "j1"})
				is.True(p.electNext(is))
			})
		})
	}
}

// Nobody is elected. Guards against a notice that is repeated for ever, and against reads of the term without a bound, since
// all hosts share the store's rate of reads.
func TestTriesOfNoticeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newNoticePair(t)
		p.former.deposed.Store(true)
		p.host.notifyLeader(notice{Cancel: "j1"})
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(p.notices.Load(), int64(cancelNoticeTries))
		is.True(p.store.reads.Load() <= cancelNoticeTries)
		is.Equal(strings.Count(p.hostLog.String(), `Outcome="not taken"`), cancelNoticeTries)
	})
}

// The build before answers each notice with an empty message and reads the answer as one. Guards against a notice that one of
// two builds takes and that the other repeats, and against an answer that the build before can't read.
func TestAnswersToNoticesOfBuildBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newNoticePair(t)
		l := fasthttputil.NewInmemoryListener()
		var got atomic.Int64
		_, closeServer := messenger.NewMethodServer(l, map[string]messenger.Method{
			methodNotice: messenger.NewMethod(func(context.Context, notice) (struct{}, error) { got.Add(1); return struct{}{}, nil }),
		}, slog.New(slog.DiscardHandler))
		defer closeServer()
		dial := p.host.dialHost
		p.host.dialHost = func(context.Context, netip.AddrPort) (net.Conn, error) { return l.Dial() }
		p.host.notifyLeader(notice{Cancel: "j1"})
		time.Sleep(time.Minute)
		is.Equal(got.Load(), int64(1))
		p.former.deposed.Store(true)
		before := New(Settings{Name: "d"}, Dependencies{}, slog.New(slog.DiscardHandler))
		defer before.closeClients()
		before.dialHost = dial
		is.NoErr(before.client(netip.MustParseAddrPort(formerAddress)).Invoke(t.Context(), noticeTimeout, methodNotice, &notice{Cancel: "j1"}, &struct{}{}))
	})
}

// Another host has been elected just before a request to cancel is stored, and neither the host that stores it nor the former
// leader knows. Guards against a notice that only the former leader takes: the next one heard of the request by its poll of the
// inputs only if it had read them before, and tasks began up to 3.8 s after the acknowledgement while reads were late.
func TestCancelIsToldToLeaderElectedJustBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newNoticePair(t)
		store := newDelayedStore(8 * time.Millisecond)
		value, err := msgpack.Marshal(&term{Host: "c", Process: "c/1", Address: nextAddress})
		is.NoErr(err)
		store.revision = 9
		store.entries[keyTerm] = storer.Entry{Key: keyTerm, Value: value, Revision: 9}
		store.entries[prefixJob+"j1"] = storer.Entry{Key: prefixJob + "j1", Revision: 5}
		p.host.store = store
		is.Equal(p.host.Cancel(t.Context(), "j1").Outcome, OutcomeDone)
		time.Sleep(100 * time.Millisecond)
		state, _, _ := p.next.state("j1")
		is.Equal(state, orchestrator.StateCancelled)
	})
}
