package recorder

import (
	"bytes"
	"flag"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"
)

func newRecorder(t interface{ Fatal(...any) }, o Options, out *bytes.Buffer) (*Recorder, *prometheus.Registry, func()) {
	registry := prometheus.NewRegistry()
	r, remove, err := New(o, slog.New(slog.NewTextHandler(out, nil)), registry)
	if err != nil {
		t.Fatal(err)
	}
	return r, registry, remove
}

func init() {
	// A fixed seed makes the results of CI reproducible.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

// TestMemoryIsBounded guards against memory that grows with the number of decisions, against
// index entries that outlive their record or are missing, and against records that are found
// under the wrong identity.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{MaxRecords: rapid.IntRange(1, 200).Draw(t, "records"), MaxBytes: int64(rapid.IntRange(600, 60_000).Draw(t, "bytes"))}
		r, _, _ := newRecorder(t, o, &bytes.Buffer{})
		var all []Record
		for i := range rapid.IntRange(1, 400).Draw(t, "adds") {
			d := Record{
				Kind: KindPlace, Job: fmt.Sprint("job", i%7), Task: fmt.Sprint("job", i%7), Worker: fmt.Sprint("worker", i%3),
				Cause: strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "cause")),
			}
			d.ID = r.Add(d)
			all = append(all, d)
		}
		n, size := r.Len()
		if n > o.MaxRecords || size > o.MaxBytes {
			t.Fatalf("%d records of %d bytes exceed %+v", n, size, o)
		}
		found := 0
		for j := range 7 {
			for _, d := range r.Explain(fmt.Sprint("job", j)) {
				if found++; d.Job != all[d.ID-1].Job || d.ID <= uint64(len(all)-n) {
					t.Fatalf("record %d was evicted or has the wrong job %q", d.ID, d.Job)
				}
			}
		}
		if found != n {
			t.Fatalf("Len returns %d records, Explain found %d", n, found)
		}
		if len(r.index) > 10 {
			t.Fatalf("index has %d identities", len(r.index))
		}
	})
}

// TestCounterLabelsAreBounded guards against a number of time series that grows with the number of
// kinds and rules that callers use.
func TestCounterLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	r, registry, remove := newRecorder(t, Options{MaxReasons: 5}, &bytes.Buffer{})
	for i := range 100 {
		r.Add(Record{Kind: Kind(fmt.Sprint("kind", i)), Rule: fmt.Sprint("rule", i)})
	}
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	is.Equal(len(families[0].GetMetric()), 6)
	remove()
	families, err = registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 0)
}

// TestLogLine guards against a decision without a log line, and against client text, such as
// a job name, that forges a second line or field.
func TestLogLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r, _, _ := newRecorder(t, Options{}, &out)
	d := Record{Time: time.Unix(0, 0), Kind: KindUnschedulable, Job: "a\nKind=place", Rule: "LargerThanAnyWorker", Generation: 4, SignedBy: "rosa", Candidates: []Candidate{{Name: "w1", Figures: []Figure{{"FreeCores", 1.5}}, Age: time.Second, Rejected: "no room"}}}
	r.Add(d)
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `Job="a\nKind=place" Rule=LargerThanAnyWorker`))
	is.True(strings.Contains(out.String(), `Generation=4 SignedBy=rosa`))
	is.Equal(strings.Count(Render(d), "\n"), 2)
}

// TestConcurrentAddAndExplain guards against data races between Add and Explain.
func TestConcurrentAddAndExplain(t *testing.T) {
	r, _, _ := newRecorder(t, Options{MaxRecords: 50}, &bytes.Buffer{})
	r.log = slog.New(slog.DiscardHandler)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 500 {
				r.Add(Record{Kind: KindRoute, Request: fmt.Sprint(i % 9)})
				r.Explain("3")
			}
		})
	}
	wg.Wait()
	if n, _ := r.Len(); n != 50 {
		t.Errorf("%d records stored, want 50", n)
	}
}

// BenchmarkAdd measures a record with five candidates whose log line is formatted and
// discarded.
func BenchmarkAdd(b *testing.B) {
	r, _, _ := newRecorder(b, Options{}, &bytes.Buffer{})
	r.log = slog.New(slog.NewTextHandler(discardWriter{}, nil))
	d := Record{Kind: KindPlace, Job: "job1", Task: "job1", Worker: "w1", Rule: "LeastInterference", Candidates: make([]Candidate, 5)}
	for i := range d.Candidates {
		d.Candidates[i] = Candidate{Name: "w", Figures: []Figure{{"FreeCores", 2}, {"Score", 0.25}}}
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Add(d)
	}
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
