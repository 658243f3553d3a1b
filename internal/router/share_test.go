package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
)

const (
	longest = configurator.DefaultMaxRequestTimeout
	old     = time.Hour // the age of a process that has run for long
)

var (
	epoch = time.Unix(1000, 0)
	one   = []messenger.Endpoint{{Instance: "quotes-0", Service: "quotes", Slots: 8, Connections: 64}}
)

func newRouter(hosts int, settled bool, now time.Time) *Router {
	r := New(Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 1)))
	r.Update(one, Membership{Hosts: hosts, Settled: settled}, now)
	return r
}

func names(hosts int) []string {
	var ns []string
	for i := range hosts {
		ns = append(ns, fmt.Sprint("host-", i))
	}
	return ns
}

// newLender returns an allocator for two hosts (base share 3, pool 2) that may lend.
func newLender() *Allocator {
	a := NewAllocator(2, longest, epoch.Add(-old))
	a.Update(one, names(2), true, epoch.Add(-old))
	return a
}

// report is a report of the instance's use by a process that has run for long.
func report(host string, sequence uint64, inUse, wanted int) Report {
	return Report{Host: host, Incarnation: "1", Sequence: sequence, RunningFor: old, Demand: []messenger.SlotDemand{
		{Instance: "quotes-0", InUse: inUse, Wanted: wanted},
	}}
}

func lent(gs []messenger.SlotGrant) int {
	n := 0
	for _, g := range gs {
		n += g.Slots
	}
	return n
}

// take picks until there is no room, and returns the number of picks.
func take(r *Router, now time.Time) int {
	n := 0
	for {
		if _, found := r.Pick(Request{Service: "quotes", Deadline: now.Add(longest)}, now).(Instance); !found {
			return n
		}
		n++
	}
}

func grant(slots int, epoch uint64) messenger.SlotGrant {
	return messenger.SlotGrant{Instance: "quotes-0", Slots: slots, For: GrantDuration, Epoch: epoch}
}

// Guards against the use of a grant that its granter no longer counts: one that expired,
// that answers an earlier demand, or that comes from an earlier owner of the shard.
func TestRefusesOutdatedGrants(t *testing.T) {
	is := is.New(t)
	second := epoch.Add(time.Second)
	r := newRouter(2, true, epoch)
	is.Equal(r.Demand("a", epoch), nil) // a is not known as the granter yet
	r.Grant("a", grant(2, 2), epoch, epoch)
	is.Equal(r.Free("quotes", epoch), 5)
	is.Equal(r.Free("quotes", epoch.Add(GrantDuration)), 3)
	is.Equal(r.Demand("a", second)[0].InUse, 5) // it may still use the grant
	r.Grant("a", grant(1, 2), epoch, second)    // answers the first demand
	is.Equal(r.Free("quotes", second), 5)
	r.Grant("b", grant(0, 3), second, second) // another owner
	is.Equal(r.Free("quotes", second), 3)
	r.Grant("a", grant(2, 2), second, second)
	is.Equal(r.Free("quotes", second), 3)
	is.Equal(len(r.Demand("a", second)), 0) // no evidence for an earlier owner
	is.Equal(len(r.Demand("b", second)), 1)
}

// Guards against slots of a silent host, or of a process that died, being lent while its
// requests may still run.
func TestSilentHostKeepsItsSlots(t *testing.T) {
	is := is.New(t)
	a := newLender()
	is.Equal(lent(a.Step(report("host-0", 1, 3, 8), epoch)), 2)
	end := epoch.Add(GrantDuration + longest)
	is.Equal(lent(a.Step(report("host-1", 1, 3, 8), end)), 0)
	restarted := report("host-0", 2, 0, 3)
	restarted.Incarnation = "2"
	is.Equal(lent(a.Step(restarted, end)), 0)
	is.Equal(lent(a.Step(report("host-1", 2, 3, 8), end)), 0)
	is.Equal(lent(a.Step(report("host-1", 3, 3, 8), end.Add(time.Second))), 2)
}

// Guards against a report that was overtaken, or whose order is unknown, as evidence
// that slots are free; and against slots that stay lent although a report says they are free.
func TestOnlyLatestReportFreesSlots(t *testing.T) {
	is := is.New(t)
	a := newLender()
	is.Equal(lent(a.Step(report("host-0", 5, 3, 8), epoch)), 2)
	is.Equal(len(a.Step(report("host-0", 4, 3, 3), epoch)), 0)
	is.Equal(lent(a.Step(report("host-0", 0, 3, 3), epoch)), 0)
	is.Equal(lent(a.Step(report("host-1", 1, 3, 8), epoch)), 0)
	is.Equal(lent(a.Step(report("host-0", 6, 3, 3), epoch)), 0)
	is.Equal(lent(a.Step(report("host-1", 2, 3, 8), epoch)), 2)
}

// Guards against one host keeping the whole pool while another one wants a part.
func TestPoolIsShared(t *testing.T) {
	is := is.New(t)
	a := newLender()
	is.Equal(lent(a.Step(report("host-0", 1, 3, 8), epoch)), 2)
	is.Equal(lent(a.Step(report("host-1", 1, 3, 8), epoch)), 0)
	later := epoch.Add(GrantDuration)
	is.Equal(lent(a.Step(report("host-1", 2, 3, 8), later)), 0)
	is.Equal(lent(a.Step(report("host-0", 2, 3, 8), later)), 1) // the grant ended
	is.Equal(lent(a.Step(report("host-1", 3, 3, 8), later)), 1)
}

// Guards against a new owner lending what an earlier one lent.
func TestNewOwnerWaits(t *testing.T) {
	is := is.New(t)
	start := func(settled bool) *Allocator {
		a := NewAllocator(3, longest, epoch)
		a.Update(one, names(2), settled, epoch)
		return a
	}
	a := start(true)
	is.Equal(lent(a.Step(report("host-0", 1, 3, 8), epoch)), 0)
	young := report("host-1", 1, 3, 3)
	young.RunningFor = longest
	a.Step(young, epoch)
	is.Equal(lent(a.Step(report("host-0", 2, 3, 8), epoch)), 0)
	a.Step(report("host-1", 2, 3, 3), epoch)
	is.Equal(lent(a.Step(report("host-0", 3, 3, 8), epoch)), 2) // all hosts have reported

	a = start(true)
	a.Update(one, names(1), false, epoch) // host-1 is removed and may not report any more
	a.Step(report("host-0", 1, 3, 8), epoch)
	is.Equal(lent(a.Step(report("host-0", 2, 3, 8), epoch)), 0)

	a = start(true)
	is.Equal(lent(a.Step(report("host-0", 1, 3, 8), epoch.Add(GrantDuration+longest))), 0)
	is.Equal(lent(a.Step(report("host-0", 2, 3, 8), epoch.Add(GrantDuration+longest+time.Second))), 2)

	a = start(false) // hosts may use the shares of another number of hosts
	a.Step(report("host-1", 1, 3, 3), epoch)
	is.Equal(lent(a.Step(report("host-0", 1, 3, 8), epoch.Add(GrantDuration+longest+time.Second))), 0)
	is.Equal(lent(a.Step(report("host-0", 2, 3, 8), epoch.Add(ShareDelay(longest)))), 2)
}

// Guards against an increase of the base share while the last grant of an owner that
// learned of the change last is in use: 4 hosts (base share 1, pool 4) become 3 (2, 2).
func TestIncreaseWaitsForLastGrant(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(2, longest, epoch.Add(-old))
	a.Update(one, names(4), true, epoch.Add(-old))
	var rs []*Router
	for range 3 {
		r := newRouter(4, true, epoch)
		r.Update(one, Membership{Hosts: 3}, epoch)
		rs = append(rs, r)
	}
	adopted := epoch.Add(ConfigurationDelay)
	is.Equal(lent(a.Step(report("host-0", 1, 1, 8), adopted)), 4)
	a.Update(one, names(3), false, adopted)
	rs[0].Demand("host-2", adopted)
	rs[0].Grant("host-2", grant(4, 2), adopted, adopted)
	last := adopted.Add(GrantDuration - time.Nanosecond)
	is.Equal(take(rs[0], last), 5)
	before := last.Add(longest) // the last of them may end here
	is.Equal(take(rs[1], before)+take(rs[2], before), 2)
	after := epoch.Add(ShareDelay(longest))
	is.Equal(take(rs[1], after)+take(rs[2], after), 2)
	is.Equal(lent(a.Step(report("host-1", 1, 2, 8), before)), 0)
}

// Guards against a new host that uses a share before the others have reduced theirs, and
// against a decrease that waits.
func TestMembershipChange(t *testing.T) {
	is := is.New(t)
	added := newRouter(3, false, epoch)
	is.Equal(take(added, epoch), 0)
	none, _ := added.Pick(Request{Service: "quotes"}, epoch).(None)
	is.Equal(none.FreeAt, epoch.Add(ShareDelay(longest)))
	is.Equal(take(added, none.FreeAt), 2)

	r := newRouter(2, true, epoch)
	is.Equal(r.Free("quotes", epoch), 3)
	r.Update(one, Membership{Hosts: 3}, epoch)
	is.Equal(r.Free("quotes", epoch), 2)
	r.Update(one, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch.Add(ShareDelay(longest)-1)), 2)
	is.Equal(r.Free("quotes", epoch.Add(ShareDelay(longest))), 3)
}

// Guards against the loss of what is in use when an instance leaves the list and comes
// back, and against slots that are returned twice.
func TestSlotsOutliveTheList(t *testing.T) {
	is := is.New(t)
	r := newRouter(2, true, epoch)
	c := r.Pick(Request{Service: "quotes", Deadline: epoch.Add(time.Second)}, epoch).(Instance)
	r.Update(nil, Membership{Hosts: 2}, epoch)
	_, none := r.Pick(Request{Service: "quotes"}, epoch).(None)
	is.True(none)
	r.Update(one, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch), 2)
	r.Done(c, Outcome{Kind: OutcomeAnswered, SlotsUsed: -1}, epoch)
	r.Done(c, Outcome{Kind: OutcomeAnswered, SlotsUsed: -1}, epoch)
	is.Equal(r.Free("quotes", epoch), 3)
	draining := one[0]
	draining.Draining = true
	r.Update([]messenger.Endpoint{draining}, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch), 0)
}
