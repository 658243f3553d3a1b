//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of a minion, from PROTOCOL.md and the sheet of dbrw-sched.
const (
	endsAtOnce    = 500
	maxHold       = 10 * time.Second
	stopTime      = 100 * time.Millisecond // at most stopMs
	heartbeatTime = 1500 * time.Millisecond
	workerTick    = 5 * time.Millisecond
)

// taskRun is a run of a task as the minions saw it.
type taskRun struct {
	task      string
	run       int
	worker    string
	startedAt time.Time
	endedAt   time.Time // zero: it runs
	how       string
	lapsed    bool      // the lease lapsed after the end, before it was taken note of
	ackedAt   time.Time // when the end was taken note of; zero: not
}

// ledger holds all runs and writes the record of the case.
type ledger struct {
	mu    sync.Mutex // guards the fields below
	begin time.Time
	runs  map[string][]*taskRun // by task
	lines []string
	// onStart is called with each run that starts; nil: nothing is called.
	onStart func(*taskRun)
}

func newLedger() *ledger { return &ledger{begin: time.Now(), runs: make(map[string][]*taskRun)} }

func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lockedNote(format, args...)
}

func (l *ledger) lockedNote(format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%8.3f  ", time.Since(l.begin).Seconds())+fmt.Sprintf(format, args...))
}

// noteRuns notes all runs, in the order of their starts.
func (l *ledger) noteRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*taskRun
	for _, runs := range l.runs {
		all = append(all, runs...)
	}
	slices.SortFunc(all, func(a, b *taskRun) int { return a.startedAt.Compare(b.startedAt) })
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(l.begin).Seconds())
	}
	for _, r := range all {
		l.lines = append(l.lines, fmt.Sprintf("run %s %d on %s: started %s, ended %s %s, taken note of %s, lapsed since %t", r.task, r.run, r.worker, since(r.startedAt), since(r.endedAt), r.how, since(r.ackedAt), r.lapsed))
	}
}

// notDone returns the tasks of a list of which no run has ended done.
func (l *ledger) notDone(tasks []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(tasks), func(task string) bool {
		return slices.ContainsFunc(l.runs[task], func(r *taskRun) bool { return r.how == "done" })
	})
}

// twice returns the breaks of TWICE: two runs of a task at the same time, and starts after an end done that was taken
// note of, unless the minion's lease lapsed between the two.
func (l *ledger) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []string
	for task, runs := range l.runs {
		for i, a := range runs {
			for j, b := range runs {
				if i == j || b.startedAt.Before(a.startedAt) {
					continue
				}
				switch {
				case a.endedAt.IsZero() || b.startedAt.Before(a.endedAt):
					if i < j {
						breaks = append(breaks, fmt.Sprintf("%s: run %d on %s starts at %.3f while run %d runs on %s", task, b.run, b.worker, b.startedAt.Sub(l.begin).Seconds(), a.run, a.worker))
					}
				case a.how == "done" && !a.ackedAt.IsZero() && !a.lapsed:
					breaks = append(breaks, fmt.Sprintf("%s: run %d starts on %s at %.3f after run %d has ended done on %s at %.3f, taken note of at %.3f", task, b.run, b.worker,
						b.startedAt.Sub(l.begin).Seconds(), a.run, a.worker, a.endedAt.Sub(l.begin).Seconds(), a.ackedAt.Sub(l.begin).Seconds()))
				}
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}

type endedRun struct {
	number int
	run    *taskRun
}

type liveRun struct {
	record   *taskRun
	endsAt   time.Time // zero: it runs until it is stopped
	stopping bool
	size     int // millicores
}

// worker is a stand-in of a minion that guards its room.
type worker struct {
	id, service, zone, kind, rack string
	cores                         int
	store                         *store
	ledger                        *ledger
	size                          func(task string) int // millicores
	listener                      net.Listener
	server                        *http.Server

	mu       sync.Mutex // guards the fields below
	born     time.Time
	seq      int
	fence    uint64
	leaseEnd time.Time
	live     map[string]*liveRun
	highest  map[string]int // highest run that was stopped or ended, by task
	ended    []endedRun
	ends     int
	changed  chan struct{}
	crash    chan struct{} // closed when the minion is told to start a task, in place of the start; nil: it starts
	mostEnds int           // most ends that were listed and not taken note of at one time
}

func newWorker(s *store, l *ledger, id, service, zone, kind, rack string, cores int, address string, size func(string) int) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, kind: kind, rack: rack, cores: cores, store: s, ledger: l, size: size, listener: listener,
		born: time.Now(), live: make(map[string]*liveRun), highest: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peridotpitch/run-start", w.command(w.start))
	mux.HandleFunc("POST /peridotpitch/run-stop", w.command(w.stop))
	mux.HandleFunc("POST /peridotpitch/pace", w.command(func(command) (int, string) { return 200, "" }))
	mux.HandleFunc("POST /peridotpitch/hold", w.hold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.announce()
	go func() {
		beat := time.NewTicker(heartbeatTime)
		for range beat.C {
			w.announce()
		}
	}()
	go func() {
		for range time.Tick(workerTick) {
			w.endRuns()
		}
	}()
	return w, nil
}

// announce writes the minion's entry.
func (w *worker) announce() {
	w.mu.Lock()
	w.seq++
	b, err := json.Marshal(map[string]any{"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "capacity": 8, "state": "ready",
		"warmupLeftMs": 0, "room": map[string]int{"cpu": 1000 * w.cores, "memMb": 128000, "gpu": 0}, "labels": []string{w.kind, w.rack}, "clockMs": time.Since(w.born).Milliseconds(),
		"seq": w.seq, "born": w.born.UnixMilli()})
	w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.store.put("servers/"+w.id, b)
}

// restart ends the minion's process and starts another one after down, under its id and at its address. The new one
// knows nothing of before.
func (w *worker) restart(down time.Duration) error {
	_ = w.server.Close() // resets its connections
	w.mu.Lock()
	now := time.Now()
	w.ledger.mu.Lock()
	for _, r := range w.live {
		r.record.endedAt, r.record.how = now, "crashed"
	}
	for _, e := range w.ended {
		e.run.lapsed = true
	}
	w.ledger.lockedNote("%s crashes with %d runs", w.id, len(w.live))
	w.ledger.mu.Unlock()
	w.live, w.highest, w.ended, w.ends, w.fence, w.leaseEnd = make(map[string]*liveRun), make(map[string]int), nil, 0, 0, time.Time{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	time.Sleep(down)
	w.mu.Lock()
	w.born = time.Now()
	w.mu.Unlock()
	l, err := net.Listen("tcp", w.listener.Addr().String())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.server = l, &http.Server{Handler: w.server.Handler}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.announce()
	return nil
}

// crashAtStart makes the minion crash when it is next told to start a task within a time, and start again after down. It
// reports whether it has.
func (w *worker) crashAtStart(within, down time.Duration) (bool, error) {
	told := make(chan struct{})
	w.mu.Lock()
	w.crash = told
	w.mu.Unlock()
	select {
	case <-told:
		return true, w.restart(down)
	case <-time.After(within):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crash == nil { // it was told just now
		w.mu.Unlock()
		err := w.restart(down)
		w.mu.Lock()
		return true, err
	}
	w.crash = nil
	return false, nil
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
}

func (w *worker) command(f func(command) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			reply(rw, 400, struct{}{})
			return
		}
		if r.Header.Get("Expect-Instance") != w.id {
			reply(rw, 421, struct{}{})
			return
		}
		w.mu.Lock()
		if w.crash != nil && strings.HasSuffix(r.URL.Path, "/run-start") {
			close(w.crash)
			w.crash = nil
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		status, reason := 409, "fence"
		if c.Fence >= w.fence {
			w.fence = c.Fence
			status, reason = f(c)
		}
		body := map[string]any{"clockMs": time.Since(w.born).Milliseconds()}
		w.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		reply(rw, status, body)
	}
}

// start starts a run. w.mu must be held.
func (w *worker) start(c command) (int, string) {
	if r := w.live[c.Task]; r != nil && r.record.run == c.Run {
		return 200, ""
	}
	if c.Run <= w.highest[c.Task] || w.live[c.Task] != nil {
		w.extend(c.DeadlineMs)
		return 409, "old"
	}
	if !w.born.Add(time.Duration(c.DeadlineMs) * time.Millisecond).After(time.Now()) {
		return 409, "late"
	}
	w.extend(c.DeadlineMs)
	used := w.size(c.Task)
	for _, r := range w.live {
		used += r.size
	}
	if used > 1000*w.cores {
		return 409, "room"
	}
	now := time.Now()
	r := &liveRun{record: &taskRun{task: c.Task, run: c.Run, worker: w.id, startedAt: now}, size: w.size(c.Task)}
	if d, err := time.ParseDuration(c.Spec); err == nil {
		r.endsAt = now.Add(d)
	}
	w.live[c.Task] = r
	w.ledger.mu.Lock()
	w.ledger.runs[c.Task] = append(w.ledger.runs[c.Task], r.record)
	onStart := w.ledger.onStart
	w.ledger.mu.Unlock()
	if onStart != nil {
		onStart(r.record)
	}
	return 200, ""
}

// stop stops a run. w.mu must be held.
func (w *worker) stop(c command) (int, string) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.live[c.Task]; r != nil && r.record.run <= c.Run && !r.stopping {
		r.stopping, r.endsAt = true, time.Now().Add(stopTime)
	}
	return 200, ""
}

// extend extends the lease. w.mu must be held.
func (w *worker) extend(deadlineMs int64) {
	d := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(maxHold); d.After(limit) {
		d = limit
	}
	if d.After(w.leaseEnd) {
		w.leaseEnd = d
	}
}

// endRuns ends the runs that are done, stopped or without a lease.
func (w *worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	lapsed := now.After(w.leaseEnd)
	var over []*liveRun
	for _, r := range w.live {
		if lapsed || !r.endsAt.IsZero() && now.After(r.endsAt) {
			over = append(over, r)
		}
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	if lapsed {
		for _, e := range w.ended {
			e.run.lapsed = true
		}
	}
	if len(over) == 0 {
		return
	}
	slices.SortFunc(over, func(a, b *liveRun) int { return a.endsAt.Compare(b.endsAt) })
	for _, r := range over {
		how := "done"
		switch {
		case lapsed:
			how = "lapsed"
		case r.stopping:
			how = "stopped"
		}
		r.record.endedAt, r.record.how = now, how
		delete(w.live, r.record.task)
		w.highest[r.record.task] = max(w.highest[r.record.task], r.record.run)
		w.ends++
		w.ended = append(w.ended, endedRun{w.ends, r.record})
	}
	w.mostEnds = max(w.mostEnds, len(w.ended))
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		Fence      uint64 `json:"fence"`
		AckedUpto  int    `json:"ackedUpto"`
		DeadlineMs int64  `json:"deadlineMs"`
		WaitMs     int64  `json:"waitMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, 400, struct{}{})
		return
	}
	if r.Header.Get("Expect-Instance") != w.id {
		reply(rw, 421, struct{}{})
		return
	}
	w.mu.Lock()
	if c.Fence < w.fence {
		w.mu.Unlock()
		reply(rw, 409, map[string]any{"clockMs": time.Since(w.born).Milliseconds(), "reason": "fence"})
		return
	}
	w.fence = c.Fence
	w.extend(c.DeadlineMs)
	w.ledger.mu.Lock()
	if c.AckedUpto > w.ends && len(w.ended) > 0 {
		w.ledger.lockedNote("%s: ackedUpto is %d, but this life has %d ends, the first of %s run %d", w.id, c.AckedUpto, w.ends, w.ended[0].run.task, w.ended[0].run.run)
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.AckedUpto {
		w.ended[0].run.ackedAt = time.Now()
		w.ended = w.ended[1:]
	}
	w.ledger.mu.Unlock()
	wait, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	body := struct {
		ClockMs int64    `json:"clockMs"`
		Born    int64    `json:"born"`
		Running [][5]any `json:"running"`
		Ended   [][5]any `json:"ended"`
	}{time.Since(w.born).Milliseconds(), w.born.UnixMilli(), [][5]any{}, [][5]any{}}
	now := time.Now()
	for _, l := range w.live {
		percent := 100
		if !l.endsAt.IsZero() && !l.stopping {
			percent = int(100 * now.Sub(l.record.startedAt) / cmp.Or(l.endsAt.Sub(l.record.startedAt), 1))
		}
		body.Running = append(body.Running, [5]any{l.record.task, l.record.run, "", min(99, percent), l.size})
	}
	for _, e := range w.ended[:min(len(w.ended), endsAtOnce)] {
		body.Ended = append(body.Ended, [5]any{e.number, e.run.task, e.run.run, e.run.how, ""})
	}
	w.mu.Unlock()
	reply(rw, 200, body)
}
