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

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	KindPlace         Kind = "place"      // a task is assigned to a worker
	KindWait          Kind = "wait"       // a task stays pending
	KindUnschedulable Kind = "never"      // a job can never run as declared or has failed too often
	KindPreempt       Kind = "preempt"    // tasks are chosen as victims for an urgent task or a service instance
	KindEvict         Kind = "evict"      // a batch task is evicted from its worker
	KindThrottle      Kind = "throttle"   // the processor limit of a batch task changes, also when a throttle is released
	KindRelease       Kind = "release"    // no decision has this kind at present
	KindMove          Kind = "move"       // no decision has this kind at present
	KindStop          Kind = "stop"       // no decision has this kind at present
	KindRefuse        Kind = "refuse"     // a request ends unsent, a worker refuses a start, or a worker refuses an owner whose epoch is too low
	KindRetry         Kind = "retry"      // a job becomes pending again after a lost or ended run, or a failed attempt of a request is or is not retried
	KindRoute         Kind = "route"      // a request is sent to a service instance
	KindClaim         Kind = "claim"      // the owner of a shard changes, or its jobs are imported
	KindAdopt         Kind = "adopt"      // a worker accepts the owner's epoch, or a task started by an earlier owner is found
	KindQuarantine    Kind = "quarantine" // no decision has this kind at present
	KindProbe         Kind = "probe"      // no decision has this kind at present
	KindReturn        Kind = "return"     // no decision has this kind at present
	KindDrain         Kind = "drain"      // a service instance is to be replaced or removed
	KindCancel        Kind = "cancel"     // a job is cancelled
	KindEject         Kind = "eject"      // no decision has this kind at present
	KindForward       Kind = "forward"    // a request is sent to another failure domain
)

// knownKinds lists the values of the counter's kind label.
var knownKinds = map[Kind]bool{
	KindPlace: true, KindWait: true, KindUnschedulable: true, KindPreempt: true, KindEvict: true,
	KindThrottle: true, KindRelease: true, KindMove: true, KindStop: true, KindRefuse: true,
	KindRetry: true, KindRoute: true, KindClaim: true, KindAdopt: true, KindQuarantine: true,
	KindProbe: true, KindReturn: true, KindDrain: true, KindCancel: true, KindEject: true, KindForward: true,
}

// Figure is a named number on which a decision was based.
type Figure struct {
	Name  string // in Pascal case, with the unit if there is one
	Value float64
}

// Candidate is an option that a decision considered, with the figures at that time.
type Candidate struct {
	Name     string
	Figures  []Figure
	Age      time.Duration // age of the figures at the time of the decision
	Rejected string        // why the candidate was not eligible; empty if it was
}

// Record is one decision. Explain finds it by each of its identities that is not empty: Job,
// Task, Worker, Request and Subject.
type Record struct {
	ID         uint64 // set by Add
	Time       time.Time
	Kind       Kind
	Job        string
	Task       string
	Worker     string
	Request    string
	Subject    string // any other identity, for example a shard or a configuration generation
	Cause      string // what triggered the decision
	Rule       string // name of the rule that made the choice, from a fixed set
	Outcome    string // what was chosen
	Candidates []Candidate
	Generation uint64 // generation of the configuration in effect
	SignedBy   string // name of the key that signed the configuration
}

// Options limits the memory of a Recorder. A zero field selects its default.
type Options struct {
	MaxRecords int
	MaxBytes   int64
	// MaxReasons limits the number of rules in the counter's reason label.
	MaxReasons int
}

// Defaults of Options. A record takes at least recordBytes (512), so that at 500 decisions per
// second 16 MiB hold at most the decisions of about one minute; DefaultMaxBytes is reached before
// DefaultMaxRecords. The latest decision about an
// unfinished job is also in the journal of its shard.
const (
	DefaultMaxRecords = 40_000
	DefaultMaxBytes   = 16 << 20
	DefaultMaxReasons = 64
)

// Limits of one record, and the label value that stands for unknown kinds and for rules beyond
// Options.MaxReasons.
const (
	maxCandidates    = 16
	maxFigures       = 16   // of one candidate
	maxTextBytes     = 1024 // of Cause and of Outcome
	maxIdentityBytes = 256  // of an identity, of Rule and of SignedBy
	otherLabel       = "other"
)

// Recorder keeps the newest records in a ring buffer.
type Recorder struct {
	options Options
	log     *slog.Logger
	counter *prometheus.CounterVec

	mu        sync.Mutex
	nextID    uint64 // ID of the next record
	oldestID  uint64 // ID of the oldest record in ring
	ring      []Record
	heldBytes int64
	index     map[string][]uint64 // IDs by identity, in ascending order
	reasons   map[string]bool     // rules used as values of the reason label
}

// New returns a Recorder that logs to log and registers its counter in registry. The
// returned function unregisters the counter.
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
		nextID: 1, oldestID: 1,
		index:   map[string][]uint64{},
		reasons: map[string]bool{},
	}
	if err := registry.Register(r.counter); err != nil {
		return nil, nil, err
	}
	return r, func() { registry.Unregister(r.counter) }, nil
}

// Add stores, logs and counts a record, and returns the ID that it assigns. Fields beyond the
// limits of a record are truncated. The caller must not change Candidates afterwards.
func (r *Recorder) Add(d Record) uint64 {
	d.truncate()
	r.mu.Lock()
	d.ID = r.nextID
	r.insert(d)
	reason := r.reasonLabel(d.Rule)
	r.mu.Unlock()
	kind := string(d.Kind)
	if !knownKinds[d.Kind] {
		kind = otherLabel
	}
	r.counter.WithLabelValues(kind, reason).Inc()
	level := slog.LevelInfo
	if d.Kind == KindRoute { // at least one record per request
		level = slog.LevelDebug
	}
	if r.log.Enabled(context.Background(), level) {
		r.log.LogAttrs(context.Background(), level, "decision", attributes(&d)...)
	}
	return d.ID
}

// reasonLabel returns the value of the reason label: the rule, or otherLabel once MaxReasons
// other rules have been used. The caller holds mu.
func (r *Recorder) reasonLabel(rule string) string {
	if r.reasons[rule] {
		return rule
	}
	if len(r.reasons) >= r.options.MaxReasons {
		return otherLabel
	}
	r.reasons[rule] = true
	return rule
}

// insert stores a record and evicts the oldest records to stay within the limits. A record that is
// larger than MaxBytes evicts all others and is not stored itself. The caller holds mu.
func (r *Recorder) insert(d Record) {
	size := d.size()
	for r.oldestID < r.nextID && (r.nextID-r.oldestID >= uint64(r.options.MaxRecords) || r.heldBytes+size > r.options.MaxBytes) {
		r.dropOldest()
	}
	if size > r.options.MaxBytes {
		r.nextID++
		r.oldestID = r.nextID
		return
	}
	r.growRing()
	r.ring[d.ID%uint64(len(r.ring))] = d
	r.nextID++
	r.heldBytes += size
	for _, id := range d.identities() {
		r.index[id] = append(r.index[id], d.ID)
	}
}

// growRing doubles the ring when it is full, so that a process with few records uses little
// memory.
func (r *Recorder) growRing() {
	held := r.nextID - r.oldestID
	if held < uint64(len(r.ring)) {
		return
	}
	ring := make([]Record, min(max(64, 2*len(r.ring)), r.options.MaxRecords))
	for id := r.oldestID; id < r.nextID; id++ {
		ring[id%uint64(len(ring))] = r.ring[id%uint64(len(r.ring))]
	}
	r.ring = ring
}

// dropOldest evicts the oldest record and its index entries.
func (r *Recorder) dropOldest() {
	d := &r.ring[r.oldestID%uint64(len(r.ring))]
	r.heldBytes -= d.size()
	for _, id := range d.identities() {
		ids := r.index[id]
		if len(ids) <= 1 {
			delete(r.index, id)
			continue
		}
		// If most of the array is unused, a copy frees the memory of evicted IDs.
		if ids = ids[1:]; cap(ids) > 4*len(ids) {
			ids = append([]uint64(nil), ids...)
		}
		r.index[id] = ids
	}
	*d = Record{}
	r.oldestID++
}

// Explain returns the stored records with an identity (job, task, worker, request or
// subject), oldest first. The caller must not change their Candidates, which are shared.
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

// Len returns the number of stored records, and their estimated size in bytes.
func (r *Recorder) Len() (records int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.nextID - r.oldestID), r.heldBytes
}

// identities returns the distinct non-empty identities of a record.
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

// Estimated sizes for the memory limit, without strings.
const (
	recordBytes    = 512 // a Record and its entries in the index
	candidateBytes = 88
	figureBytes    = 24
)

// size estimates the memory that a record uses. The identities count twice, because the index also
// holds them.
func (d *Record) size() int64 {
	n := recordBytes + 2*(len(d.Job)+len(d.Task)+len(d.Worker)+len(d.Request)+len(d.Subject)) + len(d.Cause) + len(d.Rule) + len(d.Outcome) + len(d.SignedBy)
	for i := range d.Candidates {
		c := &d.Candidates[i]
		n += candidateBytes + len(c.Name) + len(c.Rejected) + figureBytes*len(c.Figures)
	}
	return int64(n)
}

// truncate enforces the limits of one record.
func (d *Record) truncate() {
	for _, s := range []*string{&d.Job, &d.Task, &d.Worker, &d.Request, &d.Subject, &d.Rule, &d.SignedBy} {
		*s = truncate(*s, maxIdentityBytes)
	}
	d.Cause, d.Outcome = truncate(d.Cause, maxTextBytes), truncate(d.Outcome, maxTextBytes)
	d.Candidates = d.Candidates[:min(len(d.Candidates), maxCandidates)]
	for i := range d.Candidates {
		if c := &d.Candidates[i]; len(c.Figures) > maxFigures {
			c.Figures = c.Figures[:maxFigures]
		}
	}
}

// truncate returns at most n bytes of s, cut so that it stays valid UTF-8.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "")
}

// attributes returns the attributes of a record's log line.
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

// Render formats a record as text: one line for the decision and one for each candidate.
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

// quote quotes values that are not a single printable ASCII word, so that text from clients
// cannot forge another line or field.
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
