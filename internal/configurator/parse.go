package configurator

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
)

// Parse reads a configuration. Its errors are of type *InvalidError and list every
// fault of the text.
func Parse(text []byte) (*Configuration, error) {
	sections, faults := ReadSections(text)
	p := parser{c: &Configuration{}, docs: Docs(), lines: map[position]int{}, faults: faults}
	p.faults = append(p.faults, MissingSections(sections, p.docs)...)
	p.faults = append(p.faults, policyTable.Read(Section{}, &p.c.Policy)...)
	for _, s := range sections {
		p.readSection(s)
	}
	sortByName(p.c)
	// References are checked even if single values are faulty, so that one run lists all faults.
	p.faults = append(p.faults, check(p.c, p.lines, p.faults)...)
	if len(p.faults) > 0 {
		return nil, &InvalidError{Faults: SortFaults(p.faults)}
	}
	return p.c, nil
}

// position identifies a key, or a section if key is empty.
type position struct{ kind, name, key string }

type parser struct {
	c      *Configuration
	docs   []SectionDoc
	lines  map[position]int
	faults []Fault
}

func (p *parser) readSection(s Section) {
	if f, unknown := UnknownSection(s, p.docs); unknown {
		p.faults = append(p.faults, f)
		return
	}
	p.lines[position{s.Kind, s.Name, ""}] = s.Line
	for _, e := range s.Entries {
		p.lines[position{s.Kind, s.Name, e.Key}] = e.Line
	}
	c := p.c
	switch s.Kind {
	case generationTable.Kind:
		p.faults = append(p.faults, generationTable.Read(s, c)...)
	case measuresTable.Kind:
		p.faults = append(p.faults, measuresTable.Read(s, &c.Measures)...)
	case policyTable.Kind:
		p.faults = append(p.faults, policyTable.Read(s, &c.Policy)...)
	case failureDomainTable.Kind:
		c.FailureDomains = readNamed(p, failureDomainTable, s, c.FailureDomains, FailureDomain{Name: s.Name})
	case entryHostTable.Kind:
		c.EntryHosts = readNamed(p, entryHostTable, s, c.EntryHosts, EntryHost{Name: s.Name})
	case workerTable.Kind:
		c.Workers = readNamed(p, workerTable, s, c.Workers, Worker{Name: s.Name})
	case serviceTable.Kind:
		c.Services = readNamed(p, serviceTable, s, c.Services, Service{Name: s.Name})
	case jobClassTable.Kind:
		c.JobClasses = readNamed(p, jobClassTable, s, c.JobClasses, JobClass{Name: s.Name})
	case teamTable.Kind:
		c.Teams = readNamed(p, teamTable, s, c.Teams, Team{Name: s.Name})
	}
}

// readNamed reads a section into v and appends v to list.
func readNamed[T any](p *parser, t Table[T], s Section, list []T, v T) []T {
	p.faults = append(p.faults, t.Read(s, &v)...)
	return append(list, v)
}

func sortByName(c *Configuration) {
	slices.SortFunc(c.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.EntryHosts, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Workers, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.JobClasses, func(a, b JobClass) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
}

// Print returns the configuration's text. The text is the same for equal
// configurations, and Parse returns an equal configuration for it if it is valid.
func Print(c *Configuration) []byte {
	var b bytes.Buffer
	WriteSections(&b, sectionsOf(c))
	return b.Bytes()
}

// WriteSections writes sections in the format that ReadSections reads.
func WriteSections(b *bytes.Buffer, ss []Section) {
	for i, s := range ss {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(b, "[%s]\n", s.Header())
		for _, e := range s.Entries {
			fmt.Fprintf(b, "%s = %s\n", e.Key, e.Value)
		}
	}
}

// sectionsOf returns the configuration's sections in the order of Docs. Sections of one
// kind are sorted by name.
func sectionsOf(c *Configuration) []Section {
	d := *c
	d.FailureDomains, d.EntryHosts, d.Workers = slices.Clone(c.FailureDomains), slices.Clone(c.EntryHosts), slices.Clone(c.Workers)
	d.Services, d.JobClasses, d.Teams = slices.Clone(c.Services), slices.Clone(c.JobClasses), slices.Clone(c.Teams)
	sortByName(&d)
	ss := []Section{
		{Kind: generationTable.Kind, Entries: generationTable.Entries(&d)},
		{Kind: measuresTable.Kind, Entries: measuresTable.Entries(&d.Measures)},
		{Kind: policyTable.Kind, Entries: policyTable.Entries(&d.Policy)},
	}
	ss = appendNamed(ss, failureDomainTable, d.FailureDomains, func(v FailureDomain) string { return v.Name })
	ss = appendNamed(ss, entryHostTable, d.EntryHosts, func(v EntryHost) string { return v.Name })
	ss = appendNamed(ss, workerTable, d.Workers, func(v Worker) string { return v.Name })
	ss = appendNamed(ss, serviceTable, d.Services, func(v Service) string { return v.Name })
	ss = appendNamed(ss, jobClassTable, d.JobClasses, func(v JobClass) string { return v.Name })
	return appendNamed(ss, teamTable, d.Teams, func(v Team) string { return v.Name })
}

func appendNamed[T any](ss []Section, t Table[T], list []T, name func(T) string) []Section {
	for i := range list {
		ss = append(ss, Section{Kind: t.Kind, Name: name(list[i]), Entries: t.Entries(&list[i])})
	}
	return ss
}
