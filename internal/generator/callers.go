package generator

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

	"peridotpitch/internal/emulator"
)

// Bounds of a run.
const (
	MaxCount    = 1_000_000
	MaxDuration = 10 * time.Minute
	// DefaultMaxInFlight bounds the generator's own memory; requests over it are counted
	// as surplus and not sent.
	DefaultMaxInFlight = 2000
	// answerMargin is how long the generator waits beyond a request's timeout. An entry
	// host must give the final outcome by then.
	answerMargin = 2 * time.Second
	dialTimeout  = time.Second
	// healthTimeout bounds one question for readiness.
	healthTimeout = time.Second
)

// CallerOptions configures a run of callers. The run ends after Count requests or
// Duration, whichever is first; one of them may be 0, which means its bound.
type CallerOptions struct {
	Entries     []netip.AddrPort // caller addresses of entry hosts, used in turn
	Rate        float64          // requests per second
	Count       int
	Duration    time.Duration
	Services    Mix
	Tenants     Mix
	Classes     Mix     // urgent and normal
	Repeatable  float64 // share of requests that may be repeated
	Timeout     time.Duration
	BodySize    int // bytes
	MaxInFlight int
	HealthEvery time.Duration // if above 0, asks GET /ready this often and leaves out hosts that are not ready, as the platform's load balancer does
	Run         string        // prefix of the tokens; unique for each run against the same backend servers
	Seed        uint64
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
	if len(o.Entries) == 0 || o.Rate <= 0 || o.Services.sum == 0 {
		return o, errors.New("entry hosts, a rate above 0 and services are required")
	}
	return o, nil
}

// Call sends requests at the given rate until the bounds are reached or ctx ends, and
// waits for their outcomes. Arrivals are a Poisson process that does not wait for answers.
func Call(ctx context.Context, o CallerOptions) (*Result, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &callers{options: o, result: newResult(), slots: make(chan struct{}, o.MaxInFlight)}
	for _, a := range o.Entries {
		c.entries = append(c.entries, &entry{HostClient: newHostClient(a)})
	}
	defer c.close()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	stopHealth := c.watchHealth(ctx)
	defer stopHealth()
	c.arrive(ctx, rand.New(rand.NewPCG(o.Seed, 3)))
	c.open.Wait()
	c.result.mu.Lock()
	c.result.took = time.Since(c.result.started)
	c.result.mu.Unlock()
	return c.result, nil
}

type callers struct {
	options CallerOptions
	result  *Result
	entries []*entry
	slots   chan struct{}
	open    sync.WaitGroup
}

// entry is one entry host.
type entry struct {
	*fasthttp.HostClient
	out atomic.Bool // not ready, or not reachable
}

// watchHealth asks the entry hosts until the returned function is called.
func (c *callers) watchHealth(ctx context.Context) func() {
	if c.options.HealthEvery <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	for _, e := range c.entries {
		g.Go(func() {
			for {
				status, _, err := e.GetTimeout(nil, "http://"+e.Addr+"/ready", healthTimeout)
				e.out.Store(err != nil || status != fasthttp.StatusOK)
				if !sleepUntil(ctx, time.Now().Add(c.options.HealthEvery)) {
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

// pick returns the n-th entry host, or the next one that is not out.
func (c *callers) pick(n int) *entry {
	for i := range c.entries {
		if e := c.entries[(n+i)%len(c.entries)]; !e.out.Load() {
			return e
		}
	}
	return c.entries[n%len(c.entries)]
}

func newHostClient(a netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      a.String(),
		MaxConns:                  DefaultMaxInFlight,
		MaxIdemponentCallAttempts: 1, // a repeated request would be counted as the product's fault
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, &dialError{err}
			}
			return c, nil
		},
	}
}

// dialError marks a request that was not sent.
type dialError struct{ error }

func (c *callers) close() {
	for _, e := range c.entries {
		e.CloseIdleConnections()
	}
}

func (c *callers) arrive(ctx context.Context, rnd *rand.Rand) {
	next := time.Now()
	for n := range c.options.Count {
		next = next.Add(time.Duration(rnd.ExpFloat64() / c.options.Rate * float64(time.Second)))
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
		client, planned := c.pick(n).HostClient, next
		select {
		case c.slots <- struct{}{}:
		default:
			rec.Outcome = Surplus
			c.result.add(rec, nil)
			continue
		}
		c.open.Go(func() {
			defer func() { <-c.slots }()
			c.one(client, rec, tenant, planned)
		})
	}
}

// one sends a request and records its outcome. Latency counts from the planned arrival,
// so that a slow generator does not hide waiting.
func (c *callers) one(client *fasthttp.HostClient, rec Record, tenant string, arrived time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body := make([]byte, c.options.BodySize)
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
	err := client.DoTimeout(req, resp, c.options.Timeout+answerMargin)
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

// classify fills in the outcome of an HTTP answer and returns what is wrong with it.
func classify(rec *Record, resp *fasthttp.Response, body []byte) error {
	rec.Request = string(resp.Header.Peek("Peridot-Request"))
	rec.Reason = string(resp.Header.Peek("Peridot-Reason"))
	status := resp.StatusCode()
	switch o := Outcome(resp.Header.Peek("Peridot-Outcome")); {
	case o == Answered:
		rec.Outcome = Answered
		if status != fasthttp.StatusOK {
			return nil // the backend server's own error
		}
		if err := emulator.CheckBody(resp.Body(), rec.Token, body); err != nil {
			rec.Outcome = Mismatch
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
