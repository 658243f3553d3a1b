package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

// StatusPath is the path of the fleet's status on an entry host's MetricsAddress. The answer is a
// FleetStatus as JSON.
const StatusPath = "/status"

const (
	// maxHostSilence is the time without a ping after which a host counts as silent. Hosts ping at
	// least every yieldingPingInterval.
	maxHostSilence = 2 * time.Second
	// hostRetention is how long the status shows a silent host.
	hostRetention = 5 * time.Minute
	// recentForwardSeconds is for how many seconds a forwarded submission counts as recent. Operators who repeat the
	// status every few seconds then miss none.
	recentForwardSeconds = 10
)

// FleetStatus is what an entry host knows about the fleet. Ages refer to the time of the answer.
type FleetStatus struct {
	Host   HostStatus // the host that answers
	Leader *LeaderStatus
	// NoLeader says why Leader is nil.
	NoLeader string
}

// HostStatus describes an entry host.
type HostStatus struct {
	Name                 string
	FailureDomain        string
	Program              string // version of the program
	ConfigurationVersion uint64 // of the configuration in effect; 0: none
	ProcessorShare       float64
	Ready                bool
	Uptime               time.Duration // of its process, as of its last ping
	HeardAgo             time.Duration // since its last ping to the leader; 0 for the leader and the host that answers
	Silent               bool          // it has not pinged the leader for maxHostSilence
	// Forwarded is the number of submissions that it has sent to the leader in the last recentForwardSeconds, and
	// RefusedCallers that of the callers that it has refused and that have not been due to return yet. Both are as of
	// its last ping, and 0 for silent hosts and while the settings don't switch forwarding and readmission on.
	Forwarded      int `msgpack:",omitempty" json:",omitempty"`
	RefusedCallers int `msgpack:",omitempty" json:",omitempty"`
	// UnknownSettings is the number of sections and keys of its settings file that its program does not know.
	UnknownSettings int `msgpack:",omitempty" json:",omitempty"`
}

// LeaderStatus is the leader's view of the fleet.
type LeaderStatus struct {
	Host               HostStatus
	Epoch              uint64
	LeadingFor         time.Duration // since its election
	Loaded             bool          // it has read the state of earlier leaders and sends orders
	Lag                time.Duration // how late its last regular event was applied
	StoreSilence       time.Duration // since it sent the last write that the store has confirmed
	Processors         float64       // processors that its process used in the last second or so
	DisabledMechanisms string        // separated by commas
	Hosts              []HostStatus  // all hosts that have pinged this leader within hostRetention, by name, without the leader
	Workers            orchestrator.Status
	Outlook            []admitter.Entry `msgpack:",omitempty" json:",omitempty"` // of Settings.Admission
}

// hostTable holds the hosts that have pinged a leader. It is safe for concurrent use.
type hostTable struct {
	mu        sync.Mutex // guards the fields below
	hosts     map[string]heardHost
	counted   int // result of count at countedAt
	countedAt time.Time
}

type heardHost struct {
	status   HostStatus
	at       time.Time // of its last ping
	restarts int       // starts of its process that this leader has seen
}

func (t *hostTable) record(h HostStatus, now time.Time) {
	if h.Name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hosts == nil {
		t.hosts = make(map[string]heardHost)
	}
	last, known := t.hosts[h.Name]
	restarts := last.restarts
	if known && h.Uptime < last.status.Uptime {
		restarts++
	}
	t.hosts[h.Name] = heardHost{status: h, at: now, restarts: restarts}
}

// hostCountMaxAge bounds the age of a cached number of hosts. Each ping asks for it.
const hostCountMaxAge = 100 * time.Millisecond

// count returns the number of hosts that are not silent.
func (t *hostTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.countedAt) < hostCountMaxAge {
		return t.counted
	}
	n := 0
	for _, h := range t.hosts {
		if now.Sub(h.at) < maxHostSilence {
			n++
		}
	}
	t.counted, t.countedAt = n, now
	return n
}

// maxPreferredRestarts is the number of restarts up to which a host may be preferred as successor.
// A host with more of them may be restarting for a fault of its own.
const maxPreferredRestarts = 1

// preferredSuccessor returns the host that should lead after this host, which is being stopped, or
// an empty string for any. During a rolling restart, hosts that have already been restarted will not
// be stopped next; the one that was restarted last is the surest of them. own is this host.
func (t *hostTable) preferredSuccessor(own HostStatus, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	preferred := HostStatus{Uptime: own.Uptime}
	for _, h := range t.hosts {
		s := h.status
		if !s.Ready || now.Sub(h.at) >= maxHostSilence || h.restarts > maxPreferredRestarts || s.ProcessorShare < minProcessorShareRatio*own.ProcessorShare {
			continue
		}
		s.Uptime += now.Sub(h.at)
		if s.Uptime < preferred.Uptime {
			preferred = s
		}
	}
	return preferred.Name
}

// largestShare returns the largest processor share of the hosts that could lead.
func (t *hostTable) largestShare(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := 0.0
	for _, h := range t.hosts {
		if h.status.Ready && now.Sub(h.at) < maxHostSilence {
			share = max(share, h.status.ProcessorShare)
		}
	}
	return share
}

// list returns the hosts, sorted by name, and forgets those that have been silent for
// hostRetention.
func (t *hostTable) list(now time.Time) []HostStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]HostStatus, 0, len(t.hosts))
	for name, h := range t.hosts {
		h.status.HeardAgo = now.Sub(h.at)
		h.status.Silent = h.status.HeardAgo >= maxHostSilence
		if h.status.HeardAgo >= hostRetention {
			delete(t.hosts, name)
			continue
		}
		if h.status.Silent {
			h.status.Forwarded, h.status.RefusedCallers = 0, 0 // they describe seconds that have passed
		}
		hosts = append(hosts, h.status)
	}
	slices.SortFunc(hosts, func(a, b HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// recentCounter counts the events of the last recentForwardSeconds; the current second is the last of them. It is safe
// for concurrent use.
type recentCounter struct {
	mu      sync.Mutex // guards seconds
	seconds [recentForwardSeconds]struct {
		second int64 // Unix time
		count  int
	}
}

func (r *recentCounter) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.seconds[now.Unix()%recentForwardSeconds]
	if s.second != now.Unix() {
		s.second, s.count = now.Unix(), 0
	}
	s.count++
}

func (r *recentCounter) count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.seconds {
		if now.Unix()-s.second < recentForwardSeconds {
			n += s.count
		}
	}
	return n
}

// processorMeter measures the processors that this process uses. sample must not be called
// concurrently.
type processorMeter struct {
	used        time.Duration // as of sampledAt
	sampledAt   time.Time
	microshares atomic.Int64 // processors in use, in millionths
}

// processorSampleInterval is the shortest time over which the use of processors is measured.
const processorSampleInterval = time.Second

func (m *processorMeter) sample(now time.Time) {
	if now.Sub(m.sampledAt) < processorSampleInterval {
		return
	}
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return
	}
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	if !m.sampledAt.IsZero() {
		m.microshares.Store(int64(1e6 * float64(used-m.used) / float64(now.Sub(m.sampledAt))))
	}
	m.used, m.sampledAt = used, now
}

func (m *processorMeter) processors() float64 { return float64(m.microshares.Load()) / 1e6 }

// hostStatus describes this host.
func (c *Coordinator) hostStatus() HostStatus {
	now := timekeeper.Now()
	return HostStatus{
		Name: c.settings.Name, FailureDomain: c.settings.FailureDomain, Program: c.deps.Program, ConfigurationVersion: c.configVersion(),
		ProcessorShare: c.settings.ProcessorShare, Ready: c.Ready(), Uptime: now.Sub(c.startedAt), UnknownSettings: c.deps.UnknownSettings,
		Forwarded: c.recentForwards.count(now), RefusedCallers: c.returns.waiting(now),
	}
}

// status describes the fleet. The orchestrator's part is missing after a panic of it.
func (ld *leadership) status() LeaderStatus {
	now := timekeeper.Now()
	s := LeaderStatus{
		Host: ld.c.hostStatus(), Epoch: ld.term.Revision, LeadingFor: now.Sub(ld.electedAt), Lag: time.Duration(ld.lag.Load()),
		StoreSilence: ld.timeSinceConfirmedWrite(), Processors: ld.processors.processors(),
		DisabledMechanisms: ld.c.settings.DisabledMechanisms.String(), Hosts: ld.hosts.list(now),
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.failed {
		return s
	}
	s.Loaded = ld.loaded && !ld.handingOver && !ld.deposed.Load()
	s.Workers = ld.orch.Status(now)
	o, _ := ld.lockedOutlook()
	s.Outlook = o.Entries
	return s
}

type statusRequest struct{}

// statusAnswer is the leader's status, nil if the host does not lead.
type statusAnswer struct{ Leader *LeaderStatus }

func (c *Coordinator) serveStatus(context.Context, statusRequest) (statusAnswer, error) {
	ld := c.currentLeadership()
	if ld == nil {
		return statusAnswer{}, nil
	}
	s := ld.status()
	return statusAnswer{Leader: &s}, nil
}

// FleetStatus describes the fleet. If this host does not lead, it asks the leader.
func (c *Coordinator) FleetStatus(ctx context.Context) FleetStatus {
	s := FleetStatus{Host: c.hostStatus()}
	if ld := c.currentLeadership(); ld != nil {
		leader := ld.status()
		s.Leader = &leader
		return s
	}
	t, known := c.currentTerm()
	if !known || !t.address().IsValid() {
		s.NoLeader = "no leader is known to this host"
		return s
	}
	var a statusAnswer
	if err := c.client(t.address()).Invoke(ctx, leaderCallTimeout, methodStatus, &statusRequest{}, &a); err != nil {
		s.NoLeader = "leader " + t.Host + " did not answer: " + err.Error()
		return s
	}
	if a.Leader == nil {
		s.NoLeader = "host " + t.Host + ", which this host knows as leader, does not lead"
	}
	s.Leader = a.Leader
	return s
}

// handleStatus serves StatusPath.
func (c *Coordinator) handleStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(c.FleetStatus(r.Context())); err != nil {
		c.log.Debug("StatusNotSent", "Cause", err.Error())
	}
}
