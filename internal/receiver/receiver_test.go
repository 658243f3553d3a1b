package receiver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// handlerFunc implements Handler by a function.
type handlerFunc func(ctx context.Context, q Request) Outcome

func (f handlerFunc) Handle(ctx context.Context, q Request) Outcome { return f(ctx, q) }

// startReceiver starts a receiver and returns it with its base URL.
func startReceiver(t *testing.T, s Settings) (*Receiver, string) {
	t.Helper()
	r, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- r.Serve(l) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := r.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return r, "http://" + l.Addr().String()
}

func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		q.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(got)
}

// Guards against a request that reaches the handler with other contents than were sent, and
// against a request that refers to memory of fasthttp's pools, which the next request
// overwrites.
func TestHandlerReceivesRequestUnchanged(t *testing.T) {
	is := is.New(t)
	var received []Request
	_, url := startReceiver(t, Settings{Handler: handlerFunc(func(_ context.Context, q Request) Outcome {
		received = append(received, q)
		return Answered{Status: 201, Headers: []Header{{"X-Die", "9"}, {"Connection", "close"}}, Body: []byte("ok")}
	})})
	for range 2 {
		resp, body := send(t, "PUT", url+"/services/quotes/a%2Fb/../c?x=1&y", "payload",
			HeaderTenant, "band-1", HeaderClass, "urgent", HeaderTimeout, "800ms", HeaderRepeatable, "true", "X-Own", "1")
		is.Equal(resp.StatusCode, 201)
		is.Equal(body, "ok")
		is.Equal(resp.Header.Get("X-Die"), "9")
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeAnswered)
		is.Equal(resp.Header.Get(HeaderRequest), received[len(received)-1].ID)
	}
	q := received[0]
	is.True(q.ID != "" && q.ID != received[1].ID)
	is.Equal(q.Service, "quotes")
	is.Equal(q.Path, "/a%2Fb/../c?x=1&y")
	is.Equal(q.Method, "PUT")
	is.Equal(q.Tenant, "band-1")
	is.Equal(q.Class, ClassUrgent)
	is.True(q.Repeatable)
	is.Equal(string(q.Body), "payload")
	own := 0
	for _, h := range q.Headers {
		is.True(!strings.HasPrefix(h.Name, "Peridot-"))
		if h == (Header{"X-Own", "1"}) {
			own++
		}
	}
	is.Equal(own, 1)
}

// Guards against a malformed request that reaches the handler, or is refused without an
// error code.
func TestRefusesMalformedRequests(t *testing.T) {
	is := is.New(t)
	_, url := startReceiver(t, Settings{
		Services: func() []string { return []string{"quotes"} },
		Handler: handlerFunc(func(_ context.Context, q Request) Outcome {
			t.Errorf("handled: %+v", q)
			return Unknown{}
		}),
	})
	cases := []struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		{"/other", "", nil, 404, "not-found"},
		{"/services/", "", nil, 400, "bad-request"},
		{"/services/a%20b/x", "", nil, 400, "bad-request"},
		{"/services/nothing/x", "", nil, 404, "no-such-service"},
		{"/services/quotes/x", "", []string{HeaderClass, "fast"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderTimeout, "soon"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderTimeout, "31s"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderTimeout, "0s"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderRepeatable, "yes"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderTenant, "a b"}, 400, "bad-request"},
		{"/services/quotes/x", "", []string{HeaderTenant, "a", HeaderTenant, "b"}, 400, "bad-request"},
		{"/services/quotes/x", strings.Repeat("x", maxBodyBytes+1), nil, 413, "too-large"},
	}
	for _, c := range cases {
		resp, body := send(t, "POST", url+c.path, c.body, c.headers...)
		var got struct {
			Error struct{ Code, Message, Request string }
		}
		is.NoErr(json.Unmarshal([]byte(body), &got))
		is.Equal(resp.StatusCode, c.status) // status
		is.Equal(got.Error.Code, c.code)    // code
		is.True(got.Error.Message != "")
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	}
}

// Guards against a wrong status for an outcome, by which a caller decides whether to retry,
// and against wrong metrics.
func TestOutcomeSetsStatusAndMetrics(t *testing.T) {
	is := is.New(t)
	var next Outcome
	r, url := startReceiver(t, Settings{
		Handler: handlerFunc(func(context.Context, Request) Outcome { return next }),
		Tenants: func() []string { return []string{"band-1"} },
	})
	cases := []struct {
		outcome    Outcome
		status     int
		name       string
		retryAfter string
	}{
		{NotRun{Reason: "deadline", RetryAfter: 1100 * time.Millisecond}, 503, OutcomeNotRun, "2"},
		{NotRun{Reason: "tenant-quota", QuotaExceeded: true, RetryAfter: time.Second}, 429, OutcomeNotRun, "1"},
		{NotRun{Reason: "no instance"}, 503, OutcomeNotRun, ""},
		{Unknown{Reason: "closed"}, 504, OutcomeUnknown, ""},
		{Answered{Status: 503}, 503, OutcomeAnswered, ""},
	}
	for _, c := range cases {
		next = c.outcome
		resp, _ := send(t, "GET", url+"/services/quotes/x", "", HeaderTenant, "nobody")
		is.Equal(resp.StatusCode, c.status)
		is.Equal(resp.Header.Get(HeaderOutcome), c.name)
		is.Equal(resp.Header.Get("Retry-After"), c.retryAfter)
	}
	send(t, "GET", url+"/services/quotes/x", "", HeaderTenant, "band-1")
	_, text := send(t, "GET", url+"/metrics", "")
	for _, want := range []string{
		`peridotpitch_tenant_request_seconds_count{class="normal",tenant="band-1"} 1`,
		`peridotpitch_tenant_request_seconds_count{class="normal",tenant="other"} 5`,
		`peridotpitch_requests_total{class="normal",outcome="not-run",service="other"} 3`,
	} {
		is.True(strings.Contains(text, want)) // metrics
	}
	r.Drain()
	resp, body := send(t, "GET", url+"/ready", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(body, `{"Ready":false,"Reasons":["shutting down"]}`)
	resp, _ = send(t, "GET", url+"/live", "")
	is.Equal(resp.StatusCode, 200)
}

// Guards against a request that is never answered because the handler panics or ignores its
// context.
func TestFailedHandlerIsAnsweredAsUnknown(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	_, url := startReceiver(t, Settings{Handler: handlerFunc(func(_ context.Context, q Request) Outcome {
		if q.Path == "/panic" {
			panic("fault")
		}
		<-release
		return Answered{Status: 200}
	})})
	for _, path := range []string{"/panic", "/stuck"} {
		resp, _ := send(t, "GET", url+"/services/quotes"+path, "", HeaderTimeout, "10ms")
		is.Equal(resp.StatusCode, 504)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	}
}

// Guards against a shutdown that interrupts a request in flight (guarantee 8).
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	r, err := New(Settings{Handler: handlerFunc(func(context.Context, Request) Outcome {
		close(arrived)
		<-release
		return Answered{Status: 200, Body: []byte("whole")}
	})})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- r.Serve(l) }()
	answers := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String() + "/services/quotes/x")
		if err != nil {
			answers <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		answers <- string(body)
	}()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(context.Background()) }()
	is.NoErr(<-served) // the listener is closed
	select {
	case err := <-stopped:
		t.Fatalf("Shutdown returned %v before the request in flight ended", err)
	default:
	}
	close(release)
	is.Equal(<-answers, "whole")
	is.NoErr(<-stopped)
}
