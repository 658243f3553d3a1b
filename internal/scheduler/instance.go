package scheduler

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/recorder"
)

// slot is one wanted instance of a service.
type slot struct {
	service string
	index   int
}

func (t *task) slot() slot { return slot{t.service, t.index} }

// shardsOf returns the shards of a failure domain, sorted.
func shardsOf(c *configurator.Configuration, domain string) []string {
	var shards []string
	for _, w := range c.Workers {
		if name := w.FailureDomain + "/" + w.Shard; w.FailureDomain == domain && !slices.Contains(shards, name) {
			shards = append(shards, name)
		}
	}
	slices.Sort(shards)
	return shards
}

// wanted returns the instances that this shard must run: the failure domain's count is
// dealt out to its shards in turn.
func (s *Shard) wanted() map[slot]*configurator.Service {
	shards := shardsOf(s.config, s.settings.FailureDomain)
	want := make(map[slot]*configurator.Service)
	for i := range s.config.Services {
		v := &s.config.Services[i]
		offset := int(xxhash.Sum64String(v.Name) % uint64(max(1, len(shards))))
		for k := range v.Instances[s.settings.FailureDomain] {
			if len(shards) > 0 && shards[(offset+k)%len(shards)] == s.settings.Shard {
				want[slot{v.Name, k}] = v
			}
		}
	}
	return want
}

// reconcile starts missing instances and retires those that are not wanted.
func (s *Shard) reconcile(now time.Time) {
	if s.phase != phaseOwned || s.config == nil {
		return
	}
	want := s.wanted()
	have := make(map[slot]bool)
	for _, t := range s.selected(func(t *task) bool { return t.kind == commander.KindService }) {
		if want[t.slot()] == nil || have[t.slot()] && !t.retiring {
			s.retire(t, "not wanted any more", now)
		}
		if t.Spec.Declared == (configurator.Resources{}) && want[t.slot()] != nil {
			t.Spec.Declared, t.Spec.Class = want[t.slot()].Size, want[t.slot()].Class
		}
		if !t.retiring {
			have[t.slot()] = true
		}
	}
	for k, v := range want {
		if !have[k] && !now.Before(s.retrySlots[k]) && !s.storeDown {
			s.addInstance(k, v, now)
		}
	}
}

// addInstance lists a new instance. Its name contains the journal's sequence, so that
// it never equals that of an earlier instance that a worker may still list.
func (s *Shard) addInstance(k slot, v *configurator.Service, now time.Time) {
	name := fmt.Sprintf("%s.%s.%d.%d", k.service, s.settings.FailureDomain, k.index, s.journal.Sequence+1)
	if s.tasks[name] != nil {
		return
	}
	t := &task{kind: commander.KindService, service: k.service, index: k.index}
	t.Spec = JobSpec{Name: name, Class: v.Class, Declared: v.Size, Urgent: true}
	t.State, t.Submitted = JobPending, now
	s.tasks[name] = t
	s.version++
	t.submitted, t.changed = s.version, s.version
}

// retire marks an instance that must go. One that was never started goes at once.
func (s *Shard) retire(t *task, cause string, now time.Time) {
	if t.retiring {
		return
	}
	if !t.sent {
		s.remove(t)
		return
	}
	t.retiring, t.retireAt, t.grace, t.State = true, now, drainGrace, JobEvicting
	s.change(t)
	s.note(Record{ID: t.Spec.Name, Kind: recorder.KindDrain, Rule: "ReplaceThenStop", Cause: cause, Worker: t.Worker}, now)
}

// mayStop reports whether a task that must go may be stopped: an instance waits for its
// replacement, for a bounded time.
func (s *Shard) mayStop(t *task, now time.Time) bool {
	if t.kind != commander.KindService || now.Sub(t.retireAt) > retireWithin || s.wanted()[t.slot()] == nil {
		return true
	}
	for _, o := range s.tasks {
		if o.kind == commander.KindService && o.slot() == t.slot() && !o.retiring && o.report.State == commander.TaskRunning && o.report.Address != "" {
			return true
		}
	}
	return false
}

// publish sends the endpoints if they have changed.
func (s *Shard) publish() {
	var es []Endpoint
	for _, t := range s.tasks {
		if t.kind != commander.KindService || t.report.State != commander.TaskRunning {
			continue
		}
		a, err := netip.ParseAddrPort(t.report.Address)
		if err != nil {
			continue
		}
		es = append(es, Endpoint{
			Instance: t.Spec.Name, Service: t.service, Worker: t.Worker, Address: a,
			Draining: t.retiring && !t.stopSent.IsZero(), Slowdown: t.report.Slowdown,
		})
	}
	slices.SortFunc(es, func(a, b Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	if !slices.Equal(es, s.endpoints) {
		s.endpoints = es
		s.emit(PublishEndpoints{Endpoints: slices.Clone(es)})
	}
}
