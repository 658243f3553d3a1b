package orchestrator

import (
	"time"

	"peridotpitch/internal/converter"
)

const (
	// A job waits jobWaits times in a row for the leader's processor or its state machine, and stepWaits times more for each of its
	// steps: for its notice (read, applied), the write of its final state (begun, collected, answer read, confirmed, applied) and the
	// request for its state (read, answered); for the pass of a step, its start (sent, answer read, applied) and its end (poll begun,
	// sent, answer read, applied).
	jobWaits  = 9
	stepWaits = 8
	// slackWeight is the weight of one job in the slack of its queue.
	slackWeight = 0.05
	// urgencyMemory is how long after its last job the most urgent queue counts.
	urgencyMemory = 10 * time.Second
	// maxBacklogLag is the lag that is allowed without urgent jobs, while tasks are left that have waited for them. Other hosts give a
	// leader twice as long to answer.
	maxBacklogLag = 250 * time.Millisecond
	// maxPacedIdleTime is how long a job may be without a run because of the limit on starts. The platform counts a job as
	// lost if nothing of it runs for 3 s while less than half of the capacity is in use.
	maxPacedIdleTime = time.Second
)

// urgentQueue is the most urgent of the queues of jobs that end.
type urgentQueue struct {
	priority int
	slack    time.Duration // moving average of the time that its jobs have beyond their work for each wait for the leader
	seenAt   time.Time     // when its last job was added; zero: there is none
}

// noteUrgency updates the most urgent queue by a new job.
func (o *Orchestrator) noteUrgency(j *job) {
	if len(j.Steps) == 0 || j.Steps[0].LongRunning || j.Policy.TargetDuration <= 0 {
		return
	}
	p := j.Policy
	slack := (j.deadline.Sub(j.Submitted) - o.longestChain(j)) / time.Duration(jobWaits+stepWaits*len(j.Steps))
	known := !o.urgent.seenAt.IsZero() && (o.now.Sub(o.urgent.seenAt) < urgencyMemory || o.pacer.Limit() > 0)
	switch {
	case !known, p.Priority < o.urgent.priority:
		o.urgent = urgentQueue{priority: p.Priority, slack: slack, seenAt: o.now}
	case p.Priority == o.urgent.priority:
		o.urgent.slack, o.urgent.seenAt = o.urgent.slack+converter.Scale(slack-o.urgent.slack, slackWeight), o.now
	}
}

// allowedLag returns how late the leader may be so that jobs of the most urgent queue can still end in time, 0 for any lag. What has
// waited for urgent jobs starts in order after them, too.
func (o *Orchestrator) allowedLag() time.Duration {
	switch {
	case o.urgent.seenAt.IsZero() || !o.enabled(MechanismPacedStarts):
		return 0
	case o.now.Sub(o.urgent.seenAt) < urgencyMemory:
		return o.urgent.slack
	case o.pacer.Limit() > 0:
		return max(o.urgent.slack, maxBacklogLag)
	}
	return 0
}

// canWait reports whether urgent jobs go before the starts of a step when the leader is late. Long-running tasks are not left out:
// each second without a run costs the same.
func (o *Orchestrator) canWait(s *step) bool {
	return !s.LongRunning && s.occurrence.job.Policy.Priority > o.urgent.priority
}

// paced reports whether the starts of a step are limited now.
func (o *Orchestrator) paced(s *step) bool { return o.pacer.Limit() > 0 && o.canWait(s) }

// starvedByPacer reports whether a job has had nothing running for so long that one of its tasks starts whatever the limit is.
// That is so only while the load is light: otherwise jobs wait for capacity too.
func (o *Orchestrator) starvedByPacer(s *step) bool {
	j := s.occurrence.job
	return j.load.light && j.runCount == 0 && o.now.Sub(j.idleSince) > maxPacedIdleTime
}
