package receiver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"peridotpitch/internal/configurator"
)

const (
	maxBodyBytes = 1 << 20
	// maxDiscardedBodyBytes is how much of a body larger than maxBodyBytes is read and
	// discarded. Closing the connection while the caller still sends would reset it, and
	// the caller would not receive the answer.
	maxDiscardedBodyBytes = 8 << 20
	maxHeaderBytes        = 16 << 10
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 60 * time.Second
	// handlerGracePeriod is how long after a request's deadline the handler may still
	// return an outcome. When it has passed, the caller gets the outcome Unknown.
	handlerGracePeriod = 100 * time.Millisecond
)

// Settings configures a Receiver.
type Settings struct {
	Handler Handler
	// Ready returns the reasons why the host is not ready, or none if it is ready. If nil,
	// the host is always ready.
	Ready    func() []string
	Registry *prometheus.Registry // if nil, New creates one
	Logger   *slog.Logger         // if nil, nothing is logged
	// NewRequestID returns the next request identity, which must be unique over all hosts. If
	// nil, identities consist of a random number of the process and a counter.
	NewRequestID func() string
	// Services returns the configured services. If nil, every service is accepted, and
	// counted as "other" in the metrics.
	Services func() []string
	// Tenants returns the configured tenants. If nil, every tenant is counted as "other"
	// in the metrics.
	Tenants           func() []string
	MaxRequestTimeout time.Duration // if 0, configurator.DefaultMaxRequestTimeout
}

// Receiver serves requests of callers.
type Receiver struct {
	settings       Settings
	server         *fasthttp.Server
	metrics        *metrics
	metricsHandler fasthttp.RequestHandler
	draining       atomic.Bool
}

// New returns a receiver. It returns an error if s has no handler or if the receiver's
// metrics are already registered.
func New(s Settings) (*Receiver, error) {
	if s.Handler == nil {
		return nil, errors.New("the receiver has no handler")
	}
	if s.Registry == nil {
		s.Registry = prometheus.NewRegistry()
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	if s.NewRequestID == nil {
		s.NewRequestID = newIDSource()
	}
	if s.MaxRequestTimeout <= 0 {
		s.MaxRequestTimeout = configurator.DefaultMaxRequestTimeout
	}
	m, err := newMetrics(s.Registry)
	if err != nil {
		return nil, err
	}
	r := &Receiver{
		settings:       s,
		metrics:        m,
		metricsHandler: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})),
	}
	r.server = &fasthttp.Server{
		Handler:                      r.serve,
		ErrorHandler:                 r.handleReadError,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           maxBodyBytes,
		StreamRequestBody:            true, // so that readBody can discard a body that is too large
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       fasthttpLogger{s.Logger},
	}
	return r, nil
}

// newIDSource returns a generator of request identities, which consist of a random number
// of the process and a counter.
func newIDSource() func() string {
	var process [8]byte
	_, _ = rand.Read(process[:]) // never fails, according to its documentation
	prefix := hex.EncodeToString(process[:]) + "-"
	var count atomic.Uint64
	return func() string { return prefix + strconv.FormatUint(count.Add(1), 36) }
}

// fasthttpLogger writes fasthttp's messages to the log.
type fasthttpLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l fasthttpLogger) Printf(format string, args ...any) {
	l.log.Warn("HTTP server", "message", fmt.Sprintf(format, args...))
}

// Serve accepts connections until Shutdown is called. It then returns nil.
func (r *Receiver) Serve(l net.Listener) error { return r.server.Serve(l) }

// Drain makes /ready answer 503, so that the load balancer sends no more requests. Requests
// that still arrive are served.
func (r *Receiver) Drain() { r.draining.Store(true) }

// Shutdown calls Drain, closes the listener and waits until all requests in flight have been
// answered, or until ctx ends.
func (r *Receiver) Shutdown(ctx context.Context) error {
	r.Drain()
	if err := r.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the receiver: %w", err)
	}
	return nil
}

func (r *Receiver) serve(ctx *fasthttp.RequestCtx) {
	// The path is not decoded or normalized: an encoded slash or dot in it must not change
	// the service that the request goes to.
	target := string(ctx.Request.Header.RequestURI())
	switch target {
	case "/live":
		r.probe(ctx, nil)
	case "/ready":
		r.probe(ctx, r.notReadyReasons())
	case "/metrics":
		if !ctx.IsGet() && !ctx.IsHead() {
			writeError(ctx, fasthttp.StatusMethodNotAllowed, "method-not-allowed", "only GET is served here", "")
			return
		}
		r.metricsHandler(ctx)
	default:
		r.serveRequest(ctx, target)
	}
}

func (r *Receiver) notReadyReasons() []string {
	var reasons []string
	if r.draining.Load() {
		reasons = append(reasons, "shutting down")
	}
	if r.settings.Ready != nil {
		reasons = append(reasons, r.settings.Ready()...)
	}
	return reasons
}

// serveRequest passes a request to the handler and writes its final answer. A request that
// is refused before it reaches the handler is answered with the outcome not-run.
func (r *Receiver) serveRequest(ctx *fasthttp.RequestCtx, target string) {
	started := time.Now()
	id := r.settings.NewRequestID()
	q, problem := parse(&ctx.Request.Header, target, r.settings.MaxRequestTimeout, started)
	if problem == nil && r.settings.Services != nil && !contains(r.settings.Services(), q.Service) {
		problem = &Problem{fasthttp.StatusNotFound, "no-such-service", "service " + strconv.Quote(q.Service) + " is not configured"}
	}
	body, bodyProblem := readBody(ctx)
	if problem == nil {
		problem = bodyProblem
	}
	if problem != nil {
		ctx.Response.Header.Set(HeaderRequest, id)
		ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
		writeError(ctx, problem.Status, problem.Code, problem.Message, id)
		r.metrics.countRefusal(problem.Code)
		return
	}
	q.ID = id
	q.Body = body
	outcome := r.handle(q)
	writeOutcome(ctx, id, outcome)
	r.metrics.recordOutcome(r.metricLabel(r.settings.Services, q.Service), r.metricLabel(r.settings.Tenants, q.Tenant),
		q.Class, outcome, time.Since(started))
}

// readBody returns a copy of the request's body. If it returns a problem, the connection is
// closed after the answer.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, *Problem) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.Request.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	if err == nil && len(body) <= maxBodyBytes {
		return body, nil
	}
	ctx.SetConnectionClose()
	if err != nil {
		return nil, badRequest("the body could not be read: %v", err)
	}
	_, _ = io.CopyN(io.Discard, stream, maxDiscardedBodyBytes) // returns an error at the end of the body
	return nil, &Problem{fasthttp.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes)}
}

// handle returns the handler's outcome, or Unknown if the handler panics or does not return
// within handlerGracePeriod after the deadline. After that time the handler may keep running,
// but it shares no memory with the answered request.
func (r *Receiver) handle(q Request) Outcome {
	outcomes := make(chan Outcome, 1)
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
	go func() {
		defer cancel()
		defer func() {
			if p := recover(); p != nil {
				r.settings.Logger.Error("request handler panicked", "Request", q.ID, "Panic", p)
				outcomes <- Unknown{Reason: "internal error"}
			}
		}()
		outcomes <- r.settings.Handler.Handle(ctx, q)
	}()
	timeout := time.NewTimer(time.Until(q.Deadline) + handlerGracePeriod)
	defer timeout.Stop()
	select {
	case o := <-outcomes:
		return o
	case <-timeout.C:
		r.settings.Logger.Error("request handler did not return after the deadline", "Request", q.ID)
		return Unknown{Reason: "deadline"}
	}
}

// metricLabel returns name if it is configured, and else "other", so that the number of
// label values is bounded by the configuration.
func (r *Receiver) metricLabel(names func() []string, name string) string {
	if names != nil && contains(names(), name) {
		return name
	}
	return "other"
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// handleReadError answers a request that fasthttp could not read.
func (r *Receiver) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "bad-request"
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, "too-large"
	case errors.As(err, &headerTooLarge):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "too-large"
	}
	r.metrics.countRefusal(code)
	ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
	writeError(ctx, status, code, err.Error(), "")
	ctx.SetConnectionClose()
}
