package configurator

import (
	"fmt"
	"strings"
)

// Fault is one error in a text of the project's INI format.
type Fault struct {
	Line    int    // counted from 1; 0 if the fault belongs to no line
	Section string // header without brackets, for example `Worker "sampaloc-1"`
	Key     string // empty if the fault concerns the whole section
	Problem string
	Allowed string // what is accepted instead; empty if Problem makes it clear
	// Unknown is set if the fault is a section or a key of which this program knows nothing. A newer program may know it.
	Unknown bool `json:"-" msgpack:"-"`
}

func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// InvalidError lists every fault of a text, in the order of its lines.
type InvalidError struct {
	Name   string // of the file or text; may be empty
	Faults []Fault
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
		if e.Name != "" {
			lines[i] = e.Name + ": " + lines[i]
		}
	}
	return strings.Join(lines, "\n")
}
