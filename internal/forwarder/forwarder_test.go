package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeBackend is an HTTP backend server on plain TCP that counts how often each request
// ran and how many connections were opened.
type fakeBackend struct {
	listener          net.Listener
	group             sync.WaitGroup
	mutex             sync.Mutex
	executionsByID    map[string]int
	openedConnections int
}

// startBackend starts a backend server that passes each parsed request and its connection
// to answer. The connection is closed when answer returns false.
func startBackend(t *testing.T, answer func(c net.Conn, q *http.Request) bool) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{listener: l, executionsByID: make(map[string]int)}
	b.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mutex.Lock()
			b.openedConnections++
			b.mutex.Unlock()
			b.group.Go(func() { b.serveConnection(c, answer) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return b
}

func (b *fakeBackend) serveConnection(c net.Conn, answer func(c net.Conn, q *http.Request) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.executionsByID[q.Header.Get(headerRequest)]++
		b.mutex.Unlock()
		if !answer(c, q) {
			return
		}
	}
}

func (b *fakeBackend) executions(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.executionsByID[id]
}

func (b *fakeBackend) connections() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.openedConnections
}

// response formats a response that echoes the given identity and attempt.
func response(status int, id, attempt, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nPeridot-Request: %s\r\nPeridot-Attempt: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, id, attempt, extra, len(body), body)
}

// echo answers with the request's identity as body.
func echo(c net.Conn, q *http.Request) bool {
	id := q.Header.Get(headerRequest)
	_, err := c.Write([]byte(response(200, id, q.Header.Get(headerAttempt), "", "body of "+id)))
	return err == nil
}

func (b *fakeBackend) request(id, method string) Request {
	return Request{
		ID: id, Attempt: 1, Instance: "quotes-1", Address: b.listener.Addr().String(), Connections: 4,
		Method: method, Path: "/quote?size=3", Deadline: time.Now().Add(20 * time.Second),
	}
}

func newForwarder(t *testing.T) *Forwarder {
	f, stop := New()
	t.Cleanup(stop)
	return f
}

// Guards against a truncated or mismatched response that is returned to a caller, and against
// a second execution of the request after a lost, truncated or mismatched response.
func TestInvalidResponseIsUnknownAndRunsOnce(t *testing.T) {
	write := func(format func(id, attempt string) string, keep bool) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, q *http.Request) bool {
			if q.Header.Get(headerRequest) == "next" {
				return echo(c, q)
			}
			_, _ = c.Write([]byte(format(q.Header.Get(headerRequest), q.Header.Get(headerAttempt))))
			return keep
		}
	}
	cases := map[string]func(net.Conn, *http.Request) bool{
		"no response": write(func(string, string) string { return "" }, false),
		"another identity": write(func(_, attempt string) string {
			return response(200, "other", attempt, "", "body of other")
		}, true),
		"another attempt": write(func(id, _ string) string { return response(200, id, "2", "", "x") }, true),
		"identity twice": write(func(id, attempt string) string {
			return response(200, id, attempt, "Peridot-Request: other\r\n", "x")
		}, true),
		"not run, for another request": write(func(_, attempt string) string {
			return response(503, "other", attempt, "Peridot-Not-Run: true\r\n", "")
		}, true),
		"truncated body": write(func(id, attempt string) string {
			return response(200, id, attempt, "", "twelve bytes")[:len(response(200, id, attempt, "", "twelve bytes"))-6]
		}, false),
		"no Content-Length": write(func(id, attempt string) string {
			return "HTTP/1.1 200 X\r\nPeridot-Request: " + id + "\r\nPeridot-Attempt: " + attempt + "\r\n\r\ncut"
		}, false),
		"chunked": write(func(id, attempt string) string {
			return "HTTP/1.1 200 X\r\nPeridot-Request: " + id + "\r\nPeridot-Attempt: " + attempt +
				"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}, false),
	}
	for name, answer := range cases {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				b, f := startBackend(t, answer), newForwarder(t)
				result := f.Send(t.Context(), b.request("first", method))
				_, unknown := result.(Unknown)
				is.True(unknown)                   // the request may have run
				is.Equal(b.executions("first"), 1) // fasthttp did not repeat it
				next, answered := f.Send(t.Context(), b.request("next", method)).(Answered)
				is.True(answered)
				is.Equal(string(next.Body), "body of next")
				is.Equal(b.connections(), 2) // the first connection was closed
			})
		}
	}
}

// Guards against a late response that is taken as the answer to the next request on the
// same connection, and against a canceled request that still waits for the backend server.
func TestConnectionOfCanceledRequestIsNotReused(t *testing.T) {
	is := is.New(t)
	arrived, answer := make(chan struct{}), make(chan struct{})
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		if q.Header.Get(headerRequest) == "late" {
			close(arrived)
			<-answer
		}
		return echo(c, q)
	})
	f := newForwarder(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, unknown := f.Send(ctx, b.request("late", "POST")).(Unknown)
	is.True(unknown)
	close(answer)
	next, answered := f.Send(t.Context(), b.request("next", "POST")).(Answered)
	is.True(answered)
	is.Equal(string(next.Body), "body of next")
	is.Equal(b.executions("late"), 1)
	is.Equal(b.connections(), 2) // the connection of the canceled request was not reused
}

// Guards against a duplicate response that is taken as the answer to the next request. The
// duplicate arrives together with the first response, or later on the idle connection.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		t.Run(fmt.Sprint("delayed ", delayed), func(t *testing.T) {
			is := is.New(t)
			sendDuplicate := make(chan struct{})
			b := startBackend(t, func(c net.Conn, q *http.Request) bool {
				if q.Header.Get(headerRequest) != "first" {
					return echo(c, q)
				}
				single := response(200, "first", "1", "", "body of first")
				if !delayed {
					_, err := c.Write([]byte(single + single))
					return err == nil
				}
				echo(c, q)
				<-sendDuplicate
				return echo(c, q)
			})
			f := newForwarder(t)
			first, answered := f.Send(t.Context(), b.request("first", "POST")).(Answered)
			is.True(answered)
			is.Equal(string(first.Body), "body of first")
			close(sendDuplicate)
			if delayed {
				waitForIdleConnectionEvent(t, f)
			}
			next, answered := f.Send(t.Context(), b.request("next", "POST")).(Answered)
			is.True(answered)
			is.Equal(string(next.Body), "body of next")
			is.Equal(b.executions("next"), 1)
			is.Equal(b.connections(), 2)
		})
	}
}

// waitForIdleConnectionEvent waits until the idle connection has unread bytes or has been
// closed by the backend server.
func waitForIdleConnectionEvent(t *testing.T, f *Forwarder) {
	t.Helper()
	hostClient := f.instances["quotes-1"].hostClient
	cc, err := hostClient.AcquireConn(0, false)
	if err != nil {
		t.Fatal(err)
	}
	defer hostClient.ReleaseConn(cc)
	raw, err := cc.Conn().(*connection).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return err != syscall.EAGAIN // false waits until the connection is readable
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against an unknown outcome, or a second execution, when the backend server closes
// an idle connection between two requests.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		echo(c, q)
		return q.Header.Get(headerRequest) != "first"
	})
	f := newForwarder(t)
	_, answered := f.Send(t.Context(), b.request("first", "POST")).(Answered)
	is.True(answered)
	waitForIdleConnectionEvent(t, f)
	_, answered = f.Send(t.Context(), b.request("next", "POST")).(Answered)
	is.True(answered)
	is.Equal(b.executions("next"), 1)
	is.Equal(b.connections(), 2)
}

// Guards against NotRun after the first byte was written, unless the backend server
// rejected the request, and against Unknown when nothing was written.
func TestNotRunOnlyIfNothingSentOrRejected(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		_, err := c.Write([]byte(response(503, q.Header.Get(headerRequest), "1",
			"Peridot-Not-Run: true\r\nPeridot-Slots-Used: 8\r\n", "")))
		return err == nil
	})
	f := newForwarder(t)
	rejected, notRun := f.Send(t.Context(), b.request("full", "POST")).(NotRun)
	is.True(notRun)
	is.True(rejected.Rejected)
	is.Equal(rejected.SlotsUsed, 8)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, notRun = f.Send(ctx, b.request("cancelled", "POST")).(NotRun)
	is.True(notRun)
	is.Equal(b.executions("cancelled"), 0)

	q := b.request("no-path", "POST")
	q.Path = "@127.0.0.1:1/"
	_, notRun = f.Send(t.Context(), q).(NotRun)
	is.True(notRun)

	is.NoErr(b.listener.Close())
	q = b.request("refused", "POST")
	q.Instance = "quotes-2"
	refused, notRun := f.Send(t.Context(), q).(NotRun)
	is.True(notRun)
	is.True(!refused.Rejected)
	is.Equal(b.executions("refused"), 0)
}

// Guards against more connections to an instance, in use or idle, than this host may open.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	arrived, answer := make(chan struct{}, 2), make(chan struct{})
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		arrived <- struct{}{}
		<-answer
		return echo(c, q)
	})
	f := newForwarder(t)
	results := make(chan Result, 2)
	for i := range 2 {
		q := b.request(fmt.Sprint("q", i), "GET")
		q.Connections = 2
		go func() { results <- f.Send(t.Context(), q) }()
	}
	<-arrived
	<-arrived
	q := b.request("third", "GET")
	q.Connections = 2
	_, notRun := f.Send(t.Context(), q).(NotRun)
	is.True(notRun)
	f.SetInstances(map[string]int{"quotes-1": 1})
	close(answer)
	for range 2 {
		_, answered := (<-results).(Answered)
		is.True(answered)
	}
	is.True(f.instances["quotes-1"].hostClient.ConnsCount() <= 1) // 0 if both requests saw too many connections and closed theirs
	f.SetInstances(nil)
	is.Equal(len(f.instances), 0)
}

// Guards against hop-by-hop headers and headers of the entry hosts' protocol that are
// forwarded between caller and backend server, and against a changed path or body.
func TestForwardsRequestAndResponseUnchanged(t *testing.T) {
	is := is.New(t)
	received := make(chan *http.Request, 1)
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		received <- q
		_, err := c.Write([]byte(response(201, "q1", "1", "X-Coil: 7\r\nPeridot-Slots-Used: 5\r\n", "done")))
		return err == nil
	})
	f := newForwarder(t)
	q := b.request("q1", "PUT")
	q.Path = "//a/../b%20c?x=1"
	q.Body = []byte("payload")
	q.Headers = []Header{{"Accept", "text/plain"}, {"Peridot-Tenant", "band"}, {"Connection", "close"}}
	answer, answered := f.Send(t.Context(), q).(Answered)
	is.True(answered)
	is.Equal(answer.Status, 201)
	is.Equal(answer.SlotsUsed, 5)
	is.Equal(answer.Headers, []Header{{"X-Coil", "7"}})
	r := <-received
	is.Equal(r.RequestURI, "//a/../b%20c?x=1")
	is.Equal(r.Header.Get("Accept"), "text/plain")
	is.Equal(r.Header.Get("Peridot-Tenant"), "")
	is.Equal(r.Header.Get("Connection"), "")
	is.Equal(r.ContentLength, int64(7))
	is.True(r.Header.Get(headerDeadline) != "")
}
