package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// startInterval is the interval at which waiting requests are started in slots that became
// free by the passage of time alone: when an abandoned request's slot or a suspension
// (HoldUntil) ends, or when this host's base share grows after router.ShareDelay.
const startInterval = 25 * time.Millisecond

// Sender makes one attempt at a backend server. *forwarder.Forwarder implements it.
type Sender interface {
	Send(ctx context.Context, q forwarder.Request) forwarder.Result
	// SetInstances sets the maximum number of connections by instance and drops the state of
	// instances that are not listed.
	SetInstances(connections map[string]int)
}

// Overflow sends requests to entry hosts of other failure domains.
type Overflow interface {
	// Target returns an entry host with free slots for the service, if there is one.
	Target(service string) (host string, found bool)
	// Forward sends the request to the host. Sent is false if no part of it left this host.
	Forward(ctx context.Context, host string, m messenger.ForwardRequest) (a messenger.ForwardAnswer, sent bool, err error)
}

// Settings configures a Dispatcher.
type Settings struct {
	Router   *router.Router   // owned by the dispatcher from New on
	Limiter  *limiter.Limiter // owned by the dispatcher from New on
	Sender   Sender
	Overflow Overflow // nil: nothing is forwarded
	Recorder Recorder // nil: decisions are not recorded
}

// Dispatcher implements receiver.Handler. It is safe for concurrent use.
type Dispatcher struct {
	settings         Settings
	mutex            sync.Mutex
	waiting          map[string]*waiter // by request ID
	waitingByService map[string]int     // number of waiting requests
	// receivedForwards holds the IDs of requests that were forwarded to this host, with the
	// time until which each ID is kept. A request whose forward message is delivered twice
	// therefore runs only once.
	receivedForwards map[string]time.Time
}

var _ receiver.Handler = (*Dispatcher)(nil)

// waiter is a request that waits for its admission result: an admitted, a limiter.Drop or
// a router.NoInstance.
type waiter struct {
	result  chan any // buffered; receives exactly one value
	service string
}

// admitted is the admission result of a request that holds a slot of an instance.
type admitted struct {
	choice router.ChosenInstance
	waited time.Duration
}

// New returns a dispatcher and a function that stops its goroutine.
func New(s Settings) (*Dispatcher, func()) {
	d := &Dispatcher{
		settings:         s,
		waiting:          make(map[string]*waiter),
		waitingByService: make(map[string]int),
		receivedForwards: make(map[string]time.Time),
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { d.startPeriodically(stop) })
	return d, sync.OnceFunc(func() {
		close(stop)
		group.Wait()
	})
}

func (d *Dispatcher) startPeriodically(stop <-chan struct{}) {
	t := time.NewTicker(startInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			d.mutex.Lock()
			d.startAllServices(time.Now())
			d.mutex.Unlock()
		}
	}
}

// startAllServices starts waiting requests of every service and removes expired IDs of
// forwarded requests. The mutex must be held.
func (d *Dispatcher) startAllServices(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(d.waitingByService)) {
		d.startWaiting(service, now)
	}
	maps.DeleteFunc(d.receivedForwards, func(_ string, until time.Time) bool { return !until.After(now) })
}

// startWaiting starts as many waiting requests of a service as there are free slots. The
// mutex must be held.
func (d *Dispatcher) startWaiting(service string, now time.Time) {
	if d.waitingByService[service] == 0 {
		return
	}
	d.apply(d.settings.Limiter.Next(service, d.settings.Router.Free(service, now), now), now)
	d.settings.Router.SetWaiting(service, d.settings.Limiter.Queued(service), now)
}

// apply carries out the actions of the limiter. The mutex must be held.
func (d *Dispatcher) apply(actions []limiter.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Drop:
			d.resolve(a.Request.ID, a)
		case limiter.Start:
			if d.waiting[a.Request.ID] == nil { // canceled: no goroutine would return the slot
				d.settings.Limiter.Release(a.Request, 0, false, now)
				continue
			}
			c := d.settings.Router.Pick(router.Request{
				ID: a.Request.ID, Service: a.Request.Service, Deadline: a.Request.Deadline,
			}, now)
			switch c := c.(type) {
			case router.ChosenInstance:
				d.resolve(a.Request.ID, admitted{choice: c, waited: a.Waited})
			case router.NoInstance:
				d.settings.Limiter.Release(a.Request, 0, false, now)
				d.resolve(a.Request.ID, c)
			}
		}
	}
}

// resolve delivers the admission result to a waiting request. The mutex must be held.
func (d *Dispatcher) resolve(id string, result any) {
	w := d.waiting[id]
	if w == nil {
		return
	}
	d.removeWaiter(id, w)
	w.result <- result
}

// removeWaiter removes a request from the table of waiting requests. The mutex must be held.
func (d *Dispatcher) removeWaiter(id string, w *waiter) {
	delete(d.waiting, id)
	if d.waitingByService[w.service]--; d.waitingByService[w.service] <= 0 {
		delete(d.waitingByService, w.service)
	}
}

// Configure applies the policies, teams and services of a new configuration generation.
func (d *Dispatcher) Configure(c *configurator.Configuration) {
	names := make([]string, 0, len(c.Services))
	for _, s := range c.Services {
		names = append(names, s.Name)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settings.Router.SetPolicy(c.Policy.Routing)
	d.settings.Limiter.Configure(limiter.Settings{
		Limits: c.Policy.Limits, Retries: c.Policy.Retries, Teams: c.Teams,
	})
	d.settings.Limiter.Retain(names)
}

// Update replaces the instances of the failure domain and its number of entry hosts.
func (d *Dispatcher) Update(endpoints []messenger.Endpoint, m router.Membership) {
	now := time.Now()
	d.mutex.Lock()
	d.settings.Router.Update(endpoints, m, now)
	connections := d.settings.Router.Connections(now)
	d.startAllServices(now)
	d.mutex.Unlock()
	d.settings.Sender.SetInstances(connections)
}

// Demand returns the slot demand to send in the next heartbeat to the given peer.
func (d *Dispatcher) Demand(to string) []messenger.SlotDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.settings.Router.Demand(to, time.Now())
}

// ApplyGrants applies the grants that the given peer returned in the answer to a heartbeat.
// SentAt is the time at which the heartbeat was sent, after its demand was computed.
func (d *Dispatcher) ApplyGrants(from string, grants []messenger.SlotGrant, sentAt time.Time) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, g := range grants {
		d.settings.Router.ApplyGrant(from, g, sentAt, now)
	}
	d.startAllServices(now)
}

// HoldUntil stops requests to this failure domain's instances until the given time, because
// requests of an earlier process of this host may still use the host's slots.
func (d *Dispatcher) HoldUntil(until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settings.Router.HoldUntil(until)
}

// Free returns the number of free slots by service, which heartbeats report to other
// failure domains.
func (d *Dispatcher) Free() map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.settings.Router.FreeByService(time.Now())
}

// Ejected returns the ejected instances of a service.
func (d *Dispatcher) Ejected(service string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.settings.Router.Ejected(service)
}
