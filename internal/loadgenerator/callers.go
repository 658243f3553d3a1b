package loadgenerator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/converter"
	"peridotpitch/internal/emulator"
)

// Bounds of a run.
const (
	MaxCount    = 1_000_000
	MaxDuration = 10 * time.Minute
	// DefaultMaxInFlight limits the number of requests in flight and with it the memory of the
	// load generator. Requests beyond the limit are not sent and get the outcome Surplus.
	DefaultMaxInFlight = 2000
	// answerGracePeriod is how long the load generator waits for an answer after a request's
	// timeout. When it has passed, an entry host must have answered with the final outcome.
	answerGracePeriod = 2 * time.Second
	dialTimeout       = time.Second
	// readinessTimeout is the timeout of one GET /ready.
	readinessTimeout = time.Second
)

// CallerOptions configures a run of callers. The run ends after Count requests or after
// Duration, whichever is first. A Count of 0 means MaxCount, a Duration of 0 MaxDuration.
type CallerOptions struct {
	Entries           []netip.AddrPort // caller addresses of entry hosts, used round-robin
	Rate              float64          // requests per second
	Count             int
	Duration          time.Duration
	Services          Mix
	Tenants           Mix
	Classes           Mix     // urgent and normal
	Repeatable        float64 // share of requests that may be repeated
	Timeout           time.Duration
	BodyBytes         int // size of a request's body
	MaxInFlight       int
	ReadinessInterval time.Duration // if above 0, the interval of GET /ready; hosts that are not ready get no requests, as with the platform's load balancer
	Run               string        // prefix of the tokens; must be unique among the runs against the same backend servers
	Seed              uint64
}

func (o CallerOptions) withDefaults() (CallerOptions, error) {
	if o.Count <= 0 || o.Count > MaxCount {
		o.Count = MaxCount
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		o.Duration = MaxDuration
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.Run == "" {
		o.Run = fmt.Sprintf("run%d", o.Seed)
	}
	if len(o.Entries) == 0 || o.Rate <= 0 || o.Services.totalWeight == 0 {
		return o, errors.New("entry hosts, a rate above 0 and services are required")
	}
	return o, nil
}

// RunCallers sends requests at the given rate until Count or Duration is reached or ctx ends,
// and waits for their outcomes. The arrivals are a Poisson process that does not depend on the
// answers.
func RunCallers(ctx context.Context, o CallerOptions) (*Result, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &callers{options: o, result: newResult(), inFlight: make(chan struct{}, o.MaxInFlight)}
	for _, a := range o.Entries {
		c.entries = append(c.entries, &entry{HostClient: newHostClient(a)})
	}
	defer c.close()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	stopPolling := c.pollReadiness(ctx)
	defer stopPolling()
	c.generateArrivals(ctx, rand.New(rand.NewPCG(o.Seed, 3)))
	c.pending.Wait()
	c.result.mu.Lock()
	c.result.duration = time.Since(c.result.started)
	c.result.mu.Unlock()
	return c.result, nil
}

type callers struct {
	options  CallerOptions
	result   *Result
	entries  []*entry
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// entry is the client of one entry host.
type entry struct {
	*fasthttp.HostClient
	unavailable atomic.Bool // not ready or not reachable at the last poll
}

// pollReadiness polls the readiness of the entry hosts until the returned function is
// called.
func (c *callers) pollReadiness(ctx context.Context) func() {
	if c.options.ReadinessInterval <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	for _, e := range c.entries {
		g.Go(func() {
			for {
				status, _, err := e.GetTimeout(nil, "http://"+e.Addr+"/ready", readinessTimeout)
				e.unavailable.Store(err != nil || status != fasthttp.StatusOK)
				if !sleepUntil(ctx, time.Now().Add(c.options.ReadinessInterval)) {
					return
				}
			}
		})
	}
	return func() {
		cancel()
		g.Wait()
	}
}

// pickEntry returns the n-th entry host, or the next available one if that is unavailable. If
// all are unavailable, it returns the n-th.
func (c *callers) pickEntry(n int) *entry {
	for i := range c.entries {
		if e := c.entries[(n+i)%len(c.entries)]; !e.unavailable.Load() {
			return e
		}
	}
	return c.entries[n%len(c.entries)]
}

func newHostClient(a netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      a.String(),
		MaxConns:                  DefaultMaxInFlight,
		MaxIdemponentCallAttempts: 1, // a retry by this client would look like a second execution by the entry hosts
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, &dialError{err}
			}
			return c, nil
		},
	}
}

// dialError is the error of a request that was not sent, because the connection could not
// be opened.
type dialError struct{ error }

func (c *callers) close() {
	for _, e := range c.entries {
		e.CloseIdleConnections()
	}
}

// generateArrivals starts the requests at the times of a Poisson process.
func (c *callers) generateArrivals(ctx context.Context, rnd *rand.Rand) {
	next := time.Now()
	for n := range c.options.Count {
		next = next.Add(converter.Seconds(rnd.ExpFloat64() / c.options.Rate))
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		rec := Record{
			Token: c.options.Run + "-" + strconv.Itoa(n), Service: c.options.Services.Draw(rnd),
			Class: c.options.Classes.Draw(rnd), Repeatable: rnd.Float64() < c.options.Repeatable,
		}
		tenant := c.options.Tenants.Draw(rnd)
		client, planned := c.pickEntry(n).HostClient, next
		select {
		case c.inFlight <- struct{}{}:
		default:
			rec.Outcome = Surplus
			c.result.add(rec, nil)
			continue
		}
		c.pending.Go(func() {
			defer func() { <-c.inFlight }()
			c.sendRequest(client, rec, tenant, planned)
		})
	}
}

// sendRequest sends a request and records its outcome. The latency is measured from the
// planned arrival, so that it includes delays in the load generator itself.
func (c *callers) sendRequest(client *fasthttp.HostClient, rec Record, tenant string, arrived time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body := make([]byte, c.options.BodyBytes)
	copy(body, rec.Token)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + client.Addr + "/services/" + rec.Service + "/work?token=" + rec.Token)
	req.SetBody(body)
	for name, v := range map[string]string{
		"Peridot-Tenant": tenant, "Peridot-Class": rec.Class,
		"Peridot-Timeout":    c.options.Timeout.String(),
		"Peridot-Repeatable": strconv.FormatBool(rec.Repeatable),
	} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	err := client.DoTimeout(req, resp, c.options.Timeout+answerGracePeriod)
	rec.Latency = time.Since(arrived)
	var dial *dialError
	var problem error
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns):
		rec.Outcome, rec.Reason = NotSent, err.Error()
	case err != nil:
		rec.Outcome, rec.Reason = Failed, err.Error()
	default:
		problem = classify(&rec, resp, body)
	}
	c.result.add(rec, problem)
}

// classify sets the outcome of rec from an HTTP answer. It returns an error if the answer
// violates the protocol, is damaged or belongs to another request.
func classify(rec *Record, resp *fasthttp.Response, body []byte) error {
	rec.Request = string(resp.Header.Peek("Peridot-Request"))
	rec.Reason = string(resp.Header.Peek("Peridot-Reason"))
	status := resp.StatusCode()
	switch o := Outcome(resp.Header.Peek("Peridot-Outcome")); {
	case o == Answered:
		rec.Outcome = Answered
		if status != fasthttp.StatusOK {
			return nil // an error that the backend server answered
		}
		if err := emulator.CheckBody(resp.Body(), rec.Token, body); err != nil {
			rec.Outcome = Mismatched
			return err
		}
		return nil
	case o == NotRun && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests):
		rec.Outcome = NotRun
		return nil
	case o == Unknown && status == fasthttp.StatusGatewayTimeout:
		rec.Outcome = Unknown
		return nil
	case o == "" && status >= 400 && status <= fasthttp.StatusRequestEntityTooLarge:
		rec.Outcome = Rejected
		return nil
	default:
		rec.Outcome = Malformed
		return fmt.Errorf("status %d with outcome %q", status, o)
	}
}
