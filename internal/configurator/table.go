package configurator

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Key describes one key of a section whose values are stored in a T: its documentation
// and its conversion from and to text.
type Key[T any] struct {
	Name     string
	Unit     string
	Default  string // used if the key is absent; empty: none
	Required bool
	Allowed  string // accepted values, shown in faults
	Meaning  string
	// Set parses text and stores the value. Its error becomes the Problem of a Fault.
	Set func(t *T, text string) error
	// Get returns the value as text, empty if the key is omitted.
	Get func(t *T) string
}

// Table describes the sections of one kind.
type Table[T any] struct {
	Kind     string
	Named    bool // sections have names: [Kind "name"]
	Required bool // the text must have such a section
	Meaning  string
	Keys     []Key[T]
}

// KeyDoc is the documentation of a key.
type KeyDoc struct {
	Name, Unit, Default, Allowed, Meaning string
	Required                              bool
}

// SectionDoc is the documentation of a kind of sections.
type SectionDoc struct {
	Kind, Meaning   string
	Named, Required bool
	Keys            []KeyDoc
}

// Doc returns the table's documentation.
func (t Table[T]) Doc() SectionDoc {
	d := SectionDoc{Kind: t.Kind, Meaning: t.Meaning, Named: t.Named, Required: t.Required}
	for _, k := range t.Keys {
		d.Keys = append(d.Keys, KeyDoc{k.Name, k.Unit, k.Default, k.Allowed, k.Meaning, k.Required})
	}
	return d
}

// Read stores the section's values and the defaults of absent keys in v, and returns
// every fault of the section.
func (t Table[T]) Read(s Section, v *T) []Fault {
	var faults []Fault
	for _, e := range s.Entries {
		if !slices.ContainsFunc(t.Keys, func(k Key[T]) bool { return k.Name == e.Key }) {
			faults = append(faults, Fault{e.Line, s.Header(), e.Key, "unknown key", t.keyNames(), true})
		}
	}
	for _, k := range t.Keys {
		value, line := k.Default, s.Line
		i := slices.IndexFunc(s.Entries, func(e Entry) bool { return e.Key == k.Name })
		switch {
		case i >= 0:
			value, line = s.Entries[i].Value, s.Entries[i].Line
		case k.Required:
			faults = append(faults, Fault{line, s.Header(), k.Name, "key is missing", k.Allowed, false})
			continue
		case value == "":
			continue
		}
		if err := k.Set(v, value); err != nil {
			faults = append(faults, Fault{line, s.Header(), k.Name, err.Error(), k.Allowed, false})
		}
	}
	return faults
}

// Entries returns the keys and values of v in the table's order.
func (t Table[T]) Entries(v *T) []Entry {
	var es []Entry
	for _, k := range t.Keys {
		if text := k.Get(v); text != "" {
			es = append(es, Entry{Key: k.Name, Value: text})
		}
	}
	return es
}

func (t Table[T]) keyNames() string {
	names := make([]string, len(t.Keys))
	for i, k := range t.Keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}

// UnknownSection returns a fault and true if the section's header matches none of the
// documented kinds.
func UnknownSection(s Section, docs []SectionDoc) (Fault, bool) {
	var headers []string
	for _, d := range docs {
		header := "[" + d.Kind + "]"
		if d.Named {
			header = "[" + d.Kind + ` "name"]`
		}
		headers = append(headers, header)
		if d.Kind != s.Kind {
			continue
		}
		if d.Named != (s.Name != "") {
			return Fault{s.Line, s.Header(), "", "section has a malformed header", header, false}, true
		}
		return Fault{}, false
	}
	return Fault{s.Line, s.Header(), "", "unknown section", strings.Join(headers, ", "), true}, true
}

// MissingSections returns a fault for each required kind that no section has.
func MissingSections(ss []Section, docs []SectionDoc) []Fault {
	var faults []Fault
	for _, d := range docs {
		if d.Required && !slices.ContainsFunc(ss, func(s Section) bool { return s.Kind == d.Kind }) {
			faults = append(faults, Fault{Section: d.Kind, Problem: "section is missing", Allowed: "at least one section of this kind"})
		}
	}
	return faults
}

// SortFaults sorts faults by line. Beyond maxListedFaults it returns only their number.
func SortFaults(fs []Fault) []Fault {
	slices.SortStableFunc(fs, func(a, b Fault) int { return a.Line - b.Line })
	if len(fs) > maxListedFaults {
		more := Fault{Problem: fmt.Sprintf("%d more faults", len(fs)-maxListedFaults)}
		fs = append(fs[:maxListedFaults:maxListedFaults], more)
	}
	return fs
}

// ParsedKey returns a key for a value that parse reads and format prints.
func ParsedKey[T, V any](d KeyDoc, field func(*T) *V, parse func(string) (V, error), format func(V) string) Key[T] {
	return newKey(d, field, parse, format)
}

// newKey returns a key whose value is stored in the field that field returns.
func newKey[T, V any](d KeyDoc, field func(*T) *V, parse func(string) (V, error), format func(V) string) Key[T] {
	return Key[T]{
		Name: d.Name, Unit: d.Unit, Default: d.Default, Required: d.Required, Allowed: d.Allowed, Meaning: d.Meaning,
		Set: func(t *T, text string) error {
			v, err := parse(text)
			if err == nil {
				*field(t) = v
			}
			return err
		},
		Get: func(t *T) string { return format(*field(t)) },
	}
}

// IntegerKey returns a key for a whole number between lo and hi.
func IntegerKey[T any, V int | uint64](d KeyDoc, lo, hi V, field func(*T) *V) Key[T] {
	d.Allowed = fmt.Sprintf("whole number from %d to %d", lo, hi)
	return newKey(d, field, func(text string) (V, error) {
		u, err := strconv.ParseUint(text, 10, 63)
		if v := V(u); err == nil && v >= lo && v <= hi {
			return v, nil
		}
		return 0, notAccepted(text)
	}, func(v V) string { return fmt.Sprint(v) })
}

// numberPattern accepts short decimal numbers, which are easy to read, and excludes
// exponents, signs, NaN and Inf.
var numberPattern = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,3})?$`)

// NumberKey returns a key for a decimal number from lo to hi with at most three decimals.
func NumberKey[T any](d KeyDoc, lo, hi float64, field func(*T) *float64) Key[T] {
	d.Allowed = fmt.Sprintf("number from %s to %s with at most 3 decimals", formatNumber(lo), formatNumber(hi))
	return newKey(d, field, func(text string) (float64, error) {
		v, err := strconv.ParseFloat(text, 64)
		if err == nil && numberPattern.MatchString(text) && v >= lo && v <= hi {
			return v, nil
		}
		return 0, notAccepted(text)
	}, formatNumber)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// DurationKey returns a key for a duration from lo to hi.
func DurationKey[T any](d KeyDoc, lo, hi time.Duration, field func(*T) *time.Duration) Key[T] {
	d.Allowed = fmt.Sprintf("Go duration from %s to %s", formatDuration(lo), formatDuration(hi))
	return newKey(d, field, func(text string) (time.Duration, error) {
		v, err := time.ParseDuration(text)
		if err == nil && v >= lo && v <= hi {
			return v, nil
		}
		return 0, notAccepted(text)
	}, formatDuration)
}

// formatDuration omits the trailing zero units that time.Duration prints: "1m" for "1m0s".
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// SizeKey returns a key for an amount of memory from lo to hi bytes.
func SizeKey[T any](d KeyDoc, lo, hi int64, field func(*T) *int64) Key[T] {
	d.Unit = "B, KB, MB, GB or TB (powers of 1000)"
	d.Allowed = fmt.Sprintf("whole number with unit from %s to %s", FormatSize(lo), FormatSize(hi))
	return newKey(d, field, func(text string) (int64, error) {
		v, err := ParseSize(text)
		if err == nil && v >= lo && v <= hi {
			return v, nil
		}
		return 0, notAccepted(text)
	}, FormatSize)
}

// EnumKey returns a key for one of the values.
func EnumKey[T any, V ~string](d KeyDoc, field func(*T) *V, values ...V) Key[T] {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = string(v)
	}
	d.Allowed = strings.Join(texts, ", ")
	return newKey(d, field, func(text string) (V, error) {
		if slices.Contains(values, V(text)) {
			return V(text), nil
		}
		return "", notAccepted(text)
	}, func(v V) string { return string(v) })
}

// BooleanKey returns a key for true or false.
func BooleanKey[T any](d KeyDoc, field func(*T) *bool) Key[T] {
	d.Allowed = "true, false"
	return newKey(d, field, func(text string) (bool, error) {
		if text != "true" && text != "false" {
			return false, notAccepted(text)
		}
		return text == "true", nil
	}, strconv.FormatBool)
}

// NameKey returns a key for a name.
func NameKey[T any](d KeyDoc, field func(*T) *string) Key[T] {
	if d.Allowed == "" {
		d.Allowed = nameAllowed
	}
	return newKey(d, field, func(text string) (string, error) {
		if len(text) > maxNameBytes || !namePattern.MatchString(text) {
			return "", notAccepted(text)
		}
		return text, nil
	}, func(v string) string { return v })
}

// AddressKey returns a key for an IP address and port. The unspecified address
// (0.0.0.0 or ::) is accepted only for listening.
func AddressKey[T any](d KeyDoc, listen bool, field func(*T) *netip.AddrPort) Key[T] {
	d.Allowed = "IP address and port, for example 10.1.0.5:7000"
	return newKey(d, field, func(text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() && !listen {
			return netip.AddrPort{}, notAccepted(text)
		}
		return a, nil
	}, netip.AddrPort.String)
}

func notAccepted(text string) error {
	return merry.Errorf("value %q is not accepted", text, merry.NoCaptureStack())
}
