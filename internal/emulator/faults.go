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

// Faults are the faults that an emulator injects. The zero value injects none. Shares are
// between 0 and 1 and apply to each call independently. An emulator ignores faults that do
// not apply to it.
type Faults struct {
	Down          bool          // every call is answered 503 and has no effect
	Slow          time.Duration // delay before a call takes effect
	SlowFactor    float64       // multiplies service times and run times; 0 means 1
	LoseAnswers   float64       // share of calls whose connection is closed after the call took effect
	FreezeReports bool          // a worker repeats the last report that it sent before this was set
	FailTasks     bool          // every task that starts fails
	HalfAnswers   float64       // share of answers truncated in the middle of the body
	LateAnswers   float64       // share of answers that are delayed by LateBy, after the call took effect
	LateBy        time.Duration
	WrongIdentity float64 // share of a backend server's answers that belong to another request
	CutRequests   bool    // one-way partition: calls have no effect and are not answered
	CutAnswers    bool    // one-way partition: calls take effect and are not answered
}

// RegisterFlags defines a flag for each fault.
func (f *Faults) RegisterFlags(fs *flag.FlagSet) {
	fs.BoolVar(&f.Down, "down", false, "fault: answer every call with 503, without effect")
	fs.DurationVar(&f.Slow, "slow", 0, "fault: delay before each call takes effect")
	fs.Float64Var(&f.SlowFactor, "slow-factor", 0, "fault: multiplies service and run times (0 is 1)")
	fs.Float64Var(&f.LoseAnswers, "lose-answers", 0, "fault: share of calls whose answer is lost after the effect")
	fs.BoolVar(&f.FreezeReports, "freeze-reports", false, "fault: repeat the same report")
	fs.BoolVar(&f.FailTasks, "fail-tasks", false, "fault: every task that starts fails")
	fs.Float64Var(&f.HalfAnswers, "half-answers", 0, "fault: share of answers truncated in the middle")
	fs.Float64Var(&f.LateAnswers, "late-answers", 0, "fault: share of answers that are delayed by -late-by")
	fs.DurationVar(&f.LateBy, "late-by", time.Second, "delay of late answers")
	fs.Float64Var(&f.WrongIdentity, "wrong-identity", 0, "fault: share of answers with another request's identity")
	fs.BoolVar(&f.CutRequests, "cut-requests", false, "fault: calls have no effect and are not answered")
	fs.BoolVar(&f.CutAnswers, "cut-answers", false, "fault: calls take effect and are not answered")
}

// maxUnansweredTime is the maximum time for which a call that gets no answer keeps its
// connection open.
const maxUnansweredTime = time.Minute

// faultInjector holds the faults in effect and decides with a seeded random source which
// calls they affect.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed at each change
	rng     *rand.Rand
}

func newFaultInjector(f Faults, seed uint64) *faultInjector {
	return &faultInjector{faults: f, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1))}
}

func (fi *faultInjector) get() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// set replaces all faults. It ends the wait of calls that CutRequests or CutAnswers holds.
func (fi *faultInjector) set(f Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
	close(fi.changed)
	fi.changed = make(chan struct{})
}

// draw reports true with the probability share.
func (fi *faultInjector) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.rng.Float64() < share
}

// waitForChange waits until the faults change, stop is closed or maxUnansweredTime has
// passed.
func (fi *faultInjector) waitForChange(stop <-chan struct{}) {
	sleepUnlessClosed(maxUnansweredTime, fi.changes(), stop)
}

// changes returns a channel that is closed at the next change of the faults.
func (fi *faultInjector) changes() <-chan struct{} {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.changed
}

// sleepUnlessClosed sleeps for d, or until one of the channels is closed.
func sleepUnlessClosed(d time.Duration, a, b <-chan struct{}) {
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

// serveFaults handles GET and POST /faults. A POST replaces all faults by those in the
// JSON body; an empty object clears them.
func (fi *faultInjector) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(fmt.Sprintf("faults cannot be decoded: %v", err), fasthttp.StatusBadRequest)
			return
		}
		fi.set(f)
	}
	writeJSON(ctx, fi.get())
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
