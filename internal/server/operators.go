package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
)

// operatorBackend handles operators' requests to this host.
type operatorBackend struct{ h *host }

var _ administrator.Backend = operatorBackend{}

func notFound(what, name string) error {
	return &administrator.Error{Code: administrator.CodeNotFound, Message: what + " " + name + " does not exist"}
}

func (b operatorBackend) ApplyConfiguration(ctx context.Context, s publisher.Submission) (publisher.ApplyResult, error) {
	return b.h.publisher.Apply(ctx, s)
}

func (b operatorBackend) ShowConfiguration(context.Context) (administrator.ConfigurationView, error) {
	a := b.h.configuration.Load()
	if a == nil {
		return administrator.ConfigurationView{}, &administrator.Error{Code: administrator.CodeNotFound, Message: errNoConfiguration.Error()}
	}
	now := time.Now()
	v := administrator.ConfigurationView{Host: b.h.settings.Name, Record: a.record, InEffectFor: now.Sub(a.adoptedAt)}
	v.Hosts = append(v.Hosts, administrator.HostGeneration{Host: v.Host, Generation: a.record.Generation, InEffectFor: v.InEffectFor})
	for _, p := range b.h.members.Peers(now) {
		age := now.Sub(p.LastHeartbeat)
		v.Hosts = append(v.Hosts, administrator.HostGeneration{Host: p.Host, Generation: p.Generation, InEffectFor: p.InEffectFor + age, HeardAgo: age})
	}
	slices.SortFunc(v.Hosts, func(a, b administrator.HostGeneration) int { return cmp.Compare(a.Host, b.Host) })
	return v, nil
}

func (b operatorBackend) ConfigurationHistory(ctx context.Context, limit int) ([]configurator.Record, error) {
	return b.h.publisher.History(ctx, limit)
}

// jobStatus converts the owner's answer to a submission or cancellation to an operator's
// result: a refusal becomes an error.
func jobStatus(a messenger.JobAnswer, err error) (scheduler.JobStatus, error) {
	if err == nil && !a.Accepted {
		err = &administrator.Error{Code: administrator.CodeRefused, Message: a.Reason}
	}
	return a.Status, err
}

func (b operatorBackend) SubmitJob(ctx context.Context, spec scheduler.JobSpec) (scheduler.JobStatus, error) {
	return jobStatus(b.h.submit(ctx, spec))
}

func (b operatorBackend) CancelJob(ctx context.Context, name string) (scheduler.JobStatus, error) {
	return jobStatus(b.h.cancel(ctx, name))
}

// gather calls all live peers concurrently and returns the answers that arrive.
func gather[T any](ctx context.Context, h *host, call func(context.Context, *link) (T, error)) []T {
	links := h.peers.all()
	answers := make([]*T, len(links))
	var wg sync.WaitGroup
	for i, l := range links {
		if !h.members.Alive(l.name, time.Now()) {
			continue
		}
		wg.Go(func() {
			a, err := call(ctx, l)
			if err != nil {
				h.log.Debug("entry host gave no answer", "Peer", l.name, "Error", err)
				return
			}
			answers[i] = &a
		})
	}
	wg.Wait()
	var found []T
	for _, a := range answers {
		if a != nil {
			found = append(found, *a)
		}
	}
	return found
}

// jobs returns the matching jobs of this host and all live peers, sorted by name.
func (b operatorBackend) jobs(ctx context.Context, m messenger.ListRequest) []scheduler.JobStatus {
	js := b.h.owner.List(m)
	for _, a := range gather(ctx, b.h, func(ctx context.Context, l *link) ([]scheduler.JobStatus, error) {
		return l.client.ListJobs(ctx, m)
	}) {
		js = append(js, a...)
	}
	slices.SortFunc(js, func(a, b scheduler.JobStatus) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return js
}

func (b operatorBackend) ListJobs(ctx context.Context, f administrator.JobFilter) ([]scheduler.JobStatus, error) {
	limit := f.Limit
	if limit <= 0 {
		limit = administrator.DefaultJobLimit
	}
	var js []scheduler.JobStatus
	for _, j := range b.jobs(ctx, messenger.ListRequest{}) {
		if (f.Team == "" || j.Spec.Team == f.Team) && (f.State == "" || j.State == f.State) && len(js) < limit {
			js = append(js, j)
		}
	}
	return js, nil
}

func (b operatorBackend) ShowJob(ctx context.Context, name string) (scheduler.JobStatus, error) {
	for _, j := range b.jobs(ctx, messenger.ListRequest{Name: name, Limit: 1}) {
		if j.Spec.Name == name {
			return j, nil
		}
	}
	return scheduler.JobStatus{}, notFound("job", name)
}

func (b operatorBackend) ListServices(context.Context) ([]administrator.ServiceStatus, error) {
	a := b.h.configuration.Load()
	if a == nil {
		return nil, nil
	}
	es := b.h.endpoints.all()
	var ss []administrator.ServiceStatus
	for _, s := range a.parsed.Services {
		status := administrator.ServiceStatus{Name: s.Name, Class: s.Class, Wanted: s.Instances}
		for _, e := range es {
			if e.Service == s.Name {
				status.Instances = append(status.Instances, e)
			}
		}
		ss = append(ss, status)
	}
	return ss, nil
}

func (b operatorBackend) ShowService(ctx context.Context, name string) (administrator.ServiceStatus, error) {
	ss, err := b.ListServices(ctx)
	for _, s := range ss {
		if s.Name == name {
			return s, nil
		}
	}
	return administrator.ServiceStatus{}, errors.Join(err, notFound("service", name))
}

func (b operatorBackend) ListHosts(context.Context) ([]administrator.HostStatus, error) {
	a := b.h.configuration.Load()
	if a == nil {
		return nil, nil
	}
	now := time.Now()
	peers := make(map[string]uint64)
	for _, p := range b.h.members.Peers(now) {
		peers[p.Host] = p.Generation
	}
	peers[b.h.settings.Name] = a.record.Generation
	var hs []administrator.HostStatus
	for _, e := range a.parsed.EntryHosts {
		alive := e.Name == b.h.settings.Name || b.h.members.Alive(e.Name, now)
		hs = append(hs, administrator.HostStatus{
			Name: e.Name, Role: "entry", FailureDomain: e.FailureDomain,
			State: b.hostState(e.Name, alive), Generation: peers[e.Name],
		})
	}
	for _, w := range a.parsed.Workers {
		hs = append(hs, administrator.HostStatus{
			Name: w.Name, Role: "worker", FailureDomain: w.FailureDomain, Rack: w.Rack, Shard: w.Shard,
			State: b.hostState(w.Name, true), Capacity: w.Capacity,
		})
	}
	return hs, nil
}

func (b operatorBackend) hostState(host string, alive bool) string {
	switch {
	case b.h.members.Leaving(host):
		return "leaving"
	case !alive:
		return "unresponsive"
	default:
		return "live"
	}
}

// DrainHost records the operator's notice and sends it to all live entry hosts. The
// others receive it with later heartbeats.
func (b operatorBackend) DrainHost(ctx context.Context, name string, undo bool) error {
	a := b.h.configuration.Load()
	if a == nil || !isConfiguredHost(a.parsed, name) {
		return notFound("host", name)
	}
	b.h.members.SetLeaving(name, messenger.SourceOperator, !undo)
	b.h.log.Info("operator changed a host's state", "Leaving", name, "Undo", undo)
	gather(ctx, b.h, func(ctx context.Context, l *link) (struct{}, error) {
		return struct{}{}, l.client.Drain(ctx, name, undo)
	})
	return nil
}

func isConfiguredHost(c *configurator.Configuration, name string) bool {
	return slices.ContainsFunc(c.EntryHosts, func(e configurator.EntryHost) bool { return e.Name == name }) ||
		slices.ContainsFunc(c.Workers, func(w configurator.Worker) bool { return w.Name == name })
}

func (b operatorBackend) Explain(ctx context.Context, id string) ([]messenger.ExplainAnswer, error) {
	as := append([]messenger.ExplainAnswer{b.h.explainLocal(id)},
		gather(ctx, b.h, func(ctx context.Context, l *link) (messenger.ExplainAnswer, error) { return l.client.Explain(ctx, id) })...)
	as = slices.DeleteFunc(as, func(a messenger.ExplainAnswer) bool { return len(a.Records) == 0 })
	// The journal keeps a job's last decision after the host that made it has stopped.
	if j, err := b.ShowJob(ctx, id); err == nil && j.Decision != "" {
		as = append(as, messenger.ExplainAnswer{Host: "journal of shard " + j.Shard, Records: []string{
			fmt.Sprintf("state=%s attempt=%d evictions=%d decision=%q", j.State, j.Attempt, j.Evictions, j.Decision),
		}})
	}
	if len(as) == 0 {
		return nil, notFound("decision record of", id)
	}
	return as, nil
}

func (b operatorBackend) Status(ctx context.Context) (administrator.Status, error) {
	reasons := b.h.notReady()
	hosts, err := b.ListHosts(ctx)
	s := administrator.Status{
		Host: b.h.settings.Name, FailureDomain: b.h.settings.FailureDomain, Version: b.h.version,
		Uptime: time.Since(b.h.started), Ready: len(reasons) == 0, NotReady: reasons, Leaving: b.h.leaving.Load(),
		StoreState: "available", Hosts: hosts,
	}
	if a := b.h.configuration.Load(); a != nil {
		s.Generation, s.InEffectFor = a.record.Generation, time.Since(a.adoptedAt)
	}
	if b.h.storeDown.Load() {
		s.StoreState = "unavailable"
	}
	for _, sh := range b.h.owner.Shards() {
		s.Shards = append(s.Shards, administrator.ShardStatus{Name: sh.Shard, Owner: sh.Owner, Epoch: sh.Epoch, Jobs: sh.Jobs})
	}
	return s, err
}
