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

// instanceKey identifies a configured instance of a service within the failure domain.
// The tasks that replace each other as this instance share the key.
type instanceKey struct {
	service string
	index   int
}

func (t *task) instanceKey() instanceKey { return instanceKey{t.service, t.index} }

// shardsInDomain returns the shards of a failure domain, sorted.
func shardsInDomain(c *configurator.Configuration, domain string) []string {
	var shards []string
	for _, w := range c.Workers {
		if name := w.FailureDomain + "/" + w.Shard; w.FailureDomain == domain && !slices.Contains(shards, name) {
			shards = append(shards, name)
		}
	}
	slices.Sort(shards)
	return shards
}

// desiredInstances returns the instances that this shard must run. The instances of a
// failure domain are assigned to its shards round-robin, from an offset that depends on
// the service's name.
func (s *Shard) desiredInstances() map[instanceKey]*configurator.Service {
	shards := shardsInDomain(s.config, s.settings.FailureDomain)
	want := make(map[instanceKey]*configurator.Service)
	for i := range s.config.Services {
		v := &s.config.Services[i]
		offset := int(xxhash.Sum64String(v.Name) % uint64(max(1, len(shards))))
		for k := range v.Instances[s.settings.FailureDomain] {
			if len(shards) > 0 && shards[(offset+k)%len(shards)] == s.settings.Shard {
				want[instanceKey{v.Name, k}] = v
			}
		}
	}
	return want
}

// reconcile adds missing instances and retires instances that are no longer desired.
func (s *Shard) reconcile(now time.Time) {
	if s.phase != phaseOwned || s.config == nil {
		return
	}
	want := s.desiredInstances()
	have := make(map[instanceKey]bool)
	for _, t := range s.selectTasks(func(t *task) bool { return t.kind == commander.KindService }) {
		if want[t.instanceKey()] == nil || have[t.instanceKey()] && !t.retiring {
			s.retire(t, "instance is not configured for this shard or is a duplicate", now)
		}
		// The journal does not store the size and class of an inherited instance.
		if t.Spec.Declared == (configurator.Resources{}) && want[t.instanceKey()] != nil {
			t.Spec.Declared, t.Spec.Class = want[t.instanceKey()].Size, want[t.instanceKey()].Class
		}
		if !t.retiring {
			have[t.instanceKey()] = true
		}
	}
	for k, v := range want {
		if !have[k] && !now.Before(s.instanceRetryAt[k]) && !s.storeUnavailable {
			s.addInstance(k, v, now)
		}
	}
}

// addInstance adds a new instance. Its name contains the journal's sequence number and
// so differs from the name of any earlier instance that a worker may still list.
func (s *Shard) addInstance(k instanceKey, v *configurator.Service, now time.Time) {
	name := fmt.Sprintf("%s.%s.%d.%d", k.service, s.settings.FailureDomain, k.index, s.journal.Sequence+1)
	if s.tasks[name] != nil {
		return
	}
	t := &task{kind: commander.KindService, service: k.service, index: k.index}
	t.Spec = JobSpec{Name: name, Class: v.Class, Declared: v.Size, Urgent: true}
	t.State, t.Submitted = JobPending, now
	s.tasks[name] = t
	s.version++
	t.submittedVersion, t.changedVersion = s.version, s.version
}

// retire marks an instance as retiring: it is stopped, after a replacement has started if
// one is needed. An instance for which no start was sent is removed at once.
func (s *Shard) retire(t *task, cause string, now time.Time) {
	if t.retiring {
		return
	}
	if !t.maybeStarted {
		s.removeInstance(t)
		return
	}
	t.retiring, t.retiringSince, t.gracePeriod, t.State = true, now, instanceDrainPeriod, JobEvicting
	s.markChanged(t)
	s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindDrain, Rule: "ReplaceThenStop", Cause: cause, Worker: t.Worker}, now)
}

// mayStop reports whether an evicted task or a retiring instance may be stopped. An
// instance that is still desired is stopped once its replacement is running, but at the
// latest after retirementTimeout.
func (s *Shard) mayStop(t *task, now time.Time) bool {
	if t.kind != commander.KindService || now.Sub(t.retiringSince) > retirementTimeout || s.desiredInstances()[t.instanceKey()] == nil {
		return true
	}
	for _, o := range s.tasks {
		if o.kind == commander.KindService && o.instanceKey() == t.instanceKey() && !o.retiring && o.report.State == commander.TaskRunning && o.report.Address != "" {
			return true
		}
	}
	return false
}

// publishEndpoints emits the endpoints of running instances if they have changed.
func (s *Shard) publishEndpoints() {
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
			Draining: t.retiring && !t.stopSentAt.IsZero(), Slowdown: t.report.Slowdown,
		})
	}
	slices.SortFunc(es, func(a, b Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	if !slices.Equal(es, s.endpoints) {
		s.endpoints = es
		s.emit(PublishEndpoints{Endpoints: slices.Clone(es)})
	}
}
