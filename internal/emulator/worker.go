package emulator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/commander"
)

// advanceEvery is how often a worker ends leases and tasks that are due without a call.
const advanceEvery = 10 * time.Millisecond

// WorkerOptions configures a Worker. The machine's Launch is set by the worker.
type WorkerOptions struct {
	MachineOptions
	Address    netip.AddrPort // zero: any loopback port
	Backend    BackendOptions // template of its instances; Service and Slots come from the task
	Executions *Executions    // shared by all instances; default: the worker's own
}

// Worker serves a Machine over HTTP (docs/protocols.md) and opens a Backend on a loopback
// port for each service task. Besides the protocol it serves GET /counts, GET /runs,
// GET /executions, POST /leaving, and GET and POST /faults.
type Worker struct {
	*Machine
	options WorkerOptions
	server  *server

	mu       sync.Mutex // guards backends
	backends []*Backend
}

// NewWorker starts a worker stand-in and returns it, its address and a function that
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
	o.Launch = w.launch
	w.Machine = NewMachine(o.MachineOptions)
	w.server = newServer(address, w.faults, w.control, w.handle)
	w.server.start(l)
	go w.run()
	return w, address, w.stop, nil
}

func (w *Worker) run() {
	t := time.NewTicker(advanceEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.Advance()
		case <-w.server.done:
			return
		}
	}
}

func (w *Worker) launch(c commander.Command) (Instance, error) {
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

// Backends returns all instances that the worker opened, with those that ended.
func (w *Worker) Backends() []*Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Backend(nil), w.backends...)
}

// Executions returns the count of executions of the worker's instances.
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
		writeJSON(ctx, w.Machine.options.Ledger.Runs())
	case "/executions":
		writeJSON(ctx, w.options.Executions.Tokens())
	case "/leaving":
		var in struct{ Leaving bool }
		if decode(ctx, &in) {
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
		if decode(ctx, &in) {
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
		if decode(ctx, &in) {
			writeJSON(ctx, w.Apply(in.Epoch, in.Owner, in.Commands))
		}
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}
