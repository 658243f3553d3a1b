package configurator

import (
	"fmt"
	"strings"
)

// Markdown returns the section's part of docs/configuration.md: a heading and a table
// with one row for each key.
func (d SectionDoc) Markdown() string {
	var b strings.Builder
	header, presence := d.Kind, "optional, defaults apply"
	if d.Named {
		header, presence = d.Kind+` "name"`, "any number"
	}
	if d.Required {
		presence = strings.Replace(presence, "any number", "at least one", 1)
		presence = strings.Replace(presence, "optional, defaults apply", "required", 1)
	}
	fmt.Fprintf(&b, "### `[%s]`\n\n%s (%s).\n\n", header, sentence(d.Meaning), presence)
	b.WriteString("| key | meaning | unit | default | allowed |\n|---|---|---|---|---|\n")
	for _, k := range d.Keys {
		defaultText := k.Default
		switch {
		case k.Required:
			defaultText = "required"
		case defaultText == "":
			defaultText = "none"
		}
		unit := k.Unit
		if unit == "" {
			unit = "–"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, sentence(k.Meaning), unit, defaultText, k.Allowed)
	}
	return b.String()
}

// sentence returns s with its first letter in upper case.
func sentence(s string) string {
	if s == "" {
		return s
	}
	return strings.ToUpper(s[:1]) + s[1:]
}
