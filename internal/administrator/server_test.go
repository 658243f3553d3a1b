package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// fakeBackend records the last call, as text, and returns err from every call.
type fakeBackend struct {
	last string
	err  error
}

func (b *fakeBackend) call(format string, args ...any) error {
	b.last = fmt.Sprintf(format, args...)
	return b.err
}

func (b *fakeBackend) ApplyConfiguration(_ context.Context, s publisher.Submission) (publisher.ApplyResult, error) {
	return publisher.ApplyResult{Diff: "d"}, b.call("apply %s %s %s %d %s", s.Text, s.Signature, s.Key, s.Replaces, s.AppliedBy)
}
func (b *fakeBackend) ShowConfiguration(context.Context) (ConfigurationView, error) {
	return ConfigurationView{Host: "h"}, b.call("show")
}
func (b *fakeBackend) ConfigurationHistory(_ context.Context, limit int) ([]configurator.Record, error) {
	return []configurator.Record{{Generation: 4}}, b.call("history %d", limit)
}
func (b *fakeBackend) SubmitJob(_ context.Context, s scheduler.JobSpec) (scheduler.JobStatus, error) {
	return scheduler.JobStatus{Spec: s}, b.call("submit %s %s %s %v", s.Name, s.Class, s.Team, s.Declared)
}
func (b *fakeBackend) CancelJob(_ context.Context, name string) (scheduler.JobStatus, error) {
	return scheduler.JobStatus{State: scheduler.JobCanceling}, b.call("cancel %s", name)
}
func (b *fakeBackend) ListJobs(_ context.Context, f JobFilter) ([]scheduler.JobStatus, error) {
	return []scheduler.JobStatus{{Attempt: 3}}, b.call("list %v", f)
}
func (b *fakeBackend) ShowJob(_ context.Context, name string) (scheduler.JobStatus, error) {
	return scheduler.JobStatus{Attempt: 2}, b.call("job %s", name)
}
func (b *fakeBackend) ListServices(context.Context) ([]ServiceStatus, error) {
	return []ServiceStatus{{Name: "quotes"}}, b.call("services")
}
func (b *fakeBackend) ShowService(_ context.Context, name string) (ServiceStatus, error) {
	return ServiceStatus{Name: name}, b.call("service %s", name)
}
func (b *fakeBackend) ListHosts(context.Context) ([]HostStatus, error) {
	return []HostStatus{{Name: "w1"}}, b.call("hosts")
}
func (b *fakeBackend) DrainHost(_ context.Context, host string, undo bool) error {
	return b.call("drain %s %v", host, undo)
}
func (b *fakeBackend) Explain(_ context.Context, id string) ([]messenger.ExplainAnswer, error) {
	return []messenger.ExplainAnswer{{Records: []string{"r"}}}, b.call("explain %s", id)
}
func (b *fakeBackend) Status(context.Context) (Status, error) {
	return Status{Host: "h", Uptime: time.Minute}, b.call("status")
}

// startServer serves b on a loopback address and returns a client of it.
func startServer(t *testing.T, b Backend) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(t.Context(), b)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return NewClient(l.Addr().(*net.TCPAddr).AddrPort(), 10*time.Second)
}

// Guards against a route that is missing, that calls the wrong method of the Backend, or
// that loses a field of the request or the answer.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{}
	c := startServer(t, b)
	ctx := t.Context()
	for _, k := range []struct {
		want   string // the recorded call of the backend and the client's answer
		answer func() (any, error)
	}{
		{"apply t s ana 3 me: d", func() (any, error) {
			a, err := c.ApplyConfiguration(ctx, publisher.Submission{Text: "t", Signature: []byte("s"), Key: "ana", Replaces: 3, AppliedBy: "me"})
			return a.Diff, err
		}},
		{"show: h", func() (any, error) { v, err := c.ShowConfiguration(ctx); return v.Host, err }},
		{"history 20: 4", func() (any, error) { v, err := c.ConfigurationHistory(ctx, 0); return v[0].Generation, err }},
		{"submit j dents schools {2 1000 0}: j", func() (any, error) {
			v, err := c.SubmitJob(ctx, scheduler.JobSpec{Name: "j", Class: "dents", Team: "schools", Declared: configurator.Resources{Cores: 2, Memory: 1000}})
			return v.Spec.Name, err
		}},
		{"cancel a job?&: canceling", func() (any, error) { v, err := c.CancelJob(ctx, "a job?&"); return v.State, err }},
		{"list {schools pending 7}: 3", func() (any, error) {
			v, err := c.ListJobs(ctx, JobFilter{Team: "schools", State: scheduler.JobPending, Limit: 7})
			return v[0].Attempt, err
		}},
		{"job a job?&: 2", func() (any, error) { v, err := c.ShowJob(ctx, "a job?&"); return v.Attempt, err }},
		{"services: quotes", func() (any, error) { v, err := c.ListServices(ctx); return v[0].Name, err }},
		{"service quotes: quotes", func() (any, error) { v, err := c.ShowService(ctx, "quotes"); return v.Name, err }},
		{"hosts: w1", func() (any, error) { v, err := c.ListHosts(ctx); return v[0].Name, err }},
		{"drain w1 false: <nil>", func() (any, error) { return nil, c.DrainHost(ctx, "w1", false) }},
		{"drain w1 true: <nil>", func() (any, error) { return nil, c.DrainHost(ctx, "w1", true) }},
		{"explain j: r", func() (any, error) { v, err := c.Explain(ctx, "j"); return v[0].Records[0], err }},
		{"status: 1m0s", func() (any, error) { v, err := c.Status(ctx); return v.Uptime, err }},
	} {
		answer, err := k.answer()
		is.NoErr(err)
		is.Equal(fmt.Sprintf("%s: %v", b.last, answer), k.want)
	}
}

// Guards against a backend error that reaches the client with the wrong code. Above all, an
// unknown outcome must not arrive as a failure without effect.
func TestErrorCodes(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{}
	c := startServer(t, b)
	faults := []configurator.Fault{{Line: 3, Section: "Measures", Key: "Latency", Problem: "p", Allowed: "a"}}
	for _, k := range []struct {
		err  error
		want Code
	}{
		{&Error{Code: CodeNotFound, Message: "no such job"}, CodeNotFound},
		{&configurator.RefusedError{Reason: configurator.RefusedInvalid, Invalid: &configurator.InvalidError{Faults: faults}}, CodeRefused},
		{&publisher.LostRaceError{AppliedBy: "ben", Diff: "d"}, CodeLostRace},
		{&publisher.NotAppliedError{Cause: context.DeadlineExceeded}, CodeUnavailable},
		{&publisher.UnknownOutcomeError{Cause: &storer.UnavailableError{}}, CodeUnknownOutcome},
		{&storer.UnavailableError{}, CodeUnavailable},
		{&storer.UnknownOutcomeError{}, CodeUnknownOutcome},
		{context.DeadlineExceeded, CodeUnknownOutcome},
		{errors.New("other"), CodeInternal},
	} {
		b.err = k.err
		_, err := c.ApplyConfiguration(t.Context(), publisher.Submission{})
		var got *Error
		is.True(errors.As(err, &got))
		is.Equal(got.Code, k.want)
		if k.want == CodeRefused {
			is.Equal(got.Faults, faults)
		}
		if k.want == CodeLostRace {
			is.Equal([]string{got.Winner, got.Diff}, []string{"ben", "d"})
		}
	}
}

// Guards against a request with a misspelt or missing part that is executed as a different
// request.
func TestBadRequests(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{}
	c := startServer(t, b)
	for _, k := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/admin/nothing", "", 404},
		{"GET", "/status", "", 404},
		{"GET", "/admin/config/apply", "", 400},
		{"POST", "/admin/config/apply", `{"Txt":"x"}`, 400},
		{"POST", "/admin/config/apply", `{} {}`, 400},
		{"POST", "/admin/job/submit", `{"Name":"j"}`, 400},
		{"POST", "/admin/job/submit", `{"Name":"j","Class":"c","Team":"t","Declared":{"Cores":-1}}`, 400},
		{"POST", "/admin/job/submit", `{"Name":"two words","Class":"c","Team":"t"}`, 400},
		{"POST", "/admin/job/cancel", `{}`, 400},
		{"GET", "/admin/job/list?state=lost", "", 400},
		{"GET", "/admin/job/list?limit=-1", "", 400},
		{"GET", "/admin/explain", "", 400},
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + c.address.String() + k.path)
		req.Header.SetMethod(k.method)
		req.SetBodyString(k.body)
		is.NoErr(fasthttp.DoTimeout(req, resp, 10*time.Second))
		is.Equal(resp.StatusCode(), k.want)
		var failure struct{ Error Error }
		is.NoErr(json.Unmarshal(resp.Body(), &failure))
		is.True(failure.Error.Message != "")
		is.Equal(b.last, "") // the backend was not called
	}
}

// Guards against a request whose answer was lost that is reported as not sent, and against
// a refused connection that is reported as sent.
func TestUnreachableErrorTellsWhetherSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	var unreachable *NoAnswerError
	err = NewClient(address, 10*time.Second).DrainHost(t.Context(), "w1", false)
	is.True(errors.As(err, &unreachable))
	is.True(unreachable.Sent)
	is.NoErr(l.Close())
	err = NewClient(address, 10*time.Second).DrainHost(t.Context(), "w1", false)
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.Sent)
}

func ExampleNoAnswerError() {
	err := &NoAnswerError{Address: netip.MustParseAddrPort("10.1.0.1:7300"), Sent: true, Cause: errors.New("connection closed")}
	fmt.Println(err)
	// Output: no answer from entry host 10.1.0.1:7300, the request may have taken effect: connection closed
}
