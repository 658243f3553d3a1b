package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
)

// maxAnswerBytes bounds the body of an answer. A list of 16,000 jobs takes about 8 MB.
const maxAnswerBytes = 64 << 20

// NoAnswerError reports that no usable answer arrived. If Sent is true, a request that changes
// state may have taken effect.
type NoAnswerError struct {
	Address netip.AddrPort
	Sent    bool
	Cause   error
}

func (e *NoAnswerError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from entry host %s, the request may have taken effect: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("entry host %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Client sends operators' requests to one entry host. Its methods are those of Backend;
// their errors are of type *Error or *NoAnswerError. It never retries a request. It is
// safe for concurrent use.
type Client struct {
	address netip.AddrPort
	timeout time.Duration
}

// NewClient returns a client of the entry host with the given AdminAddress. timeout
// bounds each request.
func NewClient(address netip.AddrPort, timeout time.Duration) *Client {
	return &Client{address: address, timeout: timeout}
}

// ApplyConfiguration submits a configuration.
func (c *Client) ApplyConfiguration(ctx context.Context, s publisher.Submission) (publisher.ApplyResult, error) {
	return call[publisher.ApplyResult](ctx, c, fasthttp.MethodPost, "config/apply", nil, s)
}

// ShowConfiguration returns the configuration in effect.
func (c *Client) ShowConfiguration(ctx context.Context) (ConfigurationView, error) {
	return call[ConfigurationView](ctx, c, fasthttp.MethodGet, "config/show", nil, nil)
}

// ConfigurationHistory returns up to limit records, newest first.
func (c *Client) ConfigurationHistory(ctx context.Context, limit int) ([]configurator.Record, error) {
	return call[[]configurator.Record](ctx, c, fasthttp.MethodGet, "config/history",
		url.Values{"limit": {strconv.Itoa(limit)}}, nil)
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, spec scheduler.JobSpec) (scheduler.JobStatus, error) {
	return call[scheduler.JobStatus](ctx, c, fasthttp.MethodPost, "job/submit", nil, spec)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, name string) (scheduler.JobStatus, error) {
	return call[scheduler.JobStatus](ctx, c, fasthttp.MethodPost, "job/cancel", nil, nameBody{Name: name})
}

// ListJobs returns the jobs that match f.
func (c *Client) ListJobs(ctx context.Context, f JobFilter) ([]scheduler.JobStatus, error) {
	return call[[]scheduler.JobStatus](ctx, c, fasthttp.MethodGet, "job/list",
		url.Values{"team": {f.Team}, "state": {string(f.State)}, "limit": {strconv.Itoa(f.Limit)}}, nil)
}

// ShowJob returns one job.
func (c *Client) ShowJob(ctx context.Context, name string) (scheduler.JobStatus, error) {
	return call[scheduler.JobStatus](ctx, c, fasthttp.MethodGet, "job/show", url.Values{"name": {name}}, nil)
}

// ListServices returns all services.
func (c *Client) ListServices(ctx context.Context) ([]ServiceStatus, error) {
	return call[[]ServiceStatus](ctx, c, fasthttp.MethodGet, "service/list", nil, nil)
}

// ShowService returns one service.
func (c *Client) ShowService(ctx context.Context, name string) (ServiceStatus, error) {
	return call[ServiceStatus](ctx, c, fasthttp.MethodGet, "service/show", url.Values{"name": {name}}, nil)
}

// ListHosts returns the entry hosts and workers.
func (c *Client) ListHosts(ctx context.Context) ([]HostStatus, error) {
	return call[[]HostStatus](ctx, c, fasthttp.MethodGet, "host/list", nil, nil)
}

// DrainHost drains a host, or returns it to service if undo is set.
func (c *Client) DrainHost(ctx context.Context, host string, undo bool) error {
	path := "host/drain"
	if undo {
		path = "host/undrain"
	}
	_, err := call[struct{}](ctx, c, fasthttp.MethodPost, path, nil, nameBody{Name: host})
	return err
}

// Explain returns the decision records about a job, task or request.
func (c *Client) Explain(ctx context.Context, id string) ([]messenger.ExplainAnswer, error) {
	return call[[]messenger.ExplainAnswer](ctx, c, fasthttp.MethodGet, "explain", url.Values{"id": {id}}, nil)
}

// Status summarizes the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, fasthttp.MethodGet, "status", nil, nil)
}

func call[T any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (T, error) {
	var answer T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: c.address.String(), Path: "/admin/" + path, RawQuery: query.Encode()}
	req.SetRequestURI(u.String())
	req.Header.SetMethod(method)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return answer, &NoAnswerError{Address: c.address, Cause: err}
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := c.do(ctx, req, resp); err != nil {
		return answer, err
	}
	return decodeAnswer[T](c, resp)
}

// do sends req once, over a new connection. It does not use fasthttp's clients because they
// retry requests, and a retried submission could hide that the first attempt took effect.
func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return &NoAnswerError{Address: c.address, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return &NoAnswerError{Address: c.address, Cause: err}
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	if err := roundTrip(connection, req, resp); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err() // the connection was closed because ctx ended
		}
		return &NoAnswerError{Address: c.address, Sent: true, Cause: err}
	}
	return nil
}

func decodeAnswer[T any](c *Client, resp *fasthttp.Response) (T, error) {
	var answer T
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), &answer); err != nil {
			return answer, &NoAnswerError{Address: c.address, Sent: true, Cause: err}
		}
		return answer, nil
	}
	var failure struct{ Error *Error }
	decoder := json.NewDecoder(bytes.NewReader(resp.Body()))
	if err := decoder.Decode(&failure); err != nil || failure.Error == nil {
		return answer, &NoAnswerError{Address: c.address, Sent: true,
			Cause: fmt.Errorf("status %d without a readable error", resp.StatusCode())}
	}
	return answer, failure.Error
}
