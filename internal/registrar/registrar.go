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
	// SilenceLimit is the time without a heartbeat after which an entry host counts as
	// down: three heartbeats of 500 ms.
	SilenceLimit = 1500 * time.Millisecond
	// ListSettleTime is how long the platform's list must call a host live without
	// interruption before a leaving host counts as live again. The list lags and may
	// go back and forth; a host taken back too early would get new work while it leaves.
	ListSettleTime = 60 * time.Second
	// maxNotices bounds the notices kept, about twice the hosts expected in two years.
	maxNotices = 4096
	// maxWithdrawn bounds the notices kept of hosts that are live again: a day's 380
	// restarts alone filled heartbeats with 25 KB of them.
	maxWithdrawn = 100
)

type noticeKey struct {
	host   string
	source messenger.NoticeSource
}

type peer struct {
	identity messenger.Identity
	heard    time.Time
	// died is when an earlier process was last heard that had not drained; zero if none.
	died time.Time
}

// Registrar is safe for concurrent use.
type Registrar struct {
	mu        sync.Mutex
	peers     map[string]peer
	notices   map[noticeKey]messenger.HostNotice
	liveSince map[string]time.Time // hosts that the list calls live again
	listed    map[string]bool      // hosts that the last list called leaving
	withdrawn []noticeKey          // withdrawn notices, oldest first
}

// New returns a Registrar that has heard of nobody.
func New() *Registrar {
	return &Registrar{
		peers:     make(map[string]peer),
		notices:   make(map[noticeKey]messenger.HostNotice),
		liveSince: make(map[string]time.Time),
		listed:    make(map[string]bool),
	}
}

// Heard takes in what an entry host says about itself and about leaving hosts. It
// returns the hosts that it now knows to be leaving and did not before.
func (r *Registrar) Heard(m messenger.Identity, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.peers[m.Host]
	died := previous.died
	if known && previous.identity.Incarnation != m.Incarnation {
		r.clearOwnNotice(m.Host)
		if !previous.identity.Drained {
			died = previous.heard
		}
	}
	r.peers[m.Host] = peer{identity: m, heard: now, died: died}
	var added []string
	if m.Leaving && r.set(m.Host, messenger.SourceHost, true) {
		added = append(added, m.Host)
	}
	for _, n := range m.Notices {
		was := r.leaving(n.Host)
		r.merge(n)
		if !was && r.leaving(n.Host) {
			added = append(added, n.Host)
		}
	}
	return added
}

// PlatformList takes in the platform's list. It returns the hosts that are newly
// known to be leaving.
func (r *Registrar) PlatformList(l storer.HostList, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	for _, h := range l.Hosts {
		if h.State == storer.HostLeaving {
			delete(r.liveSince, h.Name)
			r.listed[h.Name] = true
			if r.set(h.Name, messenger.SourcePlatform, true) {
				added = append(added, h.Name)
			}
			continue
		}
		delete(r.listed, h.Name)
		r.settle(h.Name, now)
	}
	return added
}

// settle withdraws the platform's notice once the list has called the host live for
// ListSettleTime.
func (r *Registrar) settle(host string, now time.Time) {
	n, ok := r.notices[noticeKey{host, messenger.SourcePlatform}]
	if !ok || !n.Leaving {
		return
	}
	since, ok := r.liveSince[host]
	if !ok {
		r.liveSince[host] = now
		return
	}
	if now.Sub(since) >= ListSettleTime {
		delete(r.liveSince, host)
		r.set(host, messenger.SourcePlatform, false)
	}
}

// Mark records that a source other than the platform's list says a host is leaving or
// no longer leaving. It reports whether the host's state changed.
func (r *Registrar) Mark(host string, source messenger.NoticeSource, leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.leaving(host)
	r.set(host, source, leaving)
	return was != r.leaving(host)
}

// clearOwnNotice withdraws what an earlier process of the host said of itself.
func (r *Registrar) clearOwnNotice(host string) {
	if n, ok := r.notices[noticeKey{host, messenger.SourceHost}]; ok && n.Leaving {
		r.set(host, messenger.SourceHost, false)
	}
}

// set records a notice of this host's own and reports whether the host was not
// leaving before and is now.
func (r *Registrar) set(host string, source messenger.NoticeSource, leaving bool) bool {
	key := noticeKey{host, source}
	old, ok := r.notices[key]
	if ok && old.Leaving == leaving || !ok && !leaving {
		return false
	}
	was := r.leaving(host)
	r.store(messenger.HostNotice{Host: host, Source: source, Leaving: leaving, Version: old.Version + 1})
	return !was && leaving
}

func (r *Registrar) merge(n messenger.HostNotice) {
	old, ok := r.notices[noticeKey{n.Host, n.Source}]
	// A forgotten withdrawal must not come back from a peer that has yet to forget it.
	if !ok && !n.Leaving {
		return
	}
	if ok && (n.Version < old.Version || n.Version == old.Version && old.Leaving) {
		return
	}
	// Another entry host's list may be older than this host's.
	if n.Source == messenger.SourcePlatform && !n.Leaving && r.listed[n.Host] {
		n.Leaving = true
		n.Version++
	}
	r.store(n)
}

func (r *Registrar) store(n messenger.HostNotice) {
	key := noticeKey{n.Host, n.Source}
	if _, ok := r.notices[key]; !ok && len(r.notices) >= maxNotices {
		return
	}
	r.notices[key] = n
	if n.Leaving {
		return
	}
	r.withdrawn = append(r.withdrawn, key)
	for len(r.withdrawn) > maxWithdrawn {
		oldest := r.withdrawn[0]
		r.withdrawn = r.withdrawn[1:]
		// A notice that says leaving again is kept: its host would get new work.
		if !r.notices[oldest].Leaving && !slices.Contains(r.withdrawn, oldest) {
			delete(r.notices, oldest)
		}
	}
}

func (r *Registrar) leaving(host string) bool {
	for _, s := range []messenger.NoticeSource{messenger.SourcePlatform, messenger.SourceOperator, messenger.SourceHost} {
		if r.notices[noticeKey{host, s}].Leaving {
			return true
		}
	}
	return false
}

// Leaving reports whether any source says that the host is leaving.
func (r *Registrar) Leaving(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving(host)
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
	return r.sorted()
}

// Exchange returns the digest of the notices that say leaving, and the notices that a
// message to the peer carries: none if the peer's last message had the same digest.
func (r *Registrar) Exchange(peer string) (uint64, []messenger.HostNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notices := r.sorted()
	digest := digestOf(notices)
	if p, ok := r.peers[peer]; ok && p.identity.NoticeDigest == digest {
		return digest, nil
	}
	return digest, notices
}

// digestOf is 0 if no notice says leaving.
func digestOf(notices []messenger.HostNotice) uint64 {
	d := xxhash.New()
	leaving := false
	for _, n := range notices {
		if n.Leaving {
			leaving = true
			_, _ = fmt.Fprintf(d, "%s\x00%s\x00%d\x00", n.Host, n.Source, n.Version) // never fails, as xxhash documents
		}
	}
	if !leaving {
		return 0
	}
	return d.Sum64()
}

func (r *Registrar) sorted() []messenger.HostNotice {
	notices := make([]messenger.HostNotice, 0, len(r.notices))
	for _, n := range r.notices {
		notices = append(notices, n)
	}
	slices.SortFunc(notices, func(a, b messenger.HostNotice) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Source, b.Source))
	})
	return notices
}

// Alive reports whether the entry host was heard of within SilenceLimit.
func (r *Registrar) Alive(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[host]
	return ok && now.Sub(p.heard) < SilenceLimit
}

// LeftBehind returns how much longer requests of an earlier process of the host may run,
// if each request ends within limit after that process was last heard.
func (r *Registrar) LeftBehind(host string, limit time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[host]
	if p.died.IsZero() {
		return 0
	}
	return max(0, limit-now.Sub(p.died))
}

// Peer is the last thing an entry host said about itself.
type Peer struct {
	messenger.Identity
	HeardAt time.Time
	Alive   bool
}

// Peers returns all entry hosts that were ever heard of, sorted by name.
func (r *Registrar) Peers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		peers = append(peers, Peer{Identity: p.identity, HeardAt: p.heard, Alive: now.Sub(p.heard) < SilenceLimit})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return peers
}
