package explainer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds one log line. The longest that entry hosts write are below 2 kB.
const maxLine = 64 << 10 // bytes

// Keys of the fields that every line has.
const (
	keyTime  = "time"
	keyEvent = "msg"
)

// Field is one key and its value.
type Field struct{ Key, Value string }

// Line is one log line.
type Line struct {
	Source string // host or file that the line comes from
	At     time.Time
	Event  string
	Fields []Field // without time, level and event
}

// Value returns the value of a field, empty if the line does not have it.
func (l Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the line as people read it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.Source, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, quoted(f.Value))
	}
	return b.String()
}

func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// Log is what was read of the logs of all hosts, in the order of time.
type Log struct {
	Lines   []Line
	Skipped int // lines that are no log lines of an entry host
}

// ReadError says which log could not be read.
type ReadError struct {
	Source string
	Err    error
}

func (e *ReadError) Error() string { return fmt.Sprintf("log %s: %v", e.Source, e.Err) }

func (e *ReadError) Unwrap() error { return e.Err }

// Source is one log.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Read reads the logs one after the other. A collector may have put text before each line;
// its last word is taken as the line's source.
func Read(sources ...Source) (*Log, error) {
	g := &Log{}
	for _, s := range sources {
		if err := g.read(s); err != nil {
			return nil, err
		}
	}
	// Stable: lines of one host with the same time stay in the order of writing.
	slices.SortStableFunc(g.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return g, nil
}

func (g *Log) read(s Source) (err error) {
	r, err := s.Open()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		l, err := parse(s.Name, sc.Bytes())
		if err != nil {
			g.Skipped++
			continue
		}
		g.Lines = append(g.Lines, l)
	}
	if err := sc.Err(); err != nil {
		return &ReadError{Source: s.Name, Err: err}
	}
	return nil
}

var errNoLogLine = errors.New("no log line of an entry host")

func parse(source string, text []byte) (Line, error) {
	start := bytes.Index(text, []byte(keyTime+"="))
	if start < 0 {
		return Line{}, errNoLogLine
	}
	l := Line{Source: source}
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		l.Source = string(words[len(words)-1])
	}
	d := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case keyTime:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return Line{}, err
				}
				l.At = at
			case "level":
			case keyEvent:
				l.Event = value
			default:
				l.Fields = append(l.Fields, Field{key, value})
			}
		}
	}
	if d.Err() != nil {
		return Line{}, d.Err()
	}
	if l.At.IsZero() || l.Event == "" {
		return Line{}, errNoLogLine
	}
	return l, nil
}
