package explainer_test

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/explainer"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata")

// logOf returns a log with the given name and lines.
func logOf(name, lines string) explainer.Source {
	return explainer.Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(lines)), nil }}
}

// readTestLogs reads the logs in testdata.
func readTestLogs(t *testing.T) *explainer.Log {
	t.Helper()
	var sources []explainer.Source
	for _, name := range []string{"malolos-1.log", "collected.txt"} {
		lines, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, logOf(strings.TrimSuffix(name, ".log"), string(lines)))
	}
	g, err := explainer.Read(sources...)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against an explanation that omits lines of other hosts or of workers with a run of
// the job, or that contains lines of unrelated workers. Guards against tables that assign
// time to the wrong column or starts to the wrong leader.
func TestGolden(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(g *explainer.Log, b *bytes.Buffer) error
	}{
		{"late.golden", func(g *explainer.Log, b *bytes.Buffer) error { return g.Explain(b, "j1") }},
		{"cancelled.golden", func(g *explainer.Log, b *bytes.Buffer) error { return g.Explain(b, "j2") }},
		{"worker.golden", func(g *explainer.Log, b *bytes.Buffer) error { return g.Explain(b, "w3") }},
		{"breakdown.golden", func(g *explainer.Log, b *bytes.Buffer) error { return g.Breakdown(b) }},
		{"leaders.golden", func(g *explainer.Log, b *bytes.Buffer) error { return g.Leaders(b) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			is.NoErr(c.write(readTestLogs(t), &b))
			path := filepath.Join("testdata", c.name)
			if *update {
				is.NoErr(os.WriteFile(path, b.Bytes(), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(b.String(), string(want))
		})
	}
}

// Guards against lines of other programs that abort the reading or are taken for log lines of
// an entry host.
func TestOtherLinesAreSkipped(t *testing.T) {
	is := is.New(t)
	g := readTestLogs(t)
	is.Equal(g.Skipped, 2)
	is.Equal(len(g.Lines), 25)
	for i := 1; i < len(g.Lines); i++ {
		is.True(!g.Lines[i].Time.Before(g.Lines[i-1].Time))
	}
}

// Guards against an ID that no line names and that gets an empty explanation instead of an
// error.
func TestUnknownID(t *testing.T) {
	is := is.New(t)
	err := readTestLogs(t).Explain(&bytes.Buffer{}, "j")
	var unknown *explainer.NotFoundError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.ID, "j")
}

// Guards against a line without a line break that uses unbounded memory.
func TestTooLongLineIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := explainer.Read(logOf("a", "time="+strings.Repeat("x", 1<<20)))
	var failed *explainer.ReadError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Source, "a")
}
