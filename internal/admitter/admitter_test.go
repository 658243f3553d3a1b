package admitter_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/admitter"
)

// The load of a play: 300 workers of 32 cores with 1.4 times the work that they can do for 3 minutes. Tasks have 4
// cores, so that they fit on the workers without remainder.
const (
	tick      = 100 * time.Millisecond
	allCores  = 300 * 32
	taskCores = 4
	submitFor = 3 * time.Minute
)

// simJob is a batch job of two steps, the second after the first.
type simJob struct {
	admitter.Request
	at       time.Duration
	tasks    [2]int
	took     time.Duration // real run time of each task
	estimate time.Duration
	waiting  int // of the current step
	running  int
	step     int
	end      time.Duration // 0: it has not ended
	refused  bool
	index    int           // among all jobs, by time
	class    int           // by forecast and whether it has begun; even: it has
	order    time.Duration // within class
}

// limit is the time at which the end of the job has no value any more.
func (j *simJob) limit() time.Duration { return j.at + 3*j.Objective(1) }

func (j *simJob) inTime() bool { return j.end > 0 && j.end <= j.limit() }

// rank sets the order of the job among those of its priority, as the orchestrator does: by forecast, then begun jobs
// first, then by deadline or remaining run time.
func (j *simJob) rank(now time.Duration) {
	remaining := time.Duration(2-j.step) * j.estimate * 5 / 4
	expected, notBegun := remaining, 0
	if j.step == 0 && j.waiting == j.tasks[0] {
		expected, notBegun = remaining*7/4, 1
	}
	switch {
	case now+expected <= j.at+j.Objective(1):
		j.class, j.order = notBegun, j.at+j.Objective(1)
	case now+expected <= j.limit():
		j.class, j.order = 2+notBegun, remaining
	default:
		j.class, j.order = 4+notBegun, remaining
	}
}

// jobs returns the load, with a burst of 100 jobs of one caller at 40 s. urgent is the share of jobs of priority 0.
func jobs(seed uint64, urgent float64) []*simJob {
	r := rand.New(rand.NewPCG(seed, 1))
	var js []*simJob
	add := func(at time.Duration, tasks int) {
		j := &simJob{at: at, tasks: [2]int{tasks, tasks}, estimate: 2*time.Second + time.Duration(r.Int64N(int64(4*time.Second))), waiting: tasks}
		j.took = time.Duration((0.5 + 1.5*r.Float64()) * float64(j.estimate))
		priority := 0
		if r.Float64() > urgent {
			priority = 1
		}
		j.Request = admitter.Request{ID: fmt.Sprint(len(js)), Queue: fmt.Sprint("q", priority), Class: admitter.Class{Service: "s", Priority: priority},
			TaskCores: taskCores, FirstCores: float64(tasks * taskCores), Work: 2 * float64(tasks*taskCores) * j.estimate.Seconds(),
			Chain: 2 * j.estimate, Stretch: 1.5, TargetDuration: time.Second}
		js = append(js, j)
	}
	// A task takes 4 s x 1.25 on average, a job 100 tasks: 2,000 core-seconds.
	mean := float64(2000*time.Second) / (1.4 * allCores)
	for at := time.Duration(0); at < submitFor; at += time.Duration(r.ExpFloat64() * mean) {
		add(at, []int{20, 80}[r.IntN(2)])
	}
	for range 100 {
		add(40*time.Second, 20)
	}
	slices.SortStableFunc(js, func(a, b *simJob) int { return cmp.Compare(a.at, b.at) })
	for i, j := range js {
		j.index = i
	}
	return js
}

// play runs the jobs in virtual time, in the order of the orchestrator: priority, forecast, then deadline or remaining
// run time. accept decides about a submission by an outlook that is up to half a second old.
func play(js []*simJob, accept func(j *simJob, o admitter.Outlook, measured, now time.Duration) bool) {
	type runningStep struct {
		end time.Duration
		job *simJob
	}
	var live []*simJob
	running := make(map[time.Duration][]*simJob) // by end, one entry for each task
	free, next, measured, urgent := allCores, 0, time.Duration(0), 0.0
	var outlook admitter.Outlook
	for now := time.Duration(0); next < len(js) || len(live) > 0; now += tick {
		for _, j := range running[now] {
			free += taskCores
			if j.running--; j.running+j.waiting == 0 {
				if j.step++; j.step == 2 {
					j.end = now
				} else {
					j.waiting = j.tasks[1]
				}
			}
		}
		delete(running, now)
		live = slices.DeleteFunc(live, func(j *simJob) bool { return j.end > 0 })
		for _, j := range live {
			j.rank(now)
		}
		if now%(500*time.Millisecond) == 0 {
			outlook, measured = admitter.Outlook{}, now
			for p := range 2 {
				e := admitter.Entry{Class: admitter.Class{Service: "s", Priority: p}, Free: float64(free), Ratio: 1.25, Rate: allCores}
				used := 0.0
				for _, j := range live {
					if j.Class.Priority < p {
						used += float64(j.running * taskCores)
					}
					if j.Class.Priority < p || j.Class.Priority == p && j.class < 4 {
						e.Cores += float64(j.waiting * taskCores)
						work := float64((j.waiting+(1-j.step)*j.tasks[1])*taskCores) * 1.25 * j.estimate.Seconds()
						switch {
						case j.Class.Priority < p:
							e.Work += work
						case j.class%2 == 0:
							e.AddOwn(0, work)
						default:
							e.AddOwn(time.Duration(2-j.step)*j.estimate*5/4, work)
						}
					}
				}
				if p == 1 {
					urgent += (used - urgent) / 60 // as the orchestrator: with a time constant of 30 s
					e.Rate = max(0.05*allCores, allCores-urgent)
				}
				outlook.Entries = append(outlook.Entries, e)
			}
		}
		for ; next < len(js) && js[next].at <= now; next++ {
			if j := js[next]; accept(j, outlook, measured, now) {
				j.rank(now)
				live = append(live, j)
			} else {
				j.refused = true
			}
		}
		slices.SortStableFunc(live, func(a, b *simJob) int {
			return cmp.Or(cmp.Compare(a.Class.Priority, b.Class.Priority), cmp.Compare(a.class, b.class), cmp.Compare(a.order, b.order))
		})
		for _, j := range live {
			for ; j.waiting > 0 && free >= taskCores; free -= taskCores {
				j.waiting, j.running = j.waiting-1, j.running+1
				end := (now + j.took).Truncate(tick) + tick
				running[end] = append(running[end], j)
			}
		}
	}
}

func acceptAll(*simJob, admitter.Outlook, time.Duration, time.Duration) bool { return true }

// admit decides with one host's admitter.
func admit() func(j *simJob, o admitter.Outlook, measured, now time.Duration) bool {
	a, start := &admitter.Admitter{}, time.Unix(1e9, 0)
	return func(j *simJob, o admitter.Outlook, measured, now time.Duration) bool {
		a.Update(o, start.Add(measured))
		d := a.Decide(j.Request, start.Add(now))
		a.Record(j.Request, d.Accept, start.Add(now))
		return d.Accept
	}
}

// share returns the share of the jobs from the lo-th to the hi-th part by size for which f holds.
func share(js []*simJob, lo, hi float64, f func(*simJob) bool) float64 {
	sorted := slices.SortedStableFunc(slices.Values(js), func(a, b *simJob) int { return cmp.Compare(a.Work, b.Work) })
	sorted = sorted[int(lo*float64(len(js))):int(hi*float64(len(js)))]
	n := 0
	for _, j := range sorted {
		if f(j) {
			n++
		}
	}
	return float64(n) / float64(len(sorted))
}

// outcome is what became of the jobs of one play.
type outcome struct{ refused, inTime, late, tenth, fifth float64 }

func measure(js []*simJob) outcome {
	return outcome{share(js, 0, 1, func(j *simJob) bool { return j.refused }), share(js, 0, 1, (*simJob).inTime),
		share(js, 0, 1, func(j *simJob) bool { return !j.refused && !j.inTime() }),
		share(js, 0.9, 1, (*simJob).inTime), share(js, 0.7, 0.9, (*simJob).inTime)}
}

// eachLoad runs f with three seeds of two mixes: half of the jobs urgent, and so many that they need all workers.
func eachLoad(t *testing.T, f func(t *testing.T, urgent float64, load func() []*simJob)) {
	for _, urgent := range []float64{0.5, 0.7} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("urgent=%.1f,seed=%d", urgent, seed), func(t *testing.T) {
				f(t, urgent, func() []*simJob { return jobs(seed, urgent) })
			})
		}
	}
}

// Load: see jobs. Guards against an admission that refuses jobs which would have ended in time (5% of the jobs at
// most), and that serves large jobs less than half as often as all. Where urgent jobs need all workers, it guards also
// against accepting jobs that end too late: without admission, none of their callers is told.
func TestOverload(t *testing.T) {
	eachLoad(t, func(t *testing.T, urgent float64, load func() []*simJob) {
		is := is.New(t)
		all, admitted := load(), load()
		play(all, acceptAll)
		play(admitted, admit())
		without, with := measure(all), measure(admitted)
		// What would have become of each fifth refused job if only it had been accepted.
		wrong, checked := 0, 0
		for i, j := range admitted {
			if !j.refused || i%5 != 0 {
				continue
			}
			again := load()
			play(again, func(k *simJob, _ admitter.Outlook, _, _ time.Duration) bool {
				return k.index == i || !admitted[k.index].refused
			})
			if checked++; again[i].inTime() {
				wrong++
			}
		}
		t.Logf("without %+.3v, with %+.3v, %d of %d refusals wrong", without, with, wrong, checked)
		is.True(with.refused*float64(wrong)/float64(max(1, checked)) <= 0.05)
		is.True(with.tenth >= 0.5*with.inTime)
		is.True(with.fifth >= 0.5*with.inTime)
		if urgent > 0.5 {
			is.True(with.late <= 0.5*without.late)
		}
	})
}

// Load: see jobs. Guards against an admission by which fewer callers get their jobs in time than without.
func TestMoreJobsEndInTime(t *testing.T) {
	eachLoad(t, func(t *testing.T, _ float64, load func() []*simJob) {
		is := is.New(t)
		all, admitted := load(), load()
		play(all, acceptAll)
		play(admitted, admit())
		is.True(measure(admitted).inTime > measure(all).inTime)
	})
}

// Load: a queue whose large jobs never fit, a quarter of its jobs. Guards against refusing all of them: the largest tenth and the
// fifth below it are refused at most 1.5 times as often as the queue.
func TestLargeJobsAreServed(t *testing.T) {
	is := is.New(t)
	a, now := &admitter.Admitter{}, time.Unix(1e9, 0)
	c := admitter.Class{Service: "s"}
	a.Update(admitter.Outlook{Entries: []admitter.Entry{{Class: c, Cores: 10, Work: 100, Rate: 1, Ratio: 1}}}, now)
	refused := map[bool]int{}
	for i := range 400 {
		r := admitter.Request{ID: fmt.Sprint(i), Queue: "q", Class: c, TaskCores: 1, Work: 1, Chain: time.Minute, Stretch: 1}
		if i%4 == 0 {
			r.Work = 1000 + float64(i)
		} else if i%2 == 0 {
			r.Chain = time.Second
		}
		d := a.Decide(r, now)
		if !d.Accept {
			refused[r.Work > 1]++
		}
		a.Record(admitter.Request{Queue: r.Queue, Work: r.Work, Class: admitter.Class{Service: "other"}}, d.Accept, now)
	}
	t.Log(refused)
	is.True(refused[true] > 0)
	is.True(float64(refused[true])/100 <= 1.6*float64(refused[true]+refused[false])/400)
}

// Guards against refusing what has no figures or is exempt, what could start at once, and against one caller whose jobs
// are all accepted by the same figures. Guards also against an encoding that other hosts do not read.
func TestDecide(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	r := admitter.Request{Queue: "q", Class: admitter.Class{Service: "s", Priority: 1}, TaskCores: 1, FirstCores: 10, Work: 100, Chain: time.Second, Stretch: 2}
	decide := func(e admitter.Entry, r admitter.Request, age time.Duration) admitter.Decision {
		b, err := admitter.Outlook{Entries: []admitter.Entry{e}}.Encode()
		is.NoErr(err)
		o, err := admitter.Decode(b)
		is.NoErr(err)
		is.Equal(o.Entries[0], e)
		a := &admitter.Admitter{}
		a.Update(o, now.Add(-age))
		return a.Decide(r, now)
	}
	full := admitter.Entry{Class: r.Class, Cores: 50, Work: 700, Rate: 100, Ratio: 1}
	d := decide(full, r, time.Second)
	is.True(!d.Accept)
	is.Equal(d.RetryAfter, 2*time.Second) // end after 8 s, limit 6 s
	is.True(decide(full, r, admitter.MaxAge).Accept)
	exempt, other, free, unknown := r, r, full, full
	exempt.Exempt, other.Class.Priority, free.Free, unknown.Rate = "long-running", 0, 51, 0
	is.True(decide(full, exempt, 0).Accept)
	is.True(decide(full, other, 0).Accept)
	is.True(decide(free, r, 0).Accept)
	is.True(decide(unknown, r, 0).Accept)

	a, accepted := &admitter.Admitter{}, 0
	a.Update(admitter.Outlook{Entries: []admitter.Entry{{Class: r.Class, Free: 10, Rate: 100, Ratio: 1}}}, now)
	for range 100 {
		d := a.Decide(r, now)
		if d.Accept {
			accepted++
		}
		a.Record(r, d.Accept, now)
	}
	t.Log(accepted)
	is.True(accepted >= 6 && accepted <= 40)
}
