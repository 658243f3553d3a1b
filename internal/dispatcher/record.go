package dispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
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

// record keeps a decision and logs it in one line. Routing decisions are logged at the
// debug level, because there is at least one for each request.
func (d *Dispatcher) record(t *task, kind DecisionKind, cause, rule, result string, candidates []router.Candidate) {
	if d.settings.Recorder != nil {
		d.settings.Recorder.Record(Decision{
			At: time.Now(), Kind: kind, Request: t.request.ID, Service: t.request.Service,
			Tenant: t.request.Tenant, Cause: cause, Rule: rule, Candidates: candidates, Result: result,
		})
	}
	level := slog.LevelInfo
	if kind == DecisionRoute {
		level = slog.LevelDebug
	}
	ctx := context.Background()
	if !d.settings.Logger.Enabled(ctx, level) {
		return
	}
	d.settings.Logger.Log(ctx, level, "request "+string(kind),
		"request", t.request.ID, "service", t.request.Service, "tenant", t.request.Tenant,
		"cause", cause, "rule", rule, "result", result, "candidates", describe(candidates))
}

func describe(candidates []router.Candidate) string {
	var b strings.Builder
	for i, c := range candidates {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprint(&b, c)
	}
	return b.String()
}
