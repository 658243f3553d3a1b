package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/storer"
)

const (
	// HeartbeatTimeout is the time without a heartbeat after which an entry host counts as
	// down: three heartbeat intervals of 500 ms.
	HeartbeatTimeout = 1500 * time.Millisecond
	// LiveConfirmationTime is how long the platform's host list must report a leaving host as live
	// without interruption before it counts as live again. The list lags and may flap; a host
	// that counted as live too early would get new work while it is leaving.
	LiveConfirmationTime = 60 * time.Second
	// maxNotices limits the number of stored notices. It is about twice the number of hosts
	// expected in two years.
	maxNotices = 4096
	// maxWithdrawnNotices limits the number of stored notices about hosts that are no longer
	// leaving. Without a limit, 380 restarts in a day add 25 KB to each heartbeat.
	maxWithdrawnNotices = 100
)

// noticeKey identifies a notice. Each source has its own notice about a host.
type noticeKey struct {
	host   string
	source messenger.NoticeSource
}

// peer is the state of another entry host.
type peer struct {
	identity      messenger.Identity
	lastHeartbeat time.Time
	// crashedAt is the time of the last heartbeat of the latest earlier process that ended
	// without draining; zero if there is none.
	crashedAt time.Time
}

// Registrar holds the membership state. It is safe for concurrent use.
type Registrar struct {
	mu            sync.Mutex
	peers         map[string]peer
	notices       map[noticeKey]messenger.HostNotice
	liveSince     map[string]time.Time // since when the platform's list reports a leaving host as live
	listedLeaving map[string]bool      // hosts that are leaving according to the latest list
	withdrawn     []noticeKey          // keys of withdrawn notices, oldest first
}

// New returns a Registrar without peers and notices.
func New() *Registrar {
	return &Registrar{
		peers:         make(map[string]peer),
		notices:       make(map[noticeKey]messenger.HostNotice),
		liveSince:     make(map[string]time.Time),
		listedLeaving: make(map[string]bool),
	}
}

// RecordIdentity records the identity of the sender of a heartbeat or of an answer to a heartbeat,
// and merges its notices about leaving hosts. It returns the hosts that count as leaving now and did
// not before.
func (r *Registrar) RecordIdentity(m messenger.Identity, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.peers[m.Host]
	crashedAt := previous.crashedAt
	if known && previous.identity.Incarnation != m.Incarnation {
		r.withdrawOwnNotice(m.Host)
		if !previous.identity.Drained {
			crashedAt = previous.lastHeartbeat
		}
	}
	r.peers[m.Host] = peer{identity: m, lastHeartbeat: now, crashedAt: crashedAt}
	var added []string
	if m.Leaving && r.setNotice(m.Host, messenger.SourceHost, true) {
		added = append(added, m.Host)
	}
	for _, n := range m.Notices {
		was := r.isLeaving(n.Host)
		r.mergeNotice(n)
		if !was && r.isLeaving(n.Host) {
			added = append(added, n.Host)
		}
	}
	return added
}

// RecordHostList records the platform's host list. It returns the hosts that count as leaving now
// and did not before.
func (r *Registrar) RecordHostList(l storer.HostList, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	for _, h := range l.Hosts {
		if h.State == storer.HostLeaving {
			delete(r.liveSince, h.Name)
			r.listedLeaving[h.Name] = true
			if r.setNotice(h.Name, messenger.SourcePlatform, true) {
				added = append(added, h.Name)
			}
			continue
		}
		delete(r.listedLeaving, h.Name)
		r.confirmLive(h.Name, now)
	}
	return added
}

// confirmLive withdraws the platform's notice once the list has reported the host as live for
// LiveConfirmationTime.
func (r *Registrar) confirmLive(host string, now time.Time) {
	n, ok := r.notices[noticeKey{host, messenger.SourcePlatform}]
	if !ok || !n.Leaving {
		return
	}
	since, ok := r.liveSince[host]
	if !ok {
		r.liveSince[host] = now
		return
	}
	if now.Sub(since) >= LiveConfirmationTime {
		delete(r.liveSince, host)
		r.setNotice(host, messenger.SourcePlatform, false)
	}
}

// SetLeaving records that an operator or the host itself declares a host leaving or no longer
// leaving. It reports whether the host's state changed.
func (r *Registrar) SetLeaving(host string, source messenger.NoticeSource, leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.isLeaving(host)
	r.setNotice(host, source, leaving)
	return was != r.isLeaving(host)
}

// withdrawOwnNotice withdraws the notice in which an earlier process of the host said that the host
// was leaving.
func (r *Registrar) withdrawOwnNotice(host string) {
	if n, ok := r.notices[noticeKey{host, messenger.SourceHost}]; ok && n.Leaving {
		r.setNotice(host, messenger.SourceHost, false)
	}
}

// setNotice records a notice that originates at this entry host, with the next version. It reports
// whether the host that the notice is about counts as leaving now and did not before.
func (r *Registrar) setNotice(host string, source messenger.NoticeSource, leaving bool) bool {
	key := noticeKey{host, source}
	old, ok := r.notices[key]
	if ok && old.Leaving == leaving || !ok && !leaving {
		return false
	}
	was := r.isLeaving(host)
	r.storeNotice(messenger.HostNotice{Host: host, Source: source, Leaving: leaving, Version: old.Version + 1})
	return !was && leaving
}

// mergeNotice records a notice from a heartbeat unless the stored one takes precedence: the
// higher version wins, and in a tie the notice that says leaving.
func (r *Registrar) mergeNotice(n messenger.HostNotice) {
	old, ok := r.notices[noticeKey{n.Host, n.Source}]
	// A withdrawn notice that this entry host has evicted must not be added again by a peer that
	// still has it.
	if !ok && !n.Leaving {
		return
	}
	if ok && (n.Version < old.Version || n.Version == old.Version && old.Leaving) {
		return
	}
	// The peer may have withdrawn the platform's notice because of a host list that is older than
	// the list that this host has read. The higher version makes the notice that says leaving
	// prevail on all entry hosts.
	if n.Source == messenger.SourcePlatform && !n.Leaving && r.listedLeaving[n.Host] {
		n.Leaving = true
		n.Version++
	}
	r.storeNotice(n)
}

// storeNotice stores a notice and evicts the oldest withdrawn ones beyond
// maxWithdrawnNotices. A new notice is dropped if there are maxNotices already.
func (r *Registrar) storeNotice(n messenger.HostNotice) {
	key := noticeKey{n.Host, n.Source}
	if _, ok := r.notices[key]; !ok && len(r.notices) >= maxNotices {
		return
	}
	r.notices[key] = n
	if n.Leaving {
		return
	}
	r.withdrawn = append(r.withdrawn, key)
	for len(r.withdrawn) > maxWithdrawnNotices {
		oldest := r.withdrawn[0]
		r.withdrawn = r.withdrawn[1:]
		// A notice that says leaving again must stay, because its host would otherwise get new
		// work.
		if !r.notices[oldest].Leaving && !slices.Contains(r.withdrawn, oldest) {
			delete(r.notices, oldest)
		}
	}
}

// isLeaving is Leaving for callers that hold mu.
func (r *Registrar) isLeaving(host string) bool {
	for _, s := range []messenger.NoticeSource{messenger.SourcePlatform, messenger.SourceOperator, messenger.SourceHost} {
		if r.notices[noticeKey{host, s}].Leaving {
			return true
		}
	}
	return false
}

// Leaving reports whether the host is leaving according to any source.
func (r *Registrar) Leaving(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLeaving(host)
}

// LeavingHosts returns the names of all leaving hosts, sorted.
func (r *Registrar) LeavingHosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	for k, n := range r.notices {
		if n.Leaving {
			seen[k.host] = true
		}
	}
	hosts := make([]string, 0, len(seen))
	for h := range seen {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// Notices returns all notices, sorted by host and source.
func (r *Registrar) Notices() []messenger.HostNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedNotices()
}

// Exchange returns the digest of the notices that say leaving, and the notices to send to the
// peer: none if the peer's last message had the same digest.
func (r *Registrar) Exchange(peer string) (uint64, []messenger.HostNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notices := r.sortedNotices()
	digest := noticeDigest(notices)
	if p, ok := r.peers[peer]; ok && p.identity.NoticeDigest == digest {
		return digest, nil
	}
	return digest, notices
}

// noticeDigest returns a digest of the notices that say leaving, or 0 if there are none.
func noticeDigest(notices []messenger.HostNotice) uint64 {
	d := xxhash.New()
	leaving := false
	for _, n := range notices {
		if n.Leaving {
			leaving = true
			_, _ = fmt.Fprintf(d, "%s\x00%s\x00%d\x00", n.Host, n.Source, n.Version) // documented by xxhash to return no error
		}
	}
	if !leaving {
		return 0
	}
	return d.Sum64()
}

func (r *Registrar) sortedNotices() []messenger.HostNotice {
	notices := make([]messenger.HostNotice, 0, len(r.notices))
	for _, n := range r.notices {
		notices = append(notices, n)
	}
	slices.SortFunc(notices, func(a, b messenger.HostNotice) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Source, b.Source))
	})
	return notices
}

// Alive reports whether a heartbeat of the entry host arrived within HeartbeatTimeout.
func (r *Registrar) Alive(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[host]
	return ok && now.Sub(p.lastHeartbeat) < HeartbeatTimeout
}

// RemainingRequestTime returns how much longer requests of a crashed process of the host may run,
// provided that each of them ends within limit after the last heartbeat of that process.
func (r *Registrar) RemainingRequestTime(host string, limit time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[host]
	if p.crashedAt.IsZero() {
		return 0
	}
	return max(0, limit-now.Sub(p.crashedAt))
}

// Peer is the state of another entry host, from its last heartbeat.
type Peer struct {
	messenger.Identity
	LastHeartbeat time.Time
	Alive         bool
}

// Peers returns all entry hosts that have sent a heartbeat, sorted by name.
func (r *Registrar) Peers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		peers = append(peers, Peer{Identity: p.identity, LastHeartbeat: p.lastHeartbeat, Alive: now.Sub(p.lastHeartbeat) < HeartbeatTimeout})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return peers
}
