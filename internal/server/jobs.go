package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/shardowner"
)

// unknownHostError reports that there is no link to an entry host of this name.
type unknownHostError struct{ Host string }

func (e *unknownHostError) Error() string { return fmt.Sprintf("entry host %q is not known", e.Host) }

// notSent reports whether err means that no part of the message left this host.
func notSent(err error) bool {
	var e *messenger.NotSentError
	var u *unknownHostError
	return errors.As(err, &e) || errors.As(err, &u)
}

// shardOwner returns the host that most likely owns the shard: this host if it is the
// owner, else the host that last claimed the shard in a heartbeat, else the owner in the
// journal.
func (h *host) shardOwner(shard string) string {
	owner := h.owner.Owner(shard)
	if owner == h.settings.Name {
		return owner
	}
	return cmp.Or(h.endpoints.claimant(shard), owner)
}

// callOwner calls local if this host owns the job's shard, otherwise remote with the
// owner's link. If local fails because the shard has another owner, it calls that owner
// once.
func (h *host) callOwner(job string, local func() (messenger.JobAnswer, error), remote func(*link) (messenger.JobAnswer, error)) (messenger.JobAnswer, error) {
	shard := h.owner.HomeShard(job)
	if shard == "" {
		return messenger.JobAnswer{}, &administrator.Error{Code: administrator.CodeUnavailable, Message: "no configuration is in effect"}
	}
	owner := h.shardOwner(shard)
	if owner == h.settings.Name {
		a, err := local()
		var notOwner *shardowner.NotOwnerError
		if !errors.As(err, &notOwner) {
			return a, err
		}
		owner = notOwner.Owner
	}
	l, ok := h.peers.get(owner)
	if !ok {
		return messenger.JobAnswer{}, &administrator.Error{Code: administrator.CodeUnavailable,
			Message: fmt.Sprintf("shard %s has no known owner at the moment; repeat the request later", shard)}
	}
	a, err := remote(l)
	if err != nil && notSent(err) {
		return a, &administrator.Error{Code: administrator.CodeUnavailable,
			Message: fmt.Sprintf("owner %s of shard %s cannot be reached; repeat the request later", owner, shard)}
	}
	if err != nil {
		return a, &administrator.Error{Code: administrator.CodeUnknownOutcome,
			Message: fmt.Sprintf("owner %s of shard %s gave no answer: %s; the request is idempotent, repeat it", owner, shard, err)}
	}
	return a, nil
}

func (h *host) submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error) {
	return h.callOwner(spec.Name,
		func() (messenger.JobAnswer, error) { return h.owner.Submit(ctx, spec) },
		func(l *link) (messenger.JobAnswer, error) { return l.client.SubmitJob(ctx, spec) })
}

func (h *host) cancel(ctx context.Context, name string) (messenger.JobAnswer, error) {
	return h.callOwner(name,
		func() (messenger.JobAnswer, error) { return h.owner.Cancel(ctx, name) },
		func(l *link) (messenger.JobAnswer, error) { return l.client.CancelJob(ctx, name) })
}

// peerHandler handles messages from other entry hosts.
type peerHandler struct{ h *host }

var _ messenger.Handler = peerHandler{}

func (p peerHandler) Exchange(_ context.Context, m messenger.Heartbeat) (messenger.HeartbeatAnswer, error) {
	return p.h.handleHeartbeat(m), nil
}

func (p peerHandler) Forward(ctx context.Context, m messenger.ForwardRequest) (messenger.ForwardAnswer, error) {
	return p.h.dispatcher.HandleForwarded(ctx, m), nil
}

// refuseNotOwner converts a NotOwnerError to a refusal. The calling host determines the
// owner again when the request is repeated.
func refuseNotOwner(a messenger.JobAnswer, err error) (messenger.JobAnswer, error) {
	var notOwner *shardowner.NotOwnerError
	if errors.As(err, &notOwner) {
		return messenger.JobAnswer{Reason: notOwner.Error()}, nil
	}
	return a, err
}

func (p peerHandler) SubmitJob(ctx context.Context, m scheduler.JobSpec) (messenger.JobAnswer, error) {
	return refuseNotOwner(p.h.owner.Submit(ctx, m))
}

func (p peerHandler) CancelJob(ctx context.Context, name string) (messenger.JobAnswer, error) {
	return refuseNotOwner(p.h.owner.Cancel(ctx, name))
}

func (p peerHandler) ListJobs(_ context.Context, m messenger.ListRequest) ([]scheduler.JobStatus, error) {
	return p.h.owner.List(m), nil
}

func (p peerHandler) Explain(_ context.Context, id string) (messenger.ExplainAnswer, error) {
	return p.h.explainLocal(id), nil
}

func (p peerHandler) Drain(_ context.Context, host string, undo bool) error {
	p.h.members.SetLeaving(host, messenger.SourceOperator, !undo)
	return nil
}

func (p peerHandler) FetchConfiguration(context.Context) (configurator.Record, error) {
	a := p.h.configuration.Load()
	if a == nil {
		return configurator.Record{}, errNoConfiguration
	}
	return a.record, nil
}

var errNoConfiguration = errors.New("no configuration is in effect on this host")
