package recorder

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind says what a decision did.
type Kind string

// Kinds of decisions.
const (
	KindPlace      Kind = "place"
	KindWait       Kind = "wait"
	KindNever      Kind = "never"
	KindPreempt    Kind = "preempt"
	KindEvict      Kind = "evict"
	KindThrottle   Kind = "throttle"
	KindRelease    Kind = "release"
	KindMove       Kind = "move"
	KindStop       Kind = "stop"
	KindRefuse     Kind = "refuse"
	KindRetry      Kind = "retry"
	KindRoute      Kind = "route"
	KindClaim      Kind = "claim"
	KindAdopt      Kind = "adopt"
	KindQuarantine Kind = "quarantine"
	KindProbe      Kind = "probe"
	KindReturn     Kind = "return"
	KindDrain      Kind = "drain"
	KindCancel     Kind = "cancel"
	KindEject      Kind = "eject"
	KindForward    Kind = "forward"
)

// kinds lists the values of the counter's kind label.
var kinds = map[Kind]bool{
	KindPlace: true, KindWait: true, KindNever: true, KindPreempt: true, KindEvict: true,
	KindThrottle: true, KindRelease: true, KindMove: true, KindStop: true, KindRefuse: true,
	KindRetry: true, KindRoute: true, KindClaim: true, KindAdopt: true, KindQuarantine: true,
	KindProbe: true, KindReturn: true, KindDrain: true, KindCancel: true, KindEject: true, KindForward: true,
}

// Figure is one number known at the time of a decision.
type Figure struct {
	Name  string // Pascal case, with its unit if it has one
	Value float64
}

// Candidate is something that a decision could have chosen, with the figures known then.
type Candidate struct {
	Name     string
	Figures  []Figure
	Age      time.Duration // of the figures at the time of the decision
	Rejected string        // why it was not eligible, empty if it was
}

// Record is one decision. Explain finds it by any of its identities; empty ones are
// ignored.
type Record struct {
	ID         uint64 // set by Add
	Time       time.Time
	Kind       Kind
	Job        string
	Task       string
	Worker     string
	Request    string
	Subject    string // another identity, for example a shard or a generation
	Cause      string // what made the decision necessary
	Rule       string // what made the choice; a name from a fixed set
	Outcome    string // what was chosen
	Candidates []Candidate
	Generation uint64 // configuration generation in effect
	SignedBy   string // key that signed it
}

// Options bounds a Recorder. A zero field takes its default.
type Options struct {
	MaxRecords int
	MaxBytes   int64
	// MaxReasons bounds the values of the counter's reason label.
	MaxReasons int
}

// Defaults of Options. At 500 decisions a second 16 MiB hold about a minute of placements;
// the last decision of a live job is in the journal as well.
const (
	DefaultMaxRecords = 40_000
	DefaultMaxBytes   = 16 << 20
	DefaultMaxReasons = 64
)

// Limits of one record.
const (
	maxCandidates = 16
	maxFigures    = 16
	maxText       = 1024 // bytes of Cause and of Outcome
	maxIdentity   = 256  // bytes of an identity
	otherReason   = "other"
)

// Recorder holds the newest records.
type Recorder struct {
	options Options
	log     *slog.Logger
	counter *prometheus.CounterVec

	mu      sync.Mutex
	next    uint64 // ID of the next record
	first   uint64 // ID of the oldest record held
	ring    []Record
	bytes   int64
	index   map[string][]uint64 // identity: IDs in ascending order
	reasons map[string]bool
}

// New returns a Recorder that logs to log and counts in registry, and a function that
// removes its counter from the registry.
func New(o Options, log *slog.Logger, registry prometheus.Registerer) (*Recorder, func(), error) {
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.MaxReasons <= 0 {
		o.MaxReasons = DefaultMaxReasons
	}
	r := &Recorder{
		options: o,
		log:     log,
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotpitch_decisions_total",
			Help: "Decisions by kind and by the rule that made the choice.",
		}, []string{"kind", "reason"}),
		next: 1, first: 1,
		index:   map[string][]uint64{},
		reasons: map[string]bool{},
	}
	if err := registry.Register(r.counter); err != nil {
		return nil, nil, err
	}
	return r, func() { registry.Unregister(r.counter) }, nil
}

// Add keeps a record, writes its log line and counts it. It sets the ID and returns it. A
// record longer than the limits is cut; the caller must not change Candidates afterwards.
func (r *Recorder) Add(d Record) uint64 {
	d.trim()
	r.mu.Lock()
	d.ID = r.next
	r.keep(d)
	reason := r.reason(d.Rule)
	r.mu.Unlock()
	kind := string(d.Kind)
	if !kinds[d.Kind] {
		kind = otherReason
	}
	r.counter.WithLabelValues(kind, reason).Inc()
	level := slog.LevelInfo
	if d.Kind == KindRoute { // at least one for each request
		level = slog.LevelDebug
	}
	if r.log.Enabled(context.Background(), level) {
		r.log.LogAttrs(context.Background(), level, "decision", attributes(&d)...)
	}
	return d.ID
}

// reason returns a label value from a bounded set.
func (r *Recorder) reason(rule string) string {
	if r.reasons[rule] {
		return rule
	}
	if len(r.reasons) >= r.options.MaxReasons {
		return otherReason
	}
	r.reasons[rule] = true
	return rule
}

func (r *Recorder) keep(d Record) {
	size := d.size()
	for r.first < r.next && (r.next-r.first >= uint64(r.options.MaxRecords) || r.bytes+size > r.options.MaxBytes) {
		r.dropOldest()
	}
	if size > r.options.MaxBytes {
		r.next++
		r.first = r.next
		return
	}
	r.grow()
	r.ring[d.ID%uint64(len(r.ring))] = d
	r.next++
	r.bytes += size
	for _, id := range d.identities() {
		r.index[id] = append(r.index[id], d.ID)
	}
}

// grow doubles the ring when it is full, so that an idle process holds little memory.
func (r *Recorder) grow() {
	held := r.next - r.first
	if held < uint64(len(r.ring)) {
		return
	}
	ring := make([]Record, min(max(64, 2*len(r.ring)), r.options.MaxRecords))
	for id := r.first; id < r.next; id++ {
		ring[id%uint64(len(ring))] = r.ring[id%uint64(len(r.ring))]
	}
	r.ring = ring
}

func (r *Recorder) dropOldest() {
	d := &r.ring[r.first%uint64(len(r.ring))]
	r.bytes -= d.size()
	for _, id := range d.identities() {
		ids := r.index[id]
		if len(ids) <= 1 {
			delete(r.index, id)
			continue
		}
		// Copy once in a while so that the dropped front is freed.
		if ids = ids[1:]; cap(ids) > 4*len(ids) {
			ids = append([]uint64(nil), ids...)
		}
		r.index[id] = ids
	}
	*d = Record{}
	r.first++
}

// Explain returns the records held about an identity (job, task, worker, request or
// subject), oldest first. Their Candidates are shared and must not be changed.
func (r *Recorder) Explain(id string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := r.index[id]
	out := make([]Record, len(ids))
	for i, n := range ids {
		out[i] = r.ring[n%uint64(len(r.ring))]
	}
	return out
}

// Len returns the number of records held and their size in bytes.
func (r *Recorder) Len() (records int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.next - r.first), r.bytes
}

// identities returns the different non-empty identities of a record.
func (d *Record) identities() []string {
	all := [...]string{d.Job, d.Task, d.Worker, d.Request, d.Subject}
	out := make([]string, 0, len(all))
next:
	for _, id := range all {
		if id == "" {
			continue
		}
		for _, o := range out {
			if o == id {
				continue next
			}
		}
		out = append(out, id)
	}
	return out
}

// Sizes for the memory bound: of the struct itself with its share of index entries, of a
// candidate and of a figure.
const (
	recordBytes    = 512
	candidateBytes = 88
	figureBytes    = 24
)

func (d *Record) size() int64 {
	n := recordBytes + 2*(len(d.Job)+len(d.Task)+len(d.Worker)+len(d.Request)+len(d.Subject)) + len(d.Cause) + len(d.Rule) + len(d.Outcome) + len(d.SignedBy)
	for i := range d.Candidates {
		c := &d.Candidates[i]
		n += candidateBytes + len(c.Name) + len(c.Rejected) + figureBytes*len(c.Figures)
	}
	return int64(n)
}

func (d *Record) trim() {
	for _, s := range []*string{&d.Job, &d.Task, &d.Worker, &d.Request, &d.Subject, &d.Rule, &d.SignedBy} {
		*s = cut(*s, maxIdentity)
	}
	d.Cause, d.Outcome = cut(d.Cause, maxText), cut(d.Outcome, maxText)
	d.Candidates = d.Candidates[:min(len(d.Candidates), maxCandidates)]
	for i := range d.Candidates {
		if c := &d.Candidates[i]; len(c.Figures) > maxFigures {
			c.Figures = c.Figures[:maxFigures]
		}
	}
}

func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "")
}

// attributes returns the key=value pairs of a record's log line.
func attributes(d *Record) []slog.Attr {
	out := make([]slog.Attr, 0, 14)
	out = append(out, slog.Uint64("Decision", d.ID), slog.Time("At", d.Time), slog.String("Kind", string(d.Kind)))
	for _, f := range []struct{ name, value string }{
		{"Job", d.Job}, {"Task", d.Task}, {"Worker", d.Worker}, {"Request", d.Request}, {"Subject", d.Subject},
		{"Cause", d.Cause}, {"Rule", d.Rule}, {"Outcome", d.Outcome},
	} {
		if f.value != "" {
			out = append(out, slog.String(f.name, f.value))
		}
	}
	if len(d.Candidates) > 0 {
		out = append(out, slog.String("Candidates", renderCandidates(d.Candidates)))
	}
	return append(out, slog.Uint64("Generation", d.Generation), slog.String("SignedBy", d.SignedBy))
}

// Render returns a record as lines of text: one for the decision and one for each
// candidate.
func Render(d Record) string {
	var b strings.Builder
	b.WriteString(d.Time.UTC().Format("2006-01-02T15:04:05.000Z"))
	for _, a := range attributes(&d) {
		if a.Key == "At" || a.Key == "Candidates" {
			continue
		}
		b.WriteByte(' ')
		b.WriteString(a.Key)
		b.WriteByte('=')
		b.WriteString(quote(a.Value.String()))
	}
	b.WriteByte('\n')
	for i := range d.Candidates {
		b.WriteString("  Candidate=")
		renderCandidate(&b, &d.Candidates[i])
		b.WriteByte('\n')
	}
	return b.String()
}

func renderCandidates(cs []Candidate) string {
	var b strings.Builder
	for i := range cs {
		if i > 0 {
			b.WriteString("; ")
		}
		renderCandidate(&b, &cs[i])
	}
	return b.String()
}

func renderCandidate(b *strings.Builder, c *Candidate) {
	b.WriteString(quote(c.Name))
	for _, f := range c.Figures {
		b.WriteByte(' ')
		b.WriteString(f.Name)
		b.WriteByte('=')
		b.WriteString(strconv.FormatFloat(f.Value, 'g', 4, 64))
	}
	b.WriteString(" Age=")
	b.WriteString(c.Age.String())
	if c.Rejected != "" {
		b.WriteString(" Rejected=")
		b.WriteString(quote(c.Rejected))
	}
}

// quote puts values that are not a single plain word in quotes, so that text from
// outside cannot forge another line or field.
func quote(s string) string {
	for _, c := range s {
		if c <= ' ' || c == '"' || c == '=' || c == 0x7f || c > 0x7e {
			return strconv.Quote(s)
		}
	}
	if s == "" {
		return `""`
	}
	return s
}
