package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// Guards against a command that counts as executed although the worker refused it without
// doing anything. If a stop command were lost in this way, a cancelled task would continue to
// run.
func TestWhichCommandsAreRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		err              error
		answered, fenced bool
	}{
		"done":             {nil, true, false},
		"no answer":        {errors.New("timeout"), false, false},
		"newer leader":     {&RefusedError{Fenced: true, Reason: "fence"}, true, true},
		"older run":        {&RefusedError{Reason: "old"}, true, false},
		"unhealthy worker": {&RefusedError{NotExecuted: true, Reason: "status 503"}, false, false},
		"replaced worker":  {&RefusedError{Replaced: true, Reason: "another instance answers"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered, fenced := commandResult(c.err)
			is.Equal(answered, c.answered)
			is.Equal(fenced, c.fenced)
		})
	}
}

// pollRecorder records the first poll and ends the poller.
type pollRecorder struct {
	WorkerClient
	poller  *poller
	request PollRequest
}

func (r *pollRecorder) Poll(_ context.Context, _ Target, l PollRequest) (orchestrator.PollAnswered, error) {
	r.request = l
	r.poller.cancel()
	return orchestrator.PollAnswered{}, errors.New("timeout")
}

// A leader is late in all that it does. Guards against workers that count as unreachable, and whose leases are not
// renewed, because the leader was slow to read their answers.
func TestPollAllowsForLagOfLeader(t *testing.T) {
	is := is.New(t)
	ld, _ := newTestLeadership(nil)
	ld.apply(orchestrator.Inherited{})
	ld.orch.Apply(orchestrator.WorkerListed{Worker: orchestrator.WorkerEntry{ID: "w0"}}, time.Now())
	ld.recordLag(1200 * time.Millisecond)
	p := &poller{ld: ld, target: Target{ID: "w0"}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	recorder := &pollRecorder{poller: p}
	ld.c.deps.Workers = recorder
	p.run(true)
	is.Equal(recorder.request.Lag, 1200*time.Millisecond)
}

// Guards against a worker that is given less time for the poll that would end its being unreachable than for the one that failed.
func TestPollOfUnreachableWorkerIsPatient(t *testing.T) {
	is := is.New(t)
	ld, _ := newTestLeadership(nil)
	is.Equal(ld.workerPoll(orchestrator.PollRequest{}).Wait, maxPollWait)
	q := ld.workerPoll(orchestrator.PollRequest{NoWait: true, Unreachable: true})
	is.Equal(q.Wait, 0*time.Second)
	is.Equal(q.Patience, maxPollWait)
	is.Equal(ld.workerPoll(orchestrator.PollRequest{NoWait: true}).Patience, 0*time.Second) // an answer is due at once
}
