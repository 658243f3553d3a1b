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

// text is a log that stands in memory.
func text(name, lines string) explainer.Source {
	return explainer.Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(lines)), nil }}
}

func read(t *testing.T) *explainer.Log {
	t.Helper()
	var sources []explainer.Source
	for _, name := range []string{"malolos-1.log", "collected.txt"} {
		lines, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, text(strings.TrimSuffix(name, ".log"), string(lines)))
	}
	g, err := explainer.Read(sources...)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against an account that leaves out lines of other hosts, of the workers that a
// job's runs were on, or that shows those of workers that have nothing to do with it, and
// against tables that attribute time to the wrong part or starts to the wrong leader.
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
			is.NoErr(c.write(read(t), &b))
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

// Guards against lines of other programs that end the reading or count as log lines.
func TestOtherLinesAreSkipped(t *testing.T) {
	is := is.New(t)
	g := read(t)
	is.Equal(g.Skipped, 2)
	is.Equal(len(g.Lines), 25)
	for i := 1; i < len(g.Lines); i++ {
		is.True(!g.Lines[i].At.Before(g.Lines[i-1].At))
	}
}

// Guards against an empty account for an ID that no line names.
func TestUnknownID(t *testing.T) {
	is := is.New(t)
	err := read(t).Explain(&bytes.Buffer{}, "j")
	var unknown *explainer.NotFoundError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.ID, "j")
}

// Guards against a line without end that fills the memory.
func TestEndlessLine(t *testing.T) {
	is := is.New(t)
	_, err := explainer.Read(text("a", "time="+strings.Repeat("x", 1<<20)))
	var failed *explainer.ReadError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Source, "a")
}
