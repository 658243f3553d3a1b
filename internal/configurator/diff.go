package configurator

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two configurations. An empty Key stands for the
// whole section; then Old or New is "present".
type Change struct {
	Section string // header without brackets
	Key     string
	Old     string // empty if absent
	New     string // empty if absent
}

func (c Change) String() string {
	switch {
	case c.Key == "" && c.Old == "":
		return fmt.Sprintf("+ [%s]", c.Section)
	case c.Key == "":
		return fmt.Sprintf("- [%s]", c.Section)
	case c.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s -> %s", c.Section, c.Key, c.Old, c.New)
}

// present is the value of Change.Old or Change.New if that configuration has the section.
const present = "present"

// Changes returns the differences from a to b in the order of b's text, then the
// sections that b lacks. A nil configuration counts as empty.
func Changes(a, b *Configuration) []Change {
	var as, bs []Section
	if a != nil {
		as = sectionsOf(a)
	}
	if b != nil {
		bs = sectionsOf(b)
	}
	old := make(map[string]Section, len(as))
	for _, s := range as {
		old[s.Header()] = s
	}
	var cs []Change
	for _, s := range bs {
		before, ok := old[s.Header()]
		if !ok {
			cs = append(cs, Change{Section: s.Header(), New: present})
		}
		cs = appendKeyChanges(cs, before, s)
		delete(old, s.Header())
	}
	for _, s := range as {
		if _, removed := old[s.Header()]; removed {
			cs = append(cs, Change{Section: s.Header(), Old: present})
			cs = appendKeyChanges(cs, s, Section{Kind: s.Kind, Name: s.Name})
		}
	}
	return cs
}

// appendKeyChanges appends the changes of keys from section a to section b.
func appendKeyChanges(cs []Change, a, b Section) []Change {
	for _, e := range b.Entries {
		if old := valueOf(a, e.Key); old != e.Value {
			cs = append(cs, Change{b.Header(), e.Key, old, e.Value})
		}
	}
	for _, e := range a.Entries {
		if valueOf(b, e.Key) == "" {
			cs = append(cs, Change{b.Header(), e.Key, e.Value, ""})
		}
	}
	return cs
}

func valueOf(s Section, key string) string {
	if i := slices.IndexFunc(s.Entries, func(e Entry) bool { return e.Key == key }); i >= 0 {
		return s.Entries[i].Value
	}
	return ""
}

// Diff returns the differences from a to b, one line for each section or key: "+" for
// added, "-" for removed, "~" for changed. A nil configuration counts as empty.
func Diff(a, b *Configuration) string {
	var s strings.Builder
	for _, c := range Changes(a, b) {
		s.WriteString(c.String())
		s.WriteByte('\n')
	}
	return s.String()
}
