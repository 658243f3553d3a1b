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

// maxLineBytes bounds one log line. The longest lines of entry hosts are below 2 kB.
const maxLineBytes = 64 << 10

// Keys of fields that every line has.
const (
	keyTime  = "time"
	keyEvent = "msg"
)

// Field is one key and its value.
type Field struct{ Key, Value string }

// Line is one log line.
type Line struct {
	Source string // host that wrote the line, or name of the log
	Time   time.Time
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

// String returns the line in the form shown to operators.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Source, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, quoteIfNeeded(f.Value))
	}
	return b.String()
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// Log holds the lines of the logs of all hosts, in order of time.
type Log struct {
	Lines   []Line
	Skipped int // number of lines that are not log lines of an entry host
}

// ReadError reports that a log could not be read.
type ReadError struct {
	Source string
	Err    error
}

func (e *ReadError) Error() string { return fmt.Sprintf("log %s: %v", e.Source, e.Err) }

func (e *ReadError) Unwrap() error { return e.Err }

// Source is a log to read.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Read reads the logs and merges their lines in order of time. If there is text before a
// line, such as a log collector's prefix, its last word becomes the line's Source.
func Read(sources ...Source) (*Log, error) {
	g := &Log{}
	for _, s := range sources {
		if err := g.read(s); err != nil {
			return nil, err
		}
	}
	// The sort is stable, so that lines of one log with the same time keep their order.
	slices.SortStableFunc(g.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return g, nil
}

func (lg *Log) read(s Source) (err error) {
	r, err := s.Open()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		l, err := parseLine(s.Name, sc.Bytes())
		if err != nil {
			lg.Skipped++
			continue
		}
		lg.Lines = append(lg.Lines, l)
	}
	if err := sc.Err(); err != nil {
		return &ReadError{Source: s.Name, Err: err}
	}
	return nil
}

var errNotLogLine = errors.New("not a log line of an entry host")

// parseLine parses one log line, with or without a prefix.
func parseLine(source string, text []byte) (Line, error) {
	start := bytes.Index(text, []byte(keyTime+"="))
	if start < 0 {
		return Line{}, errNotLogLine
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
				l.Time = at
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
	if l.Time.IsZero() || l.Event == "" {
		return Line{}, errNotLogLine
	}
	return l, nil
}
