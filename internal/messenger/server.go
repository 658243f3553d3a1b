package messenger

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// Names of the methods in the protocol.
const (
	methodExchange           = "Exchange"
	methodForward            = "Forward"
	methodSubmitJob          = "SubmitJob"
	methodCancelJob          = "CancelJob"
	methodListJobs           = "ListJobs"
	methodFetchConfiguration = "FetchConfiguration"
	methodExplain            = "Explain"
	methodDrain              = "Drain"
)

// Messages that are not part of the Peer interface. They are structs, so that fields can
// be added.
type (
	cancelRequest  struct{ Name string }
	explainRequest struct{ ID string }
	drainRequest   struct {
		Host string
		Undo bool
	}
	jobList      struct{ Jobs []scheduler.JobStatus }
	emptyMessage struct{}
)

// Method serves one call of a remote procedure.
type Method func(ctx context.Context, s drpc.Stream) error

// handlerMethods maps the name of each method of a Handler to a function that binds the
// method to the handler.
var handlerMethods = map[string]func(Handler) Method{
	// Heartbeat with shard claims and slot demand, answered with promises and slot grants.
	methodExchange: handlerMethod(Handler.Exchange),
	// A caller's request, answered with its final outcome.
	methodForward: handlerMethod(Handler.Forward),
	// Submission of a job, sent to the owner of its home shard.
	methodSubmitJob: handlerMethod(Handler.SubmitJob),
	methodCancelJob: handlerMethod(func(h Handler, ctx context.Context, m cancelRequest) (JobAnswer, error) {
		return h.CancelJob(ctx, m.Name)
	}),
	methodListJobs: handlerMethod(func(h Handler, ctx context.Context, m ListRequest) (jobList, error) {
		js, err := h.ListJobs(ctx, m)
		return jobList{js}, err
	}),
	// Request for the signed configuration in effect.
	methodFetchConfiguration: handlerMethod(func(h Handler, ctx context.Context, _ emptyMessage) (configurator.Record, error) {
		return h.FetchConfiguration(ctx)
	}),
	methodExplain: handlerMethod(func(h Handler, ctx context.Context, m explainRequest) (ExplainAnswer, error) {
		return h.Explain(ctx, m.ID)
	}),
	methodDrain: handlerMethod(func(h Handler, ctx context.Context, m drainRequest) (emptyMessage, error) {
		return emptyMessage{}, h.Drain(ctx, m.Host, m.Undo)
	}),
}

// handlerMethod returns a function that binds f to a Handler.
func handlerMethod[In, Out any](f func(Handler, context.Context, In) (Out, error)) func(Handler) Method {
	return func(h Handler) Method {
		return NewMethod(func(ctx context.Context, in In) (Out, error) { return f(h, ctx, in) })
	}
}

// NewMethod returns a Method that receives one message, passes it to f and sends the
// result.
func NewMethod[In, Out any](f func(context.Context, In) (Out, error)) Method {
	return func(ctx context.Context, s drpc.Stream) error {
		var in In
		if err := s.MsgRecv(&in, encoding{}); err != nil {
			return err
		}
		out, err := f(ctx, in)
		if err != nil {
			return err
		}
		return s.MsgSend(&out, encoding{})
	}
}

// Error codes that a server sends instead of an answer.
const (
	codeHandlerFailed = 1 // the handler returned an error
	codeUnknownMethod = 2
)

// frameOverheadBytes is added to MaxMessageBytes for the buffer limit of drpc's reader,
// which includes the headers of frames.
const frameOverheadBytes = 64 << 10

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + frameOverheadBytes}}
}

// Server serves the calls of other entry hosts.
type Server struct {
	methods map[string]Method
	log     *slog.Logger
	cancel  context.CancelFunc
	stopped chan struct{}

	mu       sync.Mutex // guards inFlight and idle
	inFlight int
	idle     chan struct{} // closed when inFlight reaches 0; nil unless Shutdown waits
}

// NewServer serves h on l until the returned function is called. That function closes the
// listener and all connections at once; call Shutdown first to let running calls finish.
func NewServer(l net.Listener, h Handler, log *slog.Logger) (*Server, func()) {
	bound := make(map[string]Method, len(handlerMethods))
	for name, bind := range handlerMethods {
		bound[name] = bind(h)
	}
	return NewMethodServer(l, bound, log)
}

// NewMethodServer is like NewServer, but serves methods by their names instead of a Handler.
func NewMethodServer(l net.Listener, byName map[string]Method, log *slog.Logger) (*Server, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{methods: byName, log: log, cancel: cancel, stopped: make(chan struct{})}
	d := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { log.Debug("connection of an entry host ended", "Cause", err) },
	})
	go func() {
		defer close(s.stopped)
		if err := d.Serve(ctx, l); err != nil {
			log.Error("server for entry hosts stopped", "Address", l.Addr(), "Cause", err)
		}
	}()
	return s, s.close
}

func (s *Server) close() {
	s.cancel()
	<-s.stopped
}

// Shutdown waits until no call is in flight or ctx ends. Peers can still start calls: the
// handler must refuse those that it does not accept while its host is leaving.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("calls of other entry hosts are still in flight: %w", ctx.Err())
	}
}

func (s *Server) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// call serves a call. A panic of the method ends only this call.
func (s *Server) call(rpc string, f Method, stream drpc.Stream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("PeerCallPanicked", "Method", rpc, "Panic", fmt.Sprint(p), "Stack", string(debug.Stack()))
			err = errInternal
		}
	}()
	return f(stream.Context(), stream)
}

var errInternal = errors.New("internal error")

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.beginCall()
	defer s.endCall()
	f, ok := s.methods[rpc]
	if !ok {
		return drpcerr.WithCode(fmt.Errorf("unknown method %q", rpc), codeUnknownMethod)
	}
	start := time.Now()
	err := s.call(rpc, f, stream)
	if err != nil {
		s.log.Debug("call of an entry host failed", "Method", rpc, "Took", time.Since(start), "Cause", err)
		if errors.Is(err, context.Canceled) {
			return err
		}
		return drpcerr.WithCode(err, codeHandlerFailed)
	}
	return nil
}
