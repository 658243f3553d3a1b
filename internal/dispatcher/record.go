package dispatcher

import (
	"time"

	"peridotpitch/internal/router"
)

// DecisionKind is the kind of a decision about a request.
type DecisionKind string

// Decision kinds.
const (
	DecisionRoute   DecisionKind = "route"   // sent to an instance
	DecisionRetry   DecisionKind = "retry"   // sent again, or a failed attempt was not retried
	DecisionForward DecisionKind = "forward" // sent to another failure domain
	DecisionRefuse  DecisionKind = "refuse"  // ended without being sent
)

// Decision is the record of one decision about a request.
type Decision struct {
	At         time.Time
	Kind       DecisionKind
	Request    string
	Service    string
	Tenant     string
	Cause      string // event or state that required the decision
	Rule       string // rule that determined the result
	Candidates []router.Candidate
	Result     string
}

// Recorder keeps decision records. It must not block.
type Recorder interface {
	Record(d Decision)
}

// record passes a decision to the recorder, if there is one.
func (d *Dispatcher) record(r *requestState, kind DecisionKind, cause, rule, result string, candidates []router.Candidate) {
	if d.settings.Recorder == nil {
		return
	}
	d.settings.Recorder.Record(Decision{
		At: time.Now(), Kind: kind, Request: r.request.ID, Service: r.request.Service,
		Tenant: r.request.Tenant, Cause: cause, Rule: rule, Candidates: candidates, Result: result,
	})
}
