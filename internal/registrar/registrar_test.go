package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/storer"
)

func hostList(host string, s storer.HostState) storer.HostList {
	return storer.HostList{Hosts: []storer.Host{{Name: host, State: s}}}
}

// Guards against a leaving host that gets new work because the platform's host list reports it
// as live for a short time.
func TestHostStaysLeavingWhileListFlaps(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Unix(0, 0)
	is.Equal(r.RecordHostList(hostList("w1", storer.HostLeaving), now), []string{"w1"})
	for range 10 {
		r.RecordHostList(hostList("w1", storer.HostLive), now)
		now = now.Add(30 * time.Second)
		r.RecordHostList(hostList("w1", storer.HostLive), now)
		is.True(r.Leaving("w1"))
		now = now.Add(time.Second)
		r.RecordHostList(hostList("w1", storer.HostLeaving), now)
		is.True(r.Leaving("w1"))
	}
	r.RecordHostList(hostList("w1", storer.HostLive), now)
	r.RecordHostList(hostList("w1", storer.HostLive), now.Add(LiveConfirmationTime))
	is.True(!r.Leaving("w1")) // live without interruption for LiveConfirmationTime
}

// Guards against a leaving host that counts as live again because a peer with an older host
// list has withdrawn the platform's notice.
func TestPeerWithOlderListDoesNotWithdrawNotice(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Unix(0, 0)
	r.RecordHostList(hostList("w1", storer.HostLeaving), now)
	withdrawn := messenger.HostNotice{Host: "w1", Source: messenger.SourcePlatform, Version: 9}
	r.RecordIdentity(messenger.Identity{Host: "e2", Notices: []messenger.HostNotice{withdrawn}}, now)
	is.True(r.Leaving("w1"))
	is.Equal(r.Notices()[0].Version, uint64(10)) // prevails over the peer's withdrawal on all hosts
}

// Guards against an operator's drain that ends because the platform's list reports the host
// as live.
func TestNoticeSourcesAreIndependent(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Unix(0, 0)
	is.True(r.SetLeaving("w1", messenger.SourceOperator, true))
	r.RecordHostList(hostList("w1", storer.HostLive), now)
	r.RecordHostList(hostList("w1", storer.HostLive), now.Add(2*LiveConfirmationTime))
	is.True(r.Leaving("w1"))
	is.True(r.SetLeaving("w1", messenger.SourceOperator, false))
	is.True(!r.Leaving("w1"))
}

// Guards against a restarted entry host that counts as leaving because its earlier process
// was leaving, and against a wrong heartbeat timeout.
func TestRestartWithdrawsOwnNotice(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Unix(0, 0)
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "a", Leaving: true}, now)
	is.True(r.Leaving("e1"))
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "b"}, now)
	is.True(!r.Leaving("e1"))
	is.True(r.Alive("e1", now.Add(HeartbeatTimeout-1)))
	is.True(!r.Alive("e1", now.Add(HeartbeatTimeout)))
}

// Guards against entry hosts that never agree on the leaving hosts. After any commands of
// operators and any order of heartbeats, exchanges between all pairs must make the lists of
// leaving hosts equal. Also guards against an operator's command that does not take effect at once
// on the entry host that receives it: it must take precedence over all notices that this host has.
func TestExchangedNoticesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		hosts := []*Registrar{New(), New(), New()}
		identity := func(i, to int) messenger.Identity {
			digest, notices := hosts[i].Exchange(fmt.Sprint("e", to))
			return messenger.Identity{Host: fmt.Sprint("e", i), Incarnation: "a", NoticeDigest: digest, Notices: notices}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "host")
			if rapid.Bool().Draw(t, "mark") {
				w := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
				leaving := rapid.Bool().Draw(t, "leaving")
				hosts[i].SetLeaving(w, messenger.SourceOperator, leaving)
				if hosts[i].Leaving(w) != leaving {
					t.Fatalf("mark %v of %s did not take effect on the host that received it", leaving, w)
				}
				continue
			}
			to := rapid.IntRange(0, 2).Draw(t, "to")
			hosts[to].RecordIdentity(identity(i, to), now)
		}
		for range 4 {
			for i := range hosts {
				for j := range hosts {
					hosts[j].RecordIdentity(identity(i, j), now)
				}
			}
		}
		for i := 1; i < len(hosts); i++ {
			if fmt.Sprint(hosts[0].LeavingHosts()) != fmt.Sprint(hosts[i].LeavingHosts()) {
				t.Fatalf("views differ: %v and %v", hosts[0].Notices(), hosts[i].Notices())
			}
		}
	})
}

// Guards against heartbeats and memory that grow with each restart of a host, because
// withdrawn notices are kept.
func TestWithdrawnNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	a, b, now := New(), New(), time.Unix(0, 0)
	for i := range 3 * maxWithdrawnNotices {
		w := fmt.Sprint("w", i)
		a.SetLeaving(w, messenger.SourceOperator, true)
		b.RecordIdentity(messenger.Identity{Host: "a", Notices: a.Notices()}, now)
		a.SetLeaving(w, messenger.SourceOperator, false)
		b.RecordIdentity(messenger.Identity{Host: "a", Notices: a.Notices()}, now)
		is.True(!b.Leaving(w))
	}
	is.Equal(len(a.Notices()), maxWithdrawnNotices)
	digest, _ := a.Exchange("b")
	b.RecordIdentity(messenger.Identity{Host: "a", NoticeDigest: digest}, now)
	_, notices := b.Exchange("a")
	is.Equal(len(notices), 0) // equal digests: no notices are sent
}

// Guards against a restarted entry host that overloads backend servers, which still run
// requests of its crashed process.
func TestRemainingRequestTimeAfterRestart(t *testing.T) {
	is := is.New(t)
	r, now := New(), time.Unix(0, 0)
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "a"}, now)
	is.Equal(r.RemainingRequestTime("e1", time.Minute, now), time.Duration(0))
	now = now.Add(10 * time.Second)
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "b"}, now)
	is.Equal(r.RemainingRequestTime("e1", time.Minute, now), 50*time.Second)
	now = now.Add(time.Second)
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "b", Drained: true}, now)
	r.RecordIdentity(messenger.Identity{Host: "e1", Incarnation: "c"}, now)
	is.Equal(r.RemainingRequestTime("e1", time.Minute, now), 49*time.Second) // process b drained, process a did not
	is.Equal(r.RemainingRequestTime("e1", time.Minute, now.Add(time.Minute)), time.Duration(0))
}
