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
	// maxBody bounds a request's body, in bytes.
	maxBody = 1 << 20
	// maxDrain bounds what is read and dropped of a larger body. Closing the connection
	// while the caller still sends would reset it, and the caller would lose the answer.
	maxDrain = 8 << 20
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 16 << 10
	// readTimeout bounds the reading of one request, and idleTimeout the time between
	// two requests on a connection.
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// answerGrace is how long after the deadline the handler may still answer. Then the
	// caller gets the outcome unknown.
	answerGrace = 100 * time.Millisecond
)

// Settings configures a Receiver.
type Settings struct {
	Handler Handler
	// Ready returns the reasons why the host is not ready; none if it is. Nil: always ready.
	Ready    func() []string
	Registry *prometheus.Registry // nil: a new one
	Logger   *slog.Logger         // nil: no log
	// Identity returns the next request identity, unique over all hosts. Nil: a random
	// number for each process and a counter.
	Identity func() string
	// Services and Tenants return the configured names. Nil: any service is accepted,
	// and every tenant is counted as other in the metrics.
	Services          func() []string
	Tenants           func() []string
	MaxRequestTimeout time.Duration // 0: the default of configurator.Policy
}

// Receiver serves callers.
type Receiver struct {
	settings Settings
	server   *fasthttp.Server
	metrics  *metrics
	exporter fasthttp.RequestHandler
	draining atomic.Bool
}

// New returns a receiver. It fails if its metrics are already registered.
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
	if s.Identity == nil {
		s.Identity = identities()
	}
	if s.MaxRequestTimeout <= 0 {
		s.MaxRequestTimeout = configurator.DefaultMaxRequestTimeout
	}
	m, err := newMetrics(s.Registry)
	if err != nil {
		return nil, err
	}
	r := &Receiver{
		settings: s,
		metrics:  m,
		exporter: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})),
	}
	r.server = &fasthttp.Server{
		Handler:                      r.serve,
		ErrorHandler:                 r.unreadable,
		ReadBufferSize:               maxHeader,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           maxBody,
		StreamRequestBody:            true, // a body over the bound reaches the handler, which drains it
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       logger{s.Logger},
	}
	return r, nil
}

// identities returns a source of request identities: a random number of the process and
// a counter.
func identities() func() string {
	var process [8]byte
	_, _ = rand.Read(process[:]) // never fails, as documented
	prefix := hex.EncodeToString(process[:]) + "-"
	var count atomic.Uint64
	return func() string { return prefix + strconv.FormatUint(count.Add(1), 36) }
}

// logger passes fasthttp's messages on.
type logger struct{ to *slog.Logger }

// Printf implements fasthttp.Logger.
func (l logger) Printf(format string, args ...any) {
	l.to.Warn("HTTP server", "message", fmt.Sprintf(format, args...))
}

// Serve accepts connections until Shutdown. It then returns nil.
func (r *Receiver) Serve(l net.Listener) error { return r.server.Serve(l) }

// Drain makes /ready answer 503, so that the load balancer stops sending. Requests are
// served as before.
func (r *Receiver) Drain() { r.draining.Store(true) }

// Shutdown drains, closes the listener and waits until all requests in flight have
// their final answer, or ctx ends.
func (r *Receiver) Shutdown(ctx context.Context) error {
	r.Drain()
	if err := r.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the receiver: %w", err)
	}
	return nil
}

func (r *Receiver) serve(ctx *fasthttp.RequestCtx) {
	// The path as sent: an encoded slash or dot in a service's path must not change
	// which service is meant.
	target := string(ctx.Request.Header.RequestURI())
	switch target {
	case "/live":
		r.probe(ctx, nil)
	case "/ready":
		r.probe(ctx, r.reasons())
	case "/metrics":
		if !ctx.IsGet() && !ctx.IsHead() {
			writeError(ctx, fasthttp.StatusMethodNotAllowed, "method-not-allowed", "only GET is served here", "")
			return
		}
		r.exporter(ctx)
	default:
		r.serveRequest(ctx, target)
	}
}

func (r *Receiver) reasons() []string {
	var reasons []string
	if r.draining.Load() {
		reasons = append(reasons, "shutting down")
	}
	if r.settings.Ready != nil {
		reasons = append(reasons, r.settings.Ready()...)
	}
	return reasons
}

// serveRequest passes one request to the handler and writes its final answer.
func (r *Receiver) serveRequest(ctx *fasthttp.RequestCtx, target string) {
	started := time.Now()
	id := r.settings.Identity()
	q, problem := parse(&ctx.Request.Header, target, r.settings.MaxRequestTimeout, started)
	if problem == nil && r.settings.Services != nil && !contains(r.settings.Services(), q.Service) {
		problem = &Problem{fasthttp.StatusNotFound, "no-such-service", "service " + strconv.Quote(q.Service) + " is not configured"}
	}
	body, unread := readBody(ctx)
	if problem == nil {
		problem = unread
	}
	if problem != nil {
		ctx.Response.Header.Set(HeaderRequest, id)
		ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
		writeError(ctx, problem.Status, problem.Code, problem.Message, id)
		r.metrics.refused(problem.Code)
		return
	}
	q.ID = id
	q.Body = body
	outcome := r.handle(q)
	writeOutcome(ctx, id, outcome)
	r.metrics.observe(r.label(r.settings.Services, q.Service), r.label(r.settings.Tenants, q.Tenant),
		q.Class, outcome, time.Since(started))
}

// readBody returns a copy of the request's body. After a problem the connection is closed.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, *Problem) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.Request.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBody+1))
	if err == nil && len(body) <= maxBody {
		return body, nil
	}
	ctx.SetConnectionClose()
	if err != nil {
		return nil, bad("the body could not be read: %v", err)
	}
	_, _ = io.CopyN(io.Discard, stream, maxDrain) // ends early at the end of the body
	return nil, &Problem{fasthttp.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body is larger than %d bytes", maxBody)}
}

// handle returns the handler's outcome, or unknown if the handler fails or does not
// return soon after the deadline. The handler then keeps only its own copy.
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
	late := time.NewTimer(time.Until(q.Deadline) + answerGrace)
	defer late.Stop()
	select {
	case o := <-outcomes:
		return o
	case <-late.C:
		r.settings.Logger.Error("request handler did not return after the deadline", "Request", q.ID)
		return Unknown{Reason: "deadline"}
	}
}

// label bounds the label values of metrics by the configuration.
func (r *Receiver) label(names func() []string, name string) string {
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

// unreadable answers a request that could not be read.
func (r *Receiver) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "bad-request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, "too-large"
	case errors.As(err, &small):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "too-large"
	}
	r.metrics.refused(code)
	ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
	writeError(ctx, status, code, err.Error(), "")
	ctx.SetConnectionClose()
}
