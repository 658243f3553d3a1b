package configurator

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxTextBytes is the maximum size of a text in bytes. A Record with such a text, encoded as
// JSON, stays below the store's limit of 1 MB for a value.
const MaxTextBytes = 640 << 10

// maxNameBytes is the maximum length of a section's name and of a name that is the value of a
// key.
const maxNameBytes = 64

// maxListedFaults is the maximum number of faults that are listed for one text.
const maxListedFaults = 200

var (
	headerPattern = regexp.MustCompile(`^\[([A-Z][A-Za-z]*)(?: "([^"\]]*)")?\]$`)
	keyPattern    = regexp.MustCompile(`^[A-Z][A-Za-z0-9]*$`)
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9](?:[A-Za-z0-9 ._-]*[A-Za-z0-9])?$`)
)

// nameAllowed describes namePattern.
const nameAllowed = "letters, digits, space, '.', '_' and '-', beginning and ending with a letter or digit, at most 64 bytes"

// forbiddenInValue holds characters that INI parsers interpret in different ways. Without
// them every parser reads the same value, so the text that an operator reviews and signs
// is unambiguous.
const forbiddenInValue = "\"'`\\#;"

// Entry is one key of a section.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Section is one section of a text.
type Section struct {
	Kind    string
	Name    string // empty for a kind that has one section only
	Line    int
	Entries []Entry
}

// Header returns the section's header without brackets.
func (s Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return fmt.Sprintf("%s %q", s.Kind, s.Name)
}

// ReadSections splits a text in the project's INI format into sections. It reports
// malformed lines and duplicate sections and keys.
func ReadSections(text []byte) ([]Section, []Fault) {
	if len(text) > MaxTextBytes {
		return nil, []Fault{{Problem: fmt.Sprintf("text has %d bytes", len(text)), Allowed: fmt.Sprintf("at most %d bytes", MaxTextBytes)}}
	}
	r := reader{sections: map[string]int{}}
	for i, l := range strings.Split(string(text), "\n") {
		r.line = i + 1
		r.readLine(l)
	}
	if len(r.faults) == 0 {
		r.verifyWithLibrary(text)
	}
	return r.result, r.faults
}

type reader struct {
	line     int
	result   []Section
	sections map[string]int // header to line
	keys     map[string]int // key of the current section to line
	skipKeys bool           // the current section's header is faulty, so its keys are skipped
	faults   []Fault
}

func (r *reader) addFault(f Fault) {
	f.Line = r.line
	r.faults = append(r.faults, f)
}

func (r *reader) readLine(l string) {
	if !utf8.ValidString(l) {
		r.addFault(Fault{Problem: "line is not UTF-8"})
		return
	}
	if i := strings.IndexFunc(l, func(c rune) bool { return c != '\t' && !unicode.IsPrint(c) }); i >= 0 {
		r.addFault(Fault{Problem: fmt.Sprintf("line has the character %q", []rune(l[i:])[0]), Allowed: "printable characters and lines that end in LF"})
		return
	}
	l = strings.Trim(l, " \t")
	switch {
	case l == "" || l[0] == '#' || l[0] == ';':
	case l[0] == '[':
		r.readHeader(l)
	default:
		r.readKey(l)
	}
}

func (r *reader) readHeader(l string) {
	r.skipKeys = true
	m := headerPattern.FindStringSubmatch(l)
	if m == nil {
		r.addFault(Fault{Problem: fmt.Sprintf("header %s is malformed", l), Allowed: `[Kind] or [Kind "name"]`})
		return
	}
	s := Section{Kind: m[1], Name: m[2], Line: r.line}
	if strings.Contains(l, `"`) && (len(s.Name) > maxNameBytes || !namePattern.MatchString(s.Name)) {
		r.addFault(Fault{Section: s.Header(), Problem: fmt.Sprintf("name %q is malformed", s.Name), Allowed: nameAllowed})
		return
	}
	if first, ok := r.sections[s.Header()]; ok {
		r.addFault(Fault{Section: s.Header(), Problem: fmt.Sprintf("section is a duplicate of line %d", first), Allowed: "one section of this kind and name"})
		return
	}
	r.skipKeys = false
	r.sections[s.Header()] = r.line
	r.keys = map[string]int{}
	r.result = append(r.result, s)
}

func (r *reader) readKey(l string) {
	if r.skipKeys {
		return
	}
	var header string
	if len(r.result) > 0 {
		header = r.result[len(r.result)-1].Header()
	}
	key, value, found := strings.Cut(l, "=")
	key, value = strings.Trim(key, " \t"), strings.Trim(value, " \t")
	switch {
	case !found:
		r.addFault(Fault{Section: header, Problem: fmt.Sprintf("line %q has no =", l), Allowed: "Key = value"})
	case !keyPattern.MatchString(key):
		r.addFault(Fault{Section: header, Key: key, Problem: "key is not in Pascal case", Allowed: "letters and digits, beginning with a capital letter"})
	case header == "":
		r.addFault(Fault{Key: key, Problem: "key stands before the first section", Allowed: "keys within a section"})
	case r.keys[key] > 0:
		r.addFault(Fault{Section: header, Key: key, Problem: fmt.Sprintf("key is a duplicate of line %d", r.keys[key]), Allowed: "one value for each key"})
	case strings.ContainsAny(value, forbiddenInValue):
		r.addFault(Fault{Section: header, Key: key, Problem: fmt.Sprintf("value %s has a quote, backslash, # or ;", value), Allowed: "plain values; comments on lines of their own"})
	default:
		r.keys[key] = r.line
		s := &r.result[len(r.result)-1]
		s.Entries = append(s.Entries, Entry{Key: key, Value: value, Line: r.line})
	}
}

// verifyWithLibrary parses the text with the INI library too and takes the values that the
// library reads. It reports a fault where they differ from those of reader. The library alone
// is not enough because it gives no line numbers.
func (r *reader) verifyWithLibrary(text []byte) {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:    true,
		KeyValueDelimiters:    "=",
		ChildSectionDelimiter: "\x00", // no key is inherited from a section whose name is a prefix
	}, text)
	r.line = 0
	if err != nil {
		r.addFault(Fault{Problem: err.Error()})
		return
	}
	for i, s := range r.result {
		section, err := f.GetSection(s.Header())
		if err != nil || len(section.Keys()) != len(s.Entries) {
			r.line = s.Line
			r.addFault(Fault{Section: s.Header(), Problem: "section is ambiguous"})
			continue
		}
		for j, e := range s.Entries {
			value := section.Key(e.Key).Value()
			if value != e.Value {
				r.line = e.Line
				r.addFault(Fault{Section: s.Header(), Key: e.Key, Problem: fmt.Sprintf("value is ambiguous: %q or %q", e.Value, value)})
			}
			r.result[i].Entries[j].Value = value
		}
	}
}
