//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat       = 1500 * time.Millisecond
	holdMax         = 10 * time.Second
	stopTime        = 100 * time.Millisecond
	maxWait         = 2 * time.Second
	checkpointEvery = time.Second
	endsAtOnce      = 500
	startupTime     = 500 * time.Millisecond // of a task that lasts
)

// run is a run of a task on a minion.
type run struct {
	task   string
	number int
	size   resources
	length time.Duration // 0: until it is stopped
	began  time.Time
	stopAt time.Time // zero: it is not being stopped
	saves  int       // bytes of the saved value, 0: none
	fails  bool
}

type ended struct {
	number int
	task   string
	run    int
	how    string
	saved  string
	listed time.Time
}

type resources struct{ cpu, mem int }

// minion is a stand-in of a minion, one life of it.
type minion struct {
	id, zone, kind, rack, service, address string
	room                                   resources
	fleet                                  *fleet
	born                                   time.Time

	mu       sync.Mutex
	seq      int
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int // highest run that was stopped or has ended, by task
	ends     []ended
	endCount int
	changed  chan struct{}
	leaves   time.Time // zero: it does not drain
	gone     bool
	stops    func() // closes its address
}

func newMinion(f *fleet, id, zone, kind, rack string, room resources) (*minion, error) {
	m := &minion{id: id, zone: zone, kind: kind, rack: rack, service: serviceName, room: room, fleet: f, born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peridotpitch/run-start", m.command(m.start))
	mux.HandleFunc("POST /peridotpitch/run-stop", m.command(m.stop))
	mux.HandleFunc("POST /peridotpitch/pace", m.command(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /peridotpitch/hold", m.hold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{Handler: mux}
	m.stops = func() { _ = server.Close() }
	go server.Serve(l)
	m.beat()
	go func() {
		for range time.Tick(heartbeat) {
			m.beat()
		}
	}()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			m.advance()
		}
	}()
	return m, nil
}

// beat writes the entry in the store.
func (m *minion) beat() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		return
	}
	m.seq++
	state := "ready"
	if !m.leaves.IsZero() {
		state = "draining"
	}
	b := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":8,"state":%q,"warmupLeftMs":0,"room":{"cpu":%d,"memMb":%d,"gpu":0},"labels":[%q,%q],"clockMs":%d,"seq":%d,"born":%d}`,
		m.service, m.address, m.zone, state, m.room.cpu, m.room.mem, m.kind, m.rack, m.clock(), m.seq, m.born.UnixMilli())
	m.mu.Unlock()
	m.fleet.store.put("servers/"+m.id, b)
}

// crash ends the minion for good. Its entry is removed after three heartbeats.
func (m *minion) crash() {
	m.fleet.record.line("%s crashes and is gone for good", m.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	for task, r := range m.runs {
		delete(m.runs, task)
		m.fleet.ended(m, r, "lost with its minion")
	}
	m.stops()
	time.AfterFunc(3*heartbeat, func() { m.fleet.store.put("servers/"+m.id, nil) })
}

// drain announces that the minion leaves after a time, and ends it then.
func (m *minion) drain(after time.Duration) {
	m.fleet.record.line("%s drains, and leaves in %s", m.id, after)
	m.mu.Lock()
	m.leaves = time.Now().Add(after)
	m.mu.Unlock()
	m.beat()
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.gone = true
		for task, r := range m.runs {
			delete(m.runs, task)
			m.fleet.ended(m, r, "left with its minion")
		}
		m.stops()
		m.fleet.store.put("servers/"+m.id, nil)
		m.fleet.record.line("%s has left", m.id)
	})
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// order is the body of a call.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	Saved        string `json:"saved"`
	Ticket       string `json:"ticket"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Fence        uint64 `json:"fence"`
	AckedThrough int    `json:"ackedUpto"`
	WaitMs       int64  `json:"waitMs"`
}

func (m *minion) decode(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.WaitMs < 0 || o.WaitMs > maxWait.Milliseconds() {
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": m.clock()})
		return o, false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": m.clock()})
		return o, false
	}
	return o, true
}

// command returns a handler that executes f unless the fence is lower than an earlier one.
func (m *minion) command(f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := m.decode(w, r)
		if !ok {
			return
		}
		m.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= m.fence {
			m.fence = o.Fence
			status, reason = f(o)
		}
		body := map[string]any{"clockMs": m.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		m.mu.Unlock()
		reply(w, status, body)
	}
}

func (m *minion) extend(deadlineMs int64) {
	end := m.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
}

// start executes a start. m.mu must be held.
func (m *minion) start(o order) (int, string) {
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	b, known := m.fleet.behavior(o.Task, o.Spec)
	switch {
	case !known:
		m.fleet.record.line("UNASKED %s starts on %s, and nobody has sent it", o.Task, m.id)
		return http.StatusBadRequest, ""
	case o.Run <= m.highest[o.Task] || m.runs[o.Task] != nil:
		m.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	case o.DeadlineMs <= m.clock():
		return http.StatusConflict, "late"
	case m.fleet.policy != nil && !m.fleet.policy.valid(o.Task, m.id, o.Ticket):
		m.fleet.record.count("rejected for want of a ticket")
		return http.StatusConflict, "ticket"
	}
	used := b.size
	for _, r := range m.runs {
		used.cpu, used.mem = used.cpu+r.size.cpu, used.mem+r.size.mem
	}
	if used.cpu > m.room.cpu || used.mem > m.room.mem {
		m.extend(o.DeadlineMs)
		m.fleet.record.count("rejected for want of room")
		return http.StatusConflict, "room"
	}
	m.extend(o.DeadlineMs)
	r := &run{task: o.Task, number: o.Run, size: b.size, length: b.length, began: time.Now(), saves: b.saves, fails: b.fails}
	m.runs[o.Task] = r
	m.fleet.started(m, r)
	return http.StatusOK, ""
}

// stop executes a stop. m.mu must be held.
func (m *minion) stop(o order) (int, string) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// saved returns the saved value of a run: a new one with each checkpointEvery of work.
func (r *run) saved(now time.Time, stopped bool) string {
	n := int(now.Sub(r.began) / checkpointEvery)
	if r.saves == 0 || n == 0 && !stopped {
		return ""
	}
	s := fmt.Sprintf("%08x-%s-%d-", n, r.task, r.number)
	return s + strings.Repeat("0", max(0, r.saves-len(s)))
}

// advance ends the runs that are done, stopped or without a lease.
func (m *minion) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.gone {
		return
	}
	for task, r := range m.runs {
		how := ""
		switch {
		case now.After(m.leaseEnd):
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.length > 0 && now.Sub(r.began) >= r.length:
			how = "done"
			if r.fails {
				how = "failed"
			}
		default:
			continue
		}
		delete(m.runs, task)
		m.highest[task] = max(m.highest[task], r.number)
		m.endCount++
		e := ended{number: m.endCount, task: task, run: r.number, how: how}
		if how != "done" && how != "lapsed" {
			e.saved = r.saved(now, how == "stopped")
		}
		m.ends = append(m.ends, e)
		m.fleet.ended(m, r, how)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	if o.Fence < m.fence {
		body := map[string]any{"clockMs": m.clock(), "reason": "fence"}
		m.mu.Unlock()
		reply(w, http.StatusConflict, body)
		return
	}
	m.fence = o.Fence
	m.extend(o.DeadlineMs)
	for len(m.ends) > 0 && m.ends[0].number <= o.AckedThrough {
		m.fleet.acked(m.ends[0])
		m.ends = m.ends[1:]
	}
	changed, pending := m.changed, len(m.ends) > 0
	m.mu.Unlock()
	if o.WaitMs > 0 && !pending {
		t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	now := time.Now()
	body := struct {
		ClockMs        int64    `json:"clockMs"`
		Born           int64    `json:"born"`
		DrainRemaining int64    `json:"drainRemainingMs,omitempty"`
		Running        [][5]any `json:"running"`
		Ended          [][5]any `json:"ended"`
	}{ClockMs: m.clock(), Born: m.born.UnixMilli(), Running: [][5]any{}, Ended: [][5]any{}}
	if !m.leaves.IsZero() {
		body.DrainRemaining = max(1, time.Until(m.leaves).Milliseconds())
	}
	for _, r := range m.runs {
		percent := 0
		switch {
		case r.length == 0 && now.Sub(r.began) >= startupTime:
			percent = 100
		case r.length > 0:
			percent = min(99, int(100*now.Sub(r.began)/r.length))
		}
		body.Running = append(body.Running, [5]any{r.task, r.number, r.saved(now, false), percent, r.size.cpu})
	}
	for i := range m.ends[:min(len(m.ends), endsAtOnce)] {
		e := &m.ends[i]
		if e.listed.IsZero() {
			e.listed = now
			m.fleet.listed(*e)
		}
		body.Ended = append(body.Ended, [5]any{e.number, e.task, e.run, e.how, e.saved})
	}
	m.mu.Unlock()
	reply(w, http.StatusOK, body)
}
