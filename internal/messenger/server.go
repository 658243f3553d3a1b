package messenger

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
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

// Methods, as they are named in the protocol.
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

// Bodies of the messages that message.go does not name. They are structs, so that
// fields can be added.
type (
	cancelRequest  struct{ Name string }
	explainRequest struct{ ID string }
	drainRequest   struct {
		Host string
		Undo bool
	}
	jobList struct{ Jobs []scheduler.JobStatus }
	nothing struct{}
)

// Method serves one call.
type Method func(ctx context.Context, s drpc.Stream) error

// methods maps each method of a Handler to what serves it.
var methods = map[string]func(Handler) Method{
	// Heartbeat with claims and slot demand; the answer has promises and grants.
	methodExchange: serve(Handler.Exchange),
	// One caller's request and its final outcome.
	methodForward: serve(Handler.Forward),
	// Submission of a job to the owner of its home shard.
	methodSubmitJob: serve(Handler.SubmitJob),
	methodCancelJob: serve(func(h Handler, ctx context.Context, m cancelRequest) (JobAnswer, error) {
		return h.CancelJob(ctx, m.Name)
	}),
	methodListJobs: serve(func(h Handler, ctx context.Context, m ListRequest) (jobList, error) {
		js, err := h.ListJobs(ctx, m)
		return jobList{js}, err
	}),
	// The signed configuration in effect.
	methodFetchConfiguration: serve(func(h Handler, ctx context.Context, _ nothing) (configurator.Record, error) {
		return h.FetchConfiguration(ctx)
	}),
	methodExplain: serve(func(h Handler, ctx context.Context, m explainRequest) (ExplainAnswer, error) {
		return h.Explain(ctx, m.ID)
	}),
	methodDrain: serve(func(h Handler, ctx context.Context, m drainRequest) (nothing, error) {
		return nothing{}, h.Drain(ctx, m.Host, m.Undo)
	}),
}

func serve[In, Out any](f func(Handler, context.Context, In) (Out, error)) func(Handler) Method {
	return func(h Handler) Method {
		return NewMethod(func(ctx context.Context, in In) (Out, error) { return f(h, ctx, in) })
	}
}

// NewMethod returns a Method that receives one message, calls f and sends its answer.
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

// Codes of errors that a handler's host sends instead of an answer.
const (
	codeHandler = 1 // the handler returned an error
	codeUnknown = 2 // unknown method
)

// readerSlack is added to MaxMessageSize for the bound of drpc's reader, which counts
// the headers of frames too.
const readerSlack = 64 << 10 // bytes

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageSize + readerSlack}}
}

// Server serves methods to other entry hosts.
type Server struct {
	methods map[string]Method
	log     *slog.Logger
	cancel  context.CancelFunc
	ended   chan struct{}

	mu       sync.Mutex // guards inFlight and idle
	inFlight int
	idle     chan struct{} // closed when inFlight reaches 0; nil while nobody waits
}

// NewServer serves h on l until the returned function is called, which closes the
// listener and all connections at once; call Shutdown before it to let calls end.
func NewServer(l net.Listener, h Handler, log *slog.Logger) (*Server, func()) {
	bound := make(map[string]Method, len(methods))
	for name, bind := range methods {
		bound[name] = bind(h)
	}
	return ServeMethods(l, bound, log)
}

// ServeMethods is like NewServer for a table of methods.
func ServeMethods(l net.Listener, table map[string]Method, log *slog.Logger) (*Server, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{methods: table, log: log, cancel: cancel, ended: make(chan struct{})}
	d := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { log.Debug("connection of an entry host ended", "Cause", err) },
	})
	go func() {
		defer close(s.ended)
		if err := d.Serve(ctx, l); err != nil {
			log.Error("server for entry hosts stopped", "Address", l.Addr(), "Cause", err)
		}
	}()
	return s, s.close
}

func (s *Server) close() {
	s.cancel()
	<-s.ended
}

// Shutdown waits until no call is in flight or ctx ends. Peers can still start calls;
// the handler refuses what it must not take while it is leaving.
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
		return fmt.Errorf("calls of other entry hosts were in flight at the end of the wait: %w", ctx.Err())
	}
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.begin()
	defer s.end()
	f, ok := s.methods[rpc]
	if !ok {
		return drpcerr.WithCode(fmt.Errorf("unknown method %q", rpc), codeUnknown)
	}
	start := time.Now()
	err := f(stream.Context(), stream)
	if err != nil {
		s.log.Debug("call of an entry host failed", "Method", rpc, "Took", time.Since(start), "Cause", err)
		if errors.Is(err, context.Canceled) {
			return err
		}
		return drpcerr.WithCode(err, codeHandler)
	}
	return nil
}
