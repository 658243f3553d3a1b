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
	maxTimeout  = configurator.DefaultMaxRequestTimeout
	longRunning = time.Hour // age of a process that has run for longer than the reclaim delay
)

var (
	epoch       = time.Unix(1000, 0)
	oneInstance = []messenger.Endpoint{{Instance: "quotes-0", Service: "quotes", Slots: 8, Connections: 64}}
)

func newRouter(hosts int, settled bool, now time.Time) *Router {
	r := New(Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 1)))
	r.Update(oneInstance, Membership{Hosts: hosts, Settled: settled}, now)
	return r
}

func hostNames(hosts int) []string {
	var ns []string
	for i := range hosts {
		ns = append(ns, fmt.Sprint("host-", i))
	}
	return ns
}

// newGrantingAllocator returns an allocator for two hosts (base share 3, pool 2) that may
// grant slots, because no grant of an earlier owner can be in use.
func newGrantingAllocator() *Allocator {
	a := NewAllocator(2, maxTimeout, epoch.Add(-longRunning))
	a.Update(oneInstance, hostNames(2), true, epoch.Add(-longRunning))
	return a
}

// report returns a report of slot demand by a process that has run for longer than the
// reclaim delay.
func report(host string, sequence uint64, inUse, wanted int) DemandReport {
	return DemandReport{Host: host, Incarnation: "1", Sequence: sequence, RunningFor: longRunning, Demand: []messenger.SlotDemand{
		{Instance: "quotes-0", InUse: inUse, Wanted: wanted},
	}}
}

func grantedSlots(gs []messenger.SlotGrant) int {
	n := 0
	for _, g := range gs {
		n += g.Slots
	}
	return n
}

// pickAll picks until there is no free slot, and returns the number of picks.
func pickAll(r *Router, now time.Time) int {
	n := 0
	for {
		if _, found := r.Pick(Request{Service: "quotes", Deadline: now.Add(maxTimeout)}, now).(ChosenInstance); !found {
			return n
		}
		n++
	}
}

func grant(slots int, epoch uint64) messenger.SlotGrant {
	return messenger.SlotGrant{Instance: "quotes-0", Slots: slots, For: GrantDuration, Epoch: epoch}
}

// Guards against the use of a grant whose slots the owner of the shard no longer counts: a
// grant that has expired, answers an earlier demand, or comes from an earlier owner.
func TestRefusesOutdatedGrants(t *testing.T) {
	is := is.New(t)
	second := epoch.Add(time.Second)
	r := newRouter(2, true, epoch)
	is.Equal(r.Demand("a", epoch), nil) // no grant from a yet
	r.ApplyGrant("a", grant(2, 2), epoch, epoch)
	is.Equal(r.Free("quotes", epoch), 5)
	is.Equal(r.Free("quotes", epoch.Add(GrantDuration)), 3)
	is.Equal(r.Demand("a", second)[0].InUse, 5)   // the grant is still usable
	r.ApplyGrant("a", grant(1, 2), epoch, second) // answers the first demand
	is.Equal(r.Free("quotes", second), 5)
	r.ApplyGrant("b", grant(0, 3), second, second) // another owner
	is.Equal(r.Free("quotes", second), 3)
	r.ApplyGrant("a", grant(2, 2), second, second)
	is.Equal(r.Free("quotes", second), 3)
	is.Equal(len(r.Demand("a", second)), 0) // nothing is reported to an earlier owner
	is.Equal(len(r.Demand("b", second)), 1)
}

// Guards against granting the slots of an unresponsive host, or of a crashed process, to
// another host while requests of the first one may still run.
func TestUnresponsiveHostKeepsSlots(t *testing.T) {
	is := is.New(t)
	a := newGrantingAllocator()
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 3, 8), epoch)), 2)
	end := epoch.Add(GrantDuration + maxTimeout)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 1, 3, 8), end)), 0)
	restarted := report("host-0", 2, 0, 3)
	restarted.Incarnation = "2"
	is.Equal(grantedSlots(a.HandleReport(restarted, end)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 2, 3, 8), end)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 3, 3, 8), end.Add(time.Second))), 2)
}

// Guards against slots being freed by a report that was overtaken or whose order is
// unknown, and against slots staying granted although the latest report frees them.
func TestOnlyLatestReportFreesSlots(t *testing.T) {
	is := is.New(t)
	a := newGrantingAllocator()
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 5, 3, 8), epoch)), 2)
	is.Equal(len(a.HandleReport(report("host-0", 4, 3, 3), epoch)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 0, 3, 3), epoch)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 1, 3, 8), epoch)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 6, 3, 3), epoch)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 2, 3, 8), epoch)), 2)
}

// Guards against one host keeping the whole pool while another host wants slots.
func TestPoolIsShared(t *testing.T) {
	is := is.New(t)
	a := newGrantingAllocator()
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 3, 8), epoch)), 2)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 1, 3, 8), epoch)), 0)
	later := epoch.Add(GrantDuration)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 2, 3, 8), later)), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 2, 3, 8), later)), 1) // the grant expired; a slot is reserved for host-1
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 3, 3, 8), later)), 1)
}

// Guards against a new owner granting slots that are still in use under grants of an
// earlier owner.
func TestNewOwnerWaitsForEarlierGrants(t *testing.T) {
	is := is.New(t)
	start := func(settled bool) *Allocator {
		a := NewAllocator(3, maxTimeout, epoch)
		a.Update(oneInstance, hostNames(2), settled, epoch)
		return a
	}
	a := start(true)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 3, 8), epoch)), 0)
	young := report("host-1", 1, 3, 3)
	young.RunningFor = maxTimeout
	a.HandleReport(young, epoch)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 2, 3, 8), epoch)), 0)
	a.HandleReport(report("host-1", 2, 3, 3), epoch)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 3, 3, 8), epoch)), 2) // all hosts have reported

	a = start(true)
	a.Update(oneInstance, hostNames(1), false, epoch) // host-1 is removed, but may still use slots
	a.HandleReport(report("host-0", 1, 3, 8), epoch)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 2, 3, 8), epoch)), 0)

	a = start(true)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 3, 8), epoch.Add(GrantDuration+maxTimeout))), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 2, 3, 8), epoch.Add(GrantDuration+maxTimeout+time.Second))), 2)

	a = start(false) // hosts may still use the base shares of another number of hosts
	a.HandleReport(report("host-1", 1, 3, 3), epoch)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 3, 8), epoch.Add(GrantDuration+maxTimeout+time.Second))), 0)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 2, 3, 8), epoch.Add(ShareDelay(maxTimeout)))), 2)
}

// Guards against an increase of the base share while slots are in use under the last grant
// of an owner that adopts the change last. The number of hosts changes from 4 (base share
// 1, pool 4) to 3 (base share 2, pool 2).
func TestShareIncreaseWaitsForLastGrant(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(2, maxTimeout, epoch.Add(-longRunning))
	a.Update(oneInstance, hostNames(4), true, epoch.Add(-longRunning))
	var rs []*Router
	for range 3 {
		r := newRouter(4, true, epoch)
		r.Update(oneInstance, Membership{Hosts: 3}, epoch)
		rs = append(rs, r)
	}
	adopted := epoch.Add(ConfigurationDelay)
	is.Equal(grantedSlots(a.HandleReport(report("host-0", 1, 1, 8), adopted)), 4)
	a.Update(oneInstance, hostNames(3), false, adopted)
	rs[0].Demand("host-2", adopted)
	rs[0].ApplyGrant("host-2", grant(4, 2), adopted, adopted)
	last := adopted.Add(GrantDuration - time.Nanosecond)
	is.Equal(pickAll(rs[0], last), 5)
	before := last.Add(maxTimeout) // the last of these requests may end now
	is.Equal(pickAll(rs[1], before)+pickAll(rs[2], before), 2)
	after := epoch.Add(ShareDelay(maxTimeout))
	is.Equal(pickAll(rs[1], after)+pickAll(rs[2], after), 2)
	is.Equal(grantedSlots(a.HandleReport(report("host-1", 1, 2, 8), before)), 0)
}

// Guards against a new host using its base share before the other hosts have reduced
// theirs, and against a delayed decrease of the base share.
func TestMembershipChange(t *testing.T) {
	is := is.New(t)
	added := newRouter(3, false, epoch)
	is.Equal(pickAll(added, epoch), 0)
	none, _ := added.Pick(Request{Service: "quotes"}, epoch).(NoInstance)
	is.Equal(none.FreeAt, epoch.Add(ShareDelay(maxTimeout)))
	is.Equal(pickAll(added, none.FreeAt), 2)

	r := newRouter(2, true, epoch)
	is.Equal(r.Free("quotes", epoch), 3)
	r.Update(oneInstance, Membership{Hosts: 3}, epoch)
	is.Equal(r.Free("quotes", epoch), 2)
	r.Update(oneInstance, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch.Add(ShareDelay(maxTimeout)-1)), 2)
	is.Equal(r.Free("quotes", epoch.Add(ShareDelay(maxTimeout))), 3)
}

// Guards against losing count of used slots when an instance is removed from the list and
// added again, and against slots that are returned twice.
func TestSlotsSurviveUnlisting(t *testing.T) {
	is := is.New(t)
	r := newRouter(2, true, epoch)
	c := r.Pick(Request{Service: "quotes", Deadline: epoch.Add(time.Second)}, epoch).(ChosenInstance)
	r.Update(nil, Membership{Hosts: 2}, epoch)
	_, none := r.Pick(Request{Service: "quotes"}, epoch).(NoInstance)
	is.True(none)
	r.Update(oneInstance, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch), 2)
	r.Done(c, Outcome{Kind: OutcomeAnswered, SlotsUsed: -1}, epoch)
	r.Done(c, Outcome{Kind: OutcomeAnswered, SlotsUsed: -1}, epoch)
	is.Equal(r.Free("quotes", epoch), 3)
	draining := oneInstance[0]
	draining.Draining = true
	r.Update([]messenger.Endpoint{draining}, Membership{Hosts: 2}, epoch)
	is.Equal(r.Free("quotes", epoch), 0)
}
