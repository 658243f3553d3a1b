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

// startInterval is how often waiting requests are started in slots that became free
// without an event: a grant or an abandoned request's slot ended its time.
const startInterval = 25 * time.Millisecond

// Sender makes one attempt at a backend server. *forwarder.Forwarder implements it.
type Sender interface {
	Send(ctx context.Context, q forwarder.Request) forwarder.Result
	// Retain sets the bound of connections of each instance and forgets all others.
	Retain(connections map[string]int)
}

// Overflow sends requests to entry hosts of other failure domains.
type Overflow interface {
	// Target names an entry host with free slots for the service; false if there is none.
	Target(service string) (host string, found bool)
	// Forward sends the request. Sent is false if no part of it left this host.
	Forward(ctx context.Context, host string, m messenger.ForwardRequest) (a messenger.ForwardAnswer, sent bool, err error)
}

// Settings configures a Dispatcher.
type Settings struct {
	Router   *router.Router   // owned by the dispatcher from New on
	Limiter  *limiter.Limiter // owned by the dispatcher from New on
	Sender   Sender
	Overflow Overflow // nil: nothing is forwarded
	Recorder Recorder // nil: decisions are only logged
}

// Dispatcher implements receiver.Handler. It is safe for concurrent use.
type Dispatcher struct {
	settings Settings
	mutex    sync.Mutex
	waiting  map[string]*waiter // by request identity
	services map[string]int     // waiting requests by service
	// arrived holds the identities of requests forwarded here until their deadline, so
	// that a message that arrives twice does not run twice.
	arrived map[string]time.Time
}

var _ receiver.Handler = (*Dispatcher)(nil)

// waiter is a request that waits for its verdict: a limiter.Drop or a start.
type waiter struct {
	verdict chan any // buffered; gets exactly one value
	service string
}

// start is the verdict that the request holds an admission and a slot.
type start struct {
	choice router.Instance
	waited time.Duration
}

// New returns a dispatcher and a function that stops its goroutine.
func New(s Settings) (*Dispatcher, func()) {
	d := &Dispatcher{
		settings: s,
		waiting:  make(map[string]*waiter),
		services: make(map[string]int),
		arrived:  make(map[string]time.Time),
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
			d.startAll(time.Now())
			d.mutex.Unlock()
		}
	}
}

// startAll starts waiting requests of every service and forgets old identities. The mutex must be held.
func (d *Dispatcher) startAll(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		d.startWaiting(service, now)
	}
	maps.DeleteFunc(d.arrived, func(_ string, until time.Time) bool { return !until.After(now) })
}

// startWaiting starts as many waiting requests of a service as have a free slot. The
// mutex must be held.
func (d *Dispatcher) startWaiting(service string, now time.Time) {
	if d.services[service] == 0 {
		return
	}
	d.apply(d.settings.Limiter.Next(service, d.settings.Router.Free(service, now), now), now)
	d.settings.Router.Want(service, d.settings.Limiter.Queued(service), now)
}

// apply gives waiting requests the verdicts of the limiter. The mutex must be held.
func (d *Dispatcher) apply(actions []limiter.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Drop:
			d.decide(a.Request.ID, a)
		case limiter.Start:
			if d.waiting[a.Request.ID] == nil { // given up; a slot would never be returned
				d.settings.Limiter.Release(a.Request, 0, false, now)
				continue
			}
			c := d.settings.Router.Pick(router.Request{
				ID: a.Request.ID, Service: a.Request.Service, Deadline: a.Request.Deadline,
			}, now)
			switch c := c.(type) {
			case router.Instance:
				d.decide(a.Request.ID, start{choice: c, waited: a.Waited})
			case router.None:
				d.settings.Limiter.Release(a.Request, 0, false, now)
				d.decide(a.Request.ID, c)
			}
		}
	}
}

func (d *Dispatcher) decide(id string, verdict any) {
	w := d.waiting[id]
	if w == nil {
		return
	}
	d.forget(id, w)
	w.verdict <- verdict
}

func (d *Dispatcher) forget(id string, w *waiter) {
	delete(d.waiting, id)
	if d.services[w.service]--; d.services[w.service] <= 0 {
		delete(d.services, w.service)
	}
}

// Configure takes a new generation's policies, teams and services.
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

// Update replaces the instances of the failure domain and the number of entry hosts.
func (d *Dispatcher) Update(endpoints []messenger.Endpoint, m router.Membership) {
	now := time.Now()
	d.mutex.Lock()
	d.settings.Router.Update(endpoints, m, now)
	connections := d.settings.Router.Connections(now)
	d.startAll(now)
	d.mutex.Unlock()
	d.settings.Sender.Retain(connections)
}

// Demand returns the slot demand for the heartbeat to peer to.
func (d *Dispatcher) Demand(to string) []messenger.SlotDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.settings.Router.Demand(to, time.Now())
}

// Granted takes the grants in the answer of peer from to the heartbeat whose demand was
// taken at sentAt or later.
func (d *Dispatcher) Granted(from string, grants []messenger.SlotGrant, sentAt time.Time) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, g := range grants {
		d.settings.Router.Grant(from, g, sentAt, now)
	}
	d.startAll(now)
}

// Hold sends nothing to this failure domain's instances until the given time: requests
// that an earlier process of this host left behind may use its slots.
func (d *Dispatcher) Hold(until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settings.Router.Hold(until)
}

// Free returns the number of free slots by service, for heartbeats to other failure domains.
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
