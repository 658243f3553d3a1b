package coordinator

import (
	"context"
	"errors"
	"strings"
	"time"

	"peridotpitch/internal/readmitter"
)

const (
	// maxRouteQuestions bounds the questions for a queue that a host has in flight to the leader. Each holds a connection, and
	// the leader answers those of all hosts.
	maxRouteQuestions = 32
	// maxRouteTime bounds the wait for the leader's answer to a question. The leader needs a millisecond, but the question is
	// asked when a transfer fills the link.
	maxRouteTime = time.Second
	// maxSilenceForRoute is the age of the leader's last answer to a ping up to which it is asked. It is longer than
	// maxLeaderPingAge: pings fail too while a transfer fills the link.
	maxSilenceForRoute = 2500 * time.Millisecond
)

// RouteRequest asks for the queue of a caller's request.
type RouteRequest struct {
	Host       string // of the request, without a port
	Path       string
	Submission bool // the request submits a job
}

// routeBasis is the configuration by which a request was routed.
type routeBasis string

const (
	basisOwn      routeBasis = "own"      // the one in effect on this host, which is in time
	basisLeader   routeBasis = "leader"   // the leader's, because that of this host may have been replaced
	basisOutdated routeBasis = "outdated" // the one in effect on this host, although it may have been replaced
	basisNone     routeBasis = "none"     // none: the request is refused
)

// routeQuestion asks another host for the queue of a caller's request.
type routeQuestion struct {
	From        string // the asking host
	RequestHost string
	Path        string
}

// routeAnswer answers a routeQuestion. Without InTime the asked host can't tell, because its configuration may have been replaced.
type routeAnswer struct {
	InTime  bool
	Version uint64
	Found   bool
	Queue   Queue
}

// configurationInTime reports whether requests may be handled by the configuration in effect: no newer one was confirmed more
// than Settings.ConfigurationDeadline ago, and this host has handled none by a newer one of the leader.
func (c *Coordinator) configurationInTime() bool {
	d := c.settings.ConfigurationDeadline
	return d <= 0 || c.timeSinceConfigurationCheck() < d && c.configVersion() >= c.leadersVersionUsed.Load()
}

// Route implements JobService. A request that arrives here later than the deadline after the confirmation of a version is not
// routed by an older one: if the configuration in effect is not known to be that new, the leader is asked. If it can't tell
// either, and the store does not serve this host, requests about known queues are served as well as possible; those that submit
// jobs could not be stored.
func (c *Coordinator) Route(ctx context.Context, r RouteRequest) (Queue, string, *Answer) {
	inTime := c.configurationInTime() // before the configuration is loaded: a later check may be of a newer one
	own := c.config.Load()
	if inTime {
		q, found := own.route(r.Host, r.Path)
		return c.routed(r, q, found, basisOwn, own.Version, "")
	}
	a, t, err := c.askLeaderForRoute(ctx, r)
	if err == nil {
		return c.routed(r, a.Queue, a.Found, basisLeader, a.Version, t.Host)
	}
	q, found := own.route(r.Host, r.Path)
	outage := c.storeUnavailable.Load() && c.timeSinceStoreSuccess() >= minOutageSilence && !c.transferring()
	if found && outage && !r.Submission && own.Version >= c.leadersVersionUsed.Load() {
		return c.routed(r, q, true, basisOutdated, own.Version, "")
	}
	refusal := readmitter.Refusal{Cause: readmitter.CauseNotConfigured, Priority: q.Policy.Priority}
	if outage {
		refusal.Cause, refusal.ID = readmitter.CauseOutage, r.Path[len(q.Prefix):]
	}
	age := c.timeSinceConfigurationCheck().Round(time.Millisecond).String()
	c.metrics.routes.WithLabelValues(string(basisNone)).Inc()
	c.log.Info("Route", "RequestHost", r.Host, "Path", r.Path[:min(len(r.Path), maxLoggedPath)], "Outcome", string(OutcomeUnavailable),
		"Basis", string(basisNone), "Reason", err.Error(), "OwnVersion", own.Version, "CheckedAgo", age)
	return Queue{}, "", &Answer{Outcome: OutcomeUnavailable, RetryAfter: c.retryAfter(refusal),
		Reason: "the configuration was last known to be the newest one " + age + " ago, and the leader can't be asked: " + err.Error()}
}

// routed returns the result of Route and logs it, unless the queue was found in a configuration that is in time: then the line of
// the request's outcome has the version.
func (c *Coordinator) routed(r RouteRequest, q Queue, found bool, basis routeBasis, version uint64, leader string) (Queue, string, *Answer) {
	c.metrics.routes.WithLabelValues(string(basis)).Inc()
	age, path := c.timeSinceConfigurationCheck().Round(time.Millisecond).String(), r.Path[:min(len(r.Path), maxLoggedPath)]
	if basis != basisOwn && found {
		c.log.Info("Route", "RequestHost", r.Host, "Path", path, "Outcome", string(OutcomeDone), "Basis", string(basis),
			"Version", version, "Leader", leader, "OwnVersion", c.configVersion(), "CheckedAgo", age)
	}
	if !found {
		c.metrics.requestDuration.WithLabelValues("route", "", string(OutcomeNoSuchQueue)).Observe(0)
		c.log.Info("QueueUnknown", "RequestHost", r.Host, "Path", path, "Outcome", string(OutcomeNoSuchQueue),
			"Version", version, "CheckedAgo", age, "Basis", string(basis))
		return Queue{}, "", &Answer{Outcome: OutcomeNoSuchQueue, Reason: "no such queue"}
	}
	return q, r.Path[len(q.Prefix):], nil
}

// Reasons for which the leader is not asked, or its answer is not used.
var (
	errLeaderOutOfTime    = errors.New("the leader's configuration may have been replaced too")
	errLeaderOlder        = errors.New("the leader's configuration is older than the one used last")
	errRouteQuestionsBusy = errors.New("too many questions are in flight")
	errThisHostLeads      = errors.New("this host leads")
	errOtherQueue         = errors.New("the leader's answer is about another path")
)

// askLeaderForRoute has the leader find the queue of a request, and returns its term too. The answer is by a configuration that is
// in time.
func (c *Coordinator) askLeaderForRoute(ctx context.Context, r RouteRequest) (routeAnswer, term, error) {
	p, err := c.leaderToAsk()
	if err != nil {
		return routeAnswer{}, term{}, err
	}
	select {
	case c.routeSlots <- struct{}{}:
		defer func() { <-c.routeSlots }()
	default:
		return routeAnswer{}, term{}, errRouteQuestionsBusy
	}
	var a routeAnswer
	timeout := maxRouteTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-forwardAnswerMargin)
	}
	err = c.client(p.term.address()).Invoke(ctx, timeout, methodRoute,
		&routeQuestion{From: c.settings.Name, RequestHost: r.Host, Path: r.Path}, &a)
	switch {
	case err != nil:
		return routeAnswer{}, term{}, err
	case !a.InTime:
		return routeAnswer{}, term{}, errLeaderOutOfTime
	case a.Found && !strings.HasPrefix(r.Path, a.Queue.Prefix):
		return routeAnswer{}, term{}, errOtherQueue
	}
	c.noteOtherHostsVersion(a.Version)
	if own := c.config.Load(); a.Version < own.Version {
		// The leader's configuration is in time, so this host's newer one is too.
		a.Version = own.Version
		a.Queue, a.Found = own.route(r.Host, r.Path)
	}
	if raise(&c.leadersVersionUsed, a.Version) {
		return routeAnswer{}, term{}, errLeaderOlder
	}
	return a, p.term, nil
}

// leaderToAsk returns the last answer to a ping of a leader that can find queues, or what speaks against it. A host that does
// not lead any more can find them too.
func (c *Coordinator) leaderToAsk() (*leaderPing, error) {
	if c.currentLeadership() != nil {
		return nil, errThisHostLeads
	}
	p, obstacle := c.answeringHost(maxSilenceForRoute)
	switch {
	case obstacle != "":
		return nil, errors.New(obstacle)
	case p.answer.ConfigurationAge >= c.settings.ConfigurationDeadline:
		return nil, errLeaderOutOfTime
	}
	return p, nil
}

// serveRoute answers another host's question for a queue.
func (c *Coordinator) serveRoute(_ context.Context, r routeQuestion) (routeAnswer, error) {
	if !c.Configured() || !c.configurationInTime() {
		return routeAnswer{}, nil
	}
	n := c.config.Load()
	a := routeAnswer{InTime: true, Version: n.Version}
	a.Queue, a.Found = n.route(r.RequestHost, r.Path)
	return a, nil
}

// routesRequests reports whether Route would find queues, by this host's configuration or by the leader's.
func (c *Coordinator) routesRequests() bool {
	if c.configurationInTime() {
		return true
	}
	_, err := c.leaderToAsk()
	return err == nil
}
