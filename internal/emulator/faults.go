package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the fault switches of a stand-in. The zero value has no fault. Shares are
// between 0 and 1 and decide for each call on its own. A stand-in ignores the switches
// that do not concern it.
type Faults struct {
	Down          bool          // every call is answered 503 and has no effect
	Slow          time.Duration // delay before a call takes effect
	SlowFactor    float64       // multiplies service times and run times; 0 is 1
	LoseAnswers   float64       // share of calls whose connection is closed after the effect
	FreezeReports bool          // a worker repeats the report it gave when this was set
	FailTasks     bool          // every task that starts fails
	HalfAnswers   float64       // share of answers cut in the middle
	LateAnswers   float64       // share of answers that come LateBy later, after the effect
	LateBy        time.Duration
	WrongIdentity float64 // share of a backend server's answers that echo another request's identity
	CutRequests   bool    // one-way cut: calls arrive nowhere and are not answered
	CutAnswers    bool    // one-way cut: calls take effect and are not answered
}

// RegisterFlags defines a flag for each switch.
func (f *Faults) RegisterFlags(fs *flag.FlagSet) {
	fs.BoolVar(&f.Down, "down", false, "fault: answer every call with 503, without effect")
	fs.DurationVar(&f.Slow, "slow", 0, "fault: delay before each call takes effect")
	fs.Float64Var(&f.SlowFactor, "slow-factor", 0, "fault: multiplies service and run times (0 is 1)")
	fs.Float64Var(&f.LoseAnswers, "lose-answers", 0, "fault: share of calls whose answer is lost after the effect")
	fs.BoolVar(&f.FreezeReports, "freeze-reports", false, "fault: repeat the same report")
	fs.BoolVar(&f.FailTasks, "fail-tasks", false, "fault: every task that starts fails")
	fs.Float64Var(&f.HalfAnswers, "half-answers", 0, "fault: share of answers cut in the middle")
	fs.Float64Var(&f.LateAnswers, "late-answers", 0, "fault: share of answers that come late")
	fs.DurationVar(&f.LateBy, "late-by", time.Second, "delay of late answers")
	fs.Float64Var(&f.WrongIdentity, "wrong-identity", 0, "fault: share of answers with another request's identity")
	fs.BoolVar(&f.CutRequests, "cut-requests", false, "fault: calls arrive nowhere and are not answered")
	fs.BoolVar(&f.CutAnswers, "cut-answers", false, "fault: calls take effect and are not answered")
}

// maxCutHold bounds how long a call that is not answered holds its connection.
const maxCutHold = time.Minute

// faultSwitch holds the faults in effect and draws from a seeded source.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed at each change
	rnd     *rand.Rand
}

func newFaultSwitch(f Faults, seed uint64) *faultSwitch {
	return &faultSwitch{faults: f, changed: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, 1))}
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// set replaces all switches. Calls held by a cut are released when they change.
func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSwitch) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64() < share
}

// hold waits until the switches change, stop is closed or maxCutHold has passed.
func (s *faultSwitch) hold(stop <-chan struct{}) {
	wait(maxCutHold, s.changes(), stop)
}

// changes returns a channel that is closed at the next change.
func (s *faultSwitch) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// wait sleeps for d unless one of the channels is closed before.
func wait(d time.Duration, a, b <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a:
	case <-b:
	}
}

// serveFaults handles GET and POST /faults. A POST replaces all switches by those of
// the JSON body; an empty object clears them.
func (s *faultSwitch) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(fmt.Sprintf("faults cannot be decoded: %v", err), fasthttp.StatusBadRequest)
			return
		}
		s.set(f)
	}
	writeJSON(ctx, s.get())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
