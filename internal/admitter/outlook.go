package admitter

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/converter"
)

// MaxAge is the age from which an outlook no longer counts. Hosts ping the leader at least every 500 ms, so that
// three lost pings in a row are allowed for.
const MaxAge = 2 * time.Second

// maxEntries bounds the entries that are sent with each answer to a ping. An entry takes about 40 bytes.
const maxEntries = 8

// Class identifies the work that competes for the same capacity with the same urgency.
type Class struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service    string
	Priority   int  // 0 is the most urgent
	BestEffort bool // runs on the processors that other tasks leave unused
}

// compare orders classes by service, kind and priority.
func (c Class) compare(o Class) int {
	if c.BestEffort != o.BestEffort {
		if o.BestEffort {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.Service, o.Service), cmp.Compare(c.Priority, o.Priority))
}

// Entry is the outlook of one class.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Class Class
	Cores float64      // cores that waiting tasks of this or a more urgent priority request
	Work  float64      // core-seconds that unfinished jobs of a more urgent priority need for tasks that do not run
	Own   [buckets]int // the same for jobs of this priority that may still end in time, by remaining run time; see AddOwn
	Free  float64      // cores on which tasks of this class could start now
	Rate  float64      // core-seconds per second that are left for the class by more urgent ones; 0: not measured
	Ratio float64      // of measured run times to estimates, mean over the class's queues
}

// buckets is the number of ranges of remaining run times. Each range is up to the square root of 2 times as long as the
// one before. The first one ends at 1 s and holds also the jobs that have begun; the last one has no end.
const buckets = 14

// bucket returns the range of a remaining run time.
func bucket(remaining time.Duration) int {
	if remaining <= time.Second {
		return 0
	}
	return min(buckets-1, converter.Int(math.Ceil(2*math.Log2(remaining.Seconds()))))
}

// AddOwn adds core-seconds of a job of the entry's priority. remaining is the expected run time of its longest chain of
// unfinished steps, 0 if it has begun: of jobs with the same priority, those with the least go first when time is short.
func (e *Entry) AddOwn(remaining time.Duration, work float64) {
	e.Own[bucket(remaining)] += converter.Int(math.Round(work))
}

// before returns the work that is expected to go before a job with a remaining run time: all that is more urgent, and
// of the same priority what is surely shorter or has begun.
func (e *Entry) before(remaining time.Duration) float64 {
	work := e.Work
	for _, w := range e.Own[:max(1, bucket(remaining))] {
		work += float64(w)
	}
	return work
}

// TotalWork returns all core-seconds that the entry counts, of more urgent priorities and of its own.
func (e *Entry) TotalWork() float64 { return e.before(math.MaxInt64) + float64(e.Own[buckets-1]) }

// Outlook is the capacity that the leader expects to have for new jobs. Classes without an entry have no figures.
type Outlook struct{ Entries []Entry }

// Encode returns the encoding of the outlook for other hosts. The entries with the most waiting work come first; those
// beyond maxEntries are left out, so that hosts accept their jobs.
func (o Outlook) Encode() ([]byte, error) {
	es := slices.Clone(o.Entries)
	slices.SortFunc(es, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.TotalWork(), a.TotalWork()), a.Class.compare(b.Class))
	})
	return msgpack.Marshal(es[:min(len(es), maxEntries)])
}

// Decode reads what Encode wrote. An error means that another version wrote it: there is no outlook then.
func Decode(b []byte) (Outlook, error) {
	var o Outlook
	if err := msgpack.Unmarshal(b, &o.Entries); err != nil {
		return Outlook{}, fmt.Errorf("decode outlook: %w", err)
	}
	return o, nil
}

// Sort sorts the entries by class.
func (o Outlook) Sort() {
	slices.SortFunc(o.Entries, func(a, b Entry) int { return a.Class.compare(b.Class) })
}

// entry returns the entry of a class, nil if there is none.
func (o Outlook) entry(c Class) *Entry {
	i := slices.IndexFunc(o.Entries, func(e Entry) bool { return e.Class == c })
	if i < 0 {
		return nil
	}
	return &o.Entries[i]
}
