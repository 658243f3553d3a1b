package loadgenerator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/converter"
	"peridotpitch/internal/scheduler"
)

// JobOptions configures a run of job submissions.
type JobOptions struct {
	Admins   []netip.AddrPort // administration addresses of entry hosts, used round-robin
	Rate     float64          // submissions per second
	Count    int
	Classes  Mix
	Teams    Mix
	Urgent   float64                // share of urgent jobs
	Declared configurator.Resources // zero: the class's size
	Duration time.Duration          // mean duration of a job's work
	Wait     time.Duration          // how long to wait for the jobs' ends after the last submission
	RetryFor time.Duration          // how long a refused or unanswered submission is retried; 0: defaultRetryFor
	Run      string                 // prefix of the names
	Seed     uint64
}

const (
	submitTimeout = 5 * time.Second
	// defaultRetryFor is shorter than a change of a shard's owner. During a store outage
	// submissions are refused until the outage ends.
	defaultRetryFor = 2 * time.Second
	pollInterval    = 200 * time.Millisecond
)

// Submit submits jobs, waits until they have ended and stores their counts in r.
func Submit(ctx context.Context, o JobOptions, r *Result) error {
	if len(o.Admins) == 0 || o.Rate <= 0 || o.Count <= 0 || o.Count > MaxCount || o.Classes.totalWeight == 0 || o.Teams.totalWeight == 0 {
		return errors.New("administration addresses, a rate and a count above 0, classes and teams are required")
	}
	if o.RetryFor <= 0 {
		o.RetryFor = defaultRetryFor
	}
	s := &submitter{options: o, rng: rand.New(rand.NewPCG(o.Seed, 4)), accepted: make(map[string]scheduler.JobStatus)}
	for _, a := range o.Admins {
		s.clients = append(s.clients, newHostClient(a))
	}
	start := time.Now()
	s.submitAll(ctx)
	s.awaitJobs(ctx)
	s.counts.Took = time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = s.counts
	return ctx.Err()
}

// RunJobs is like Submit but returns a new Result.
func RunJobs(ctx context.Context, o JobOptions) (*Result, error) {
	r := newResult()
	return r, Submit(ctx, o, r)
}

type submitter struct {
	options  JobOptions
	rng      *rand.Rand
	clients  []*fasthttp.HostClient
	accepted map[string]scheduler.JobStatus // latest status of the accepted jobs by name
	counts   JobCounts
}

func (s *submitter) submitAll(ctx context.Context) {
	next := time.Now()
	for n := range s.options.Count {
		if !sleepUntil(ctx, next) {
			return
		}
		next = next.Add(converter.Seconds(1 / s.options.Rate))
		spec := scheduler.JobSpec{
			Name: fmt.Sprintf("%s-job-%d", s.options.Run, n), Class: s.options.Classes.Draw(s.rng), Team: s.options.Teams.Draw(s.rng),
			Urgent: s.rng.Float64() < s.options.Urgent, Declared: s.options.Declared,
			Duration: converter.Scale(s.options.Duration, 0.5+s.rng.Float64()),
		}
		s.submit(ctx, spec, n)
	}
}

// submit tries the entry hosts round-robin until one accepts the job. Submissions are
// idempotent by name.
func (s *submitter) submit(ctx context.Context, spec scheduler.JobSpec, n int) {
	failures := &s.counts.Unknown
	until := time.Now().Add(s.options.RetryFor)
	for i := 0; ; i++ {
		var js scheduler.JobStatus
		status, err := s.callAdmin(s.clients[(n+i)%len(s.clients)], fasthttp.MethodPost, "/admin/job/submit", spec, &js)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			s.counts.Submitted++
			s.accepted[spec.Name] = js
			return
		case err == nil:
			failures = &s.counts.Refused
		default:
			failures = &s.counts.Unknown
		}
		if time.Now().After(until) || !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			break
		}
	}
	*failures++
}

// awaitJobs polls the accepted jobs until all have ended or the time Wait has passed, and
// counts their states.
func (s *submitter) awaitJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Wait)
	defer cancel()
	n := 0
	for {
		pending := 0
		for name, js := range s.accepted {
			if js.State.Ended() {
				continue
			}
			var now scheduler.JobStatus
			n++
			status, err := s.callAdmin(s.clients[n%len(s.clients)], fasthttp.MethodGet, "/admin/job/show?name="+url.QueryEscape(name), nil, &now)
			if err == nil && status == fasthttp.StatusOK {
				s.accepted[name] = now
			}
			if !s.accepted[name].State.Ended() {
				pending++
			}
		}
		if pending == 0 || !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			break
		}
	}
	for _, js := range s.accepted {
		s.counts.Evictions += js.Evictions
		switch {
		case js.State == scheduler.JobFinished:
			s.counts.Finished++
		case js.State.Ended():
			s.counts.Failed++
		default:
			s.counts.Open++
		}
	}
}

// callAdmin calls an administration path and decodes an answer with status 200 into out.
func (s *submitter) callAdmin(c *fasthttp.HostClient, method, path string, in, out any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		req.Header.SetContentType("application/json")
		req.SetBody(b)
	}
	if err := c.DoTimeout(req, resp, submitTimeout); err != nil {
		return 0, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return resp.StatusCode(), nil
	}
	return resp.StatusCode(), json.Unmarshal(resp.Body(), out)
}

// sleepUntil sleeps until a time. It reports false if ctx is done before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
