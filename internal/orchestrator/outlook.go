package orchestrator

import (
	"slices"
	"time"

	"peridotpitch/internal/admitter"
)

const (
	// minOutlookTime is how long a leader measures before it gives an outlook.
	minOutlookTime = time.Second
	// outlookWaitTime is the wait from which a task shows that no worker has room. A shorter wait may be that for the
	// next scheduling passes, which start a few thousand tasks a second.
	outlookWaitTime = 500 * time.Millisecond
	// outlookMeanTime is the time constant of the moving averages of the cores in use, so that a burst of urgent tasks
	// does not count as if it lasted. In the play of admitter.TestOverload whose urgent jobs are half of the load,
	// 10 s made 2.4 to 3.2% of the jobs wrongly refused, 30 s none.
	outlookMeanTime = 30 * time.Second
	// minRateShare is the least share of a service's rate that an outlook leaves to a class. More urgent work that
	// takes everything now may end at any time.
	minRateShare = 0.05
	// bestEffortRateTime is the shortest and maxBestEffortRateTime the longest time over which the rate of best-effort
	// work is measured. Progress is known in percent and from polls.
	bestEffortRateTime    = 5 * time.Second
	maxBestEffortRateTime = 10 * time.Second
)

// outlookMeter holds what the leader measures for the outlook. Cores and core-seconds are of single classes, without
// the more urgent ones.
type outlookMeter struct {
	since    time.Time                  // of the first measurement; zero: none yet
	at       time.Time                  // of the last one
	used     map[admitter.Class]float64 // moving average of the cores in use; begins at 0
	capacity map[string]float64         // by service: moving average of the cores that do not run long-running tasks
	ended    map[admitter.Class]float64 // core-seconds of best-effort tasks that have succeeded
	progress map[string][]progressSample
}

// progressSample is the best-effort work of a service that was done by a time, in core-seconds.
type progressSample struct {
	at   time.Time
	done map[admitter.Class]float64
}

// outlookClass returns the class of a step's tasks.
func (s *step) outlookClass() admitter.Class {
	p := s.occurrence.job.Policy
	return admitter.Class{Service: p.Service, Priority: p.Priority, BestEffort: s.Fills}
}

// restricted reports whether only some workers of a service can run the step's tasks. The figures of the whole service
// say nothing about these workers.
func (s *Step) restricted() bool { return s.RequiredLabel != "" || s.Size.GPU > 0 }

// waitsForSizeOnly reports whether waiting tasks of the step show that no worker has room. Others may wait for
// particular workers.
func (s *step) waitsForSizeOnly() bool {
	return !s.restricted() && s.RackAffinity == "" && s.MaxPerWorker == 0 && !s.Gang && !s.occurrence.job.Policy.Advised
}

// cores converts thousandths of a core.
func cores(millicores int) float64 { return float64(millicores) / 1000 }

// endBestEffort counts the work of a best-effort run that has succeeded.
func (m *outlookMeter) endBestEffort(r *run) {
	if m.ended == nil {
		m.ended = make(map[admitter.Class]float64)
	}
	m.ended[r.task.step.outlookClass()] += cores(r.task.step.Size.CPU) * r.task.step.Estimate.Seconds()
}

// serviceCapacity is the present capacity of a service's usable workers, in cores.
type serviceCapacity struct {
	free   float64 // reserved by no task
	batch  float64 // of tasks that end by themselves and are not best-effort
	unused float64 // left to best-effort tasks
}

// classDemand is what the jobs of one class need and have.
type classDemand struct {
	used     float64        // cores in use
	done     float64        // core-seconds of best-effort tasks that have ended or that running ones have completed
	waiting  float64        // cores that waiting tasks of ready steps request
	work     float64        // core-seconds of the tasks that wait, and of steps that are not ready
	own      admitter.Entry // work by remaining run time, without the jobs that go behind a new one
	full     bool           // a task has found no worker for outlookWaitTime
	jobs     int
	ratioSum float64 // of the jobs' queues
}

// Outlook measures the capacity that new jobs will find, and returns it if the leader has measured for minOutlookTime.
// It goes through all runs and unfinished tasks; callers should call it every few hundred milliseconds.
func (o *Orchestrator) Outlook(now time.Time) (admitter.Outlook, bool) {
	if !o.inheritedApplied {
		return admitter.Outlook{}, false
	}
	o.now = now
	capacities, demands := o.capacities(), o.demands()
	m := &o.outlookMeter
	m.measure(capacities, demands, now)
	if now.Sub(m.since) < minOutlookTime {
		return admitter.Outlook{}, false
	}
	var out admitter.Outlook
	for c, d := range demands {
		if d.jobs > 0 {
			out.Entries = append(out.Entries, m.entry(c, *d, capacities[c.Service], demands))
		}
	}
	out.Sort()
	return out, true
}

// entry returns the outlook of a class with unfinished jobs.
func (m *outlookMeter) entry(c admitter.Class, own classDemand, capacity serviceCapacity, demands map[admitter.Class]*classDemand) admitter.Entry {
	e := admitter.Entry{Class: c, Ratio: own.ratioSum / float64(own.jobs), Free: capacity.free}
	total, urgent := max(capacity.free+capacity.batch, m.capacity[c.Service]), 0.0
	rates, measured := m.bestEffortRates(c.Service)
	if c.BestEffort {
		e.Free, total = capacity.unused, 0
		for _, r := range rates {
			total += r
		}
	}
	full := false
	for k, d := range demands {
		if k.Service != c.Service || k.BestEffort != c.BestEffort || k.Priority > c.Priority {
			continue
		}
		e.Cores, full = e.Cores+d.waiting, full || d.full
		switch {
		case k == c:
			e.Own = d.own.Own
			continue
		case c.BestEffort:
			urgent += rates[k]
		default:
			urgent += m.used[k]
		}
		e.Work += d.work
	}
	if full {
		e.Free = 0 // what is free is too scattered, lacks another resource or is kept for others
	}
	if measured || !c.BestEffort {
		e.Rate = max(total-urgent, minRateShare*total)
	}
	return e
}

// capacities returns the present capacity of the usable workers, by service.
func (o *Orchestrator) capacities() map[string]serviceCapacity {
	cs := make(map[string]serviceCapacity)
	for _, w := range o.workers {
		if ok, _ := o.usable(w); !ok {
			continue
		}
		c := cs[w.Service]
		c.free += cores(max(0, w.free().CPU))
		c.batch += cores(w.used.CPU - w.longRunning.CPU)
		c.unused += cores(max(0, w.unusedCPU()))
		cs[w.Service] = c
	}
	return cs
}

// demands returns the demand of each class with tasks that end by themselves.
func (o *Orchestrator) demands() map[admitter.Class]*classDemand {
	ds := make(map[admitter.Class]*classDemand)
	for c, done := range o.outlookMeter.ended {
		ds[c] = &classDemand{done: done}
	}
	for _, j := range o.jobs {
		if j.state.Final() || j.cancelled {
			continue
		}
		ratio := o.stats(j.Policy.Queue).runTimeRatio
		for _, oc := range j.occurrences {
			for _, s := range oc.steps {
				if s.unfinished == 0 || s.LongRunning {
					continue
				}
				d := ds[s.outlookClass()]
				if d == nil {
					d = &classDemand{}
					ds[s.outlookClass()] = d
				}
				d.jobs, d.ratioSum = d.jobs+1, d.ratioSum+ratio
				o.addDemand(d, s, ratio)
			}
		}
	}
	return ds
}

// addDemand adds the unfinished tasks of a step.
func (o *Orchestrator) addDemand(d *classDemand, s *step, ratio float64) {
	size, waiting := cores(s.Size.CPU), 0
	for _, t := range s.tasks {
		switch {
		case t.done:
			continue
		case len(t.runs) == 0:
			waiting++
			if o.ready[s] && !d.full && o.now.Sub(t.waitingSince) > outlookWaitTime && s.waitsForSizeOnly() {
				d.full = true
			}
			continue
		}
		for _, r := range t.runs {
			if s.Fills {
				d.done += size * s.Estimate.Seconds() * float64(r.progressPercent) / 100
			} else {
				d.used += size
			}
		}
	}
	if waiting == 0 || s.restricted() {
		return
	}
	if o.ready[s] {
		d.waiting += float64(waiting) * size
	}
	// The rate of best-effort work is measured in estimates.
	took := s.Estimate
	if !s.Fills {
		took = s.expectedRunTime(ratio)
	}
	work := float64(waiting) * size * took.Seconds()
	d.work += work
	f, remaining := o.forecast(s.occurrence)
	switch {
	case !o.enabled(MechanismForecastOrder):
		d.own.AddOwn(0, work)
	case f == forecastMissed: // goes behind a new job
	case s.occurrence.begun():
		d.own.AddOwn(0, work)
	default:
		d.own.AddOwn(remaining, work)
	}
}

// measure updates the averages and the samples of progress.
func (m *outlookMeter) measure(capacities map[string]serviceCapacity, demands map[admitter.Class]*classDemand, now time.Time) {
	if m.since.IsZero() {
		m.since, m.at = now, now
		m.used, m.capacity = make(map[admitter.Class]float64), make(map[string]float64)
		m.progress = make(map[string][]progressSample)
	}
	weight := min(1, now.Sub(m.at).Seconds()/outlookMeanTime.Seconds())
	m.at = now
	for c, u := range m.used {
		m.used[c] = u * (1 - weight)
	}
	for c, d := range demands {
		m.used[c] += weight * d.used
	}
	for service, c := range capacities {
		total, known := m.capacity[service]
		if !known {
			total = c.free + c.batch
		}
		m.capacity[service] = total + weight*(c.free+c.batch-total)
		m.sampleProgress(service, demands, now)
	}
}

// sampleProgress notes the progress of a service's best-effort work. What is completed while every task finds a worker
// says nothing about the capacity, so the samples begin when tasks wait for one.
func (m *outlookMeter) sampleProgress(service string, demands map[admitter.Class]*classDemand, now time.Time) {
	s := progressSample{at: now, done: make(map[admitter.Class]float64)}
	full := false
	for c, d := range demands {
		if c.Service == service && c.BestEffort {
			s.done[c], full = d.done, full || d.full
		}
	}
	if !full {
		delete(m.progress, service)
		return
	}
	samples := append(m.progress[service], s)
	if i := slices.IndexFunc(samples, func(s progressSample) bool { return now.Sub(s.at) <= maxBestEffortRateTime }); i > 0 {
		samples = slices.Delete(samples, 0, i)
	}
	m.progress[service] = samples
}

// bestEffortRates returns the core-seconds per second at which each class of best-effort work of a service was
// completed, and whether that was measured for long enough.
func (m *outlookMeter) bestEffortRates(service string) (map[admitter.Class]float64, bool) {
	samples := m.progress[service]
	if len(samples) == 0 {
		return nil, false
	}
	first, last := samples[0], samples[len(samples)-1]
	took := last.at.Sub(first.at)
	if took < bestEffortRateTime {
		return nil, false
	}
	rates := make(map[admitter.Class]float64)
	for c, done := range last.done {
		rates[c] = max(0, done-first.done[c]) / took.Seconds()
	}
	return rates, true
}

// AdmissionRequest returns what the admission needs to know about a job.
func (j *Job) AdmissionRequest() admitter.Request {
	r := admitter.Request{ID: j.ID, Queue: j.Policy.Queue, Stretch: j.Policy.Stretch, TargetDuration: j.Policy.TargetDuration,
		Class: admitter.Class{Service: j.Policy.Service, Priority: j.Policy.Priority, BestEffort: true}}
	if j.Occurrences > 0 {
		r.Exempt = "the job has occurrences"
	}
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		switch {
		case s.LongRunning:
			r.Exempt = "the job is long-running"
		case s.restricted():
			r.Exempt = "only some workers can run the job"
		}
		if !s.Fills {
			r.Class.BestEffort = false
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		r.Chain = max(r.Chain, ends[i])
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Fills && !r.Class.BestEffort {
			continue // other processors than those of the class
		}
		size := cores(s.Size.CPU)
		r.Work += float64(s.Count) * size * s.Estimate.Seconds()
		if len(s.After) > 0 {
			continue
		}
		if r.FirstCores == 0 || size < r.TaskCores {
			r.TaskCores = size
		}
		r.FirstCores += float64(s.Count) * size
	}
	return r
}
