package dispatcher

import (
	"time"

	"peridotpitch/internal/router"
)

// DecisionKind says what was decided about a request.
type DecisionKind string

// Decision kinds.
const (
	DecisionRoute   DecisionKind = "route"   // sent to an instance
	DecisionRetry   DecisionKind = "retry"   // sent again, or not although it might be
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
	Cause      string // why a decision was due
	Rule       string // the rule that made it
	Candidates []router.Candidate
	Result     string
}

// Recorder keeps decision records. It must not block.
type Recorder interface {
	Record(d Decision)
}

// record keeps a decision. The recorder writes its log line.
func (d *Dispatcher) record(t *task, kind DecisionKind, cause, rule, result string, candidates []router.Candidate) {
	if d.settings.Recorder == nil {
		return
	}
	d.settings.Recorder.Record(Decision{
		At: time.Now(), Kind: kind, Request: t.request.ID, Service: t.request.Service,
		Tenant: t.request.Tenant, Cause: cause, Rule: rule, Candidates: candidates, Result: result,
	})
}
