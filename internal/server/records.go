package server

import (
	"cmp"
	"slices"
	"strings"

	"peridotpitch/internal/dispatcher"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/recorder"
)

// generationAndKey returns the generation of the configuration in effect and the name of
// the key that signed it.
func (h *host) generationAndKey() (uint64, string) {
	a := h.configuration.Load()
	if a == nil {
		return 0, ""
	}
	return a.record.Generation, a.record.Key
}

// recordScheduling stores the record of a decision about a job, task or worker.
func (h *host) recordScheduling(r recorder.Record) {
	r.Generation, r.SignedBy = h.generationAndKey()
	h.records.Add(r)
}

// requestRecorder stores the records of decisions about requests. It implements
// dispatcher.Recorder.
type requestRecorder struct{ h *host }

func (r requestRecorder) Record(d dispatcher.Decision) {
	generation, key := r.h.generationAndKey()
	rec := recorder.Record{
		Time: d.At, Kind: recorder.Kind(d.Kind), Request: d.Request, Subject: d.Service, Cause: d.Cause, Rule: d.Rule,
		Outcome: d.Result, Generation: generation, SignedBy: key,
	}
	for _, c := range d.Candidates {
		rec.Candidates = append(rec.Candidates, recorder.Candidate{
			Name: c.Instance, Figures: []recorder.Figure{{Name: "Cost", Value: c.Cost}}, Rejected: c.Note,
		})
	}
	r.h.records.Add(rec)
}

// explainLocal renders this host's decision records about a job, task, worker or request,
// oldest first.
func (h *host) explainLocal(id string) messenger.ExplainAnswer {
	rs := h.records.Explain(id)
	slices.SortStableFunc(rs, func(a, b recorder.Record) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	a := messenger.ExplainAnswer{Host: h.settings.Name}
	for _, r := range rs {
		a.Records = append(a.Records, strings.TrimSpace(recorder.Render(r)))
	}
	return a
}
