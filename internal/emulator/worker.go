package emulator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/commander"
)

// advanceInterval is the interval at which a worker processes ended leases and tasks when
// it gets no calls.
const advanceInterval = 10 * time.Millisecond

// WorkerOptions configures a Worker. NewWorker sets MachineOptions.Launch.
type WorkerOptions struct {
	MachineOptions
	Address    netip.AddrPort // zero: any loopback port
	Backend    BackendOptions // template for the instances; Service and Slots come from the task
	Executions *Executions    // shared by all instances; default: one of the worker's own
}

// Worker serves a Machine over HTTP (docs/protocols.md) and starts a Backend on a loopback
// port for each service task. In addition to the protocol it serves GET /counts, GET /runs,
// GET /executions, POST /leaving, and GET and POST /faults.
type Worker struct {
	*Machine
	options WorkerOptions
	server  *server

	mu       sync.Mutex // guards backends
	backends []*Backend
}

// NewWorker starts an emulated worker and returns it, its address and a function that
// stops it and its instances.
func NewWorker(o WorkerOptions) (*Worker, netip.AddrPort, func(), error) {
	if o.Executions == nil {
		o.Executions = NewExecutions()
	}
	l, address, err := listen(o.Address)
	if err != nil {
		return nil, netip.AddrPort{}, nil, err
	}
	w := &Worker{options: o}
	o.Launch = w.launchBackend
	w.Machine = NewMachine(o.MachineOptions)
	w.server = newServer(address, w.faults, w.control, w.handle)
	w.server.start(l)
	go w.advanceLoop()
	return w, address, w.stop, nil
}

func (w *Worker) advanceLoop() {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.Advance()
		case <-w.server.stopped:
			return
		}
	}
}

func (w *Worker) launchBackend(c commander.Command) (Instance, error) {
	o := w.options.Backend
	o.Service, o.Slots = c.Service, c.Slots
	o.Executions = w.options.Executions
	o.Address = netip.AddrPort{}
	b, _, _, err := NewBackend(o)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
	return b, nil
}

// Backends returns all instances that the worker has started, including ended ones.
func (w *Worker) Backends() []*Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Backend(nil), w.backends...)
}

// Executions returns the counter of the executions of the worker's instances.
func (w *Worker) Executions() *Executions { return w.options.Executions }

func (w *Worker) stop() {
	w.server.stop()
	for _, b := range w.Backends() {
		b.server.stop()
	}
}

func (w *Worker) control(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/counts":
		writeJSON(ctx, w.Counts())
	case "/runs":
		writeJSON(ctx, w.Machine.options.RunLog.Runs())
	case "/executions":
		writeJSON(ctx, w.options.Executions.TokenCounts())
	case "/leaving":
		var in struct{ Leaving bool }
		if decodeBody(ctx, &in) {
			w.SetLeaving(in.Leaving)
			writeJSON(ctx, struct{}{})
		}
	default:
		return false
	}
	return true
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/worker/fence":
		var in struct {
			Epoch uint64
			Owner string
		}
		if decodeBody(ctx, &in) {
			writeJSON(ctx, w.Fence(in.Epoch, in.Owner))
		}
	case "/worker/report":
		writeJSON(ctx, w.Report())
	case "/worker/apply":
		var in struct {
			Epoch    uint64
			Owner    string
			Commands []commander.Command
		}
		if decodeBody(ctx, &in) {
			writeJSON(ctx, w.Apply(in.Epoch, in.Owner, in.Commands))
		}
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}
