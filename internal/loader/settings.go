package loader

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"peridotpitch/internal/configurator"
)

// Settings are the settings of one entry host process.
type Settings struct {
	Name           string
	FailureDomain  string
	CallerAddress  netip.AddrPort // callers' requests and health checks
	MessageAddress netip.AddrPort // messages from other entry hosts
	AdminAddress   netip.AddrPort // operators
	StoreAddress   netip.AddrPort
	Peers          []Peer // sorted by name; this host is not among them
	OperatorKeys   configurator.Keys
	LogLevel       slog.Level
	Limits         Limits
}

// Peer is another entry host. This host exchanges heartbeats with its peers and, if the store
// is unavailable at start, fetches the configuration from them.
type Peer struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort
}

// Limits holds the bounds on the process's memory and on the duration of its calls.
type Limits struct {
	MaxQueuedRequests  int           // requests waiting for a slot; not enforced by any code
	MaxDecisionRecords int           // decision records kept in memory
	StoreTimeout       time.Duration // timeout of a store call other than a watch
	MessageTimeout     time.Duration // timeout of a message to another entry host other than Forward
	DrainTimeout       time.Duration // timeout of a graceful shutdown
}

// Load reads and checks the settings file at path. A fault of the text gives a
// *configurator.InvalidError with the path as its name.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(err, "read settings")
	}
	s, err := Parse(text)
	var invalid *configurator.InvalidError
	if errors.As(err, &invalid) {
		invalid.Name = path
	}
	return s, err
}

// Parse checks the text of a settings file. Its errors are of type
// *configurator.InvalidError and list every fault.
func Parse(text []byte) (Settings, error) {
	sections, faults := configurator.ReadSections(text)
	p := parser{lines: map[string]int{}, faults: faults}
	p.settings.OperatorKeys = configurator.Keys{}
	p.faults = append(p.faults, configurator.MissingSections(sections, Docs())...)
	p.setDefaults()
	for _, s := range sections {
		p.readSection(s)
	}
	p.validate()
	if len(p.faults) > 0 {
		return Settings{}, &configurator.InvalidError{Faults: configurator.SortFaults(p.faults)}
	}
	slices.SortFunc(p.settings.Peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return p.settings, nil
}

type parser struct {
	settings Settings
	lines    map[string]int // section header to line
	faults   []configurator.Fault
}

// setDefaults sets the default values of the optional sections.
func (p *parser) setDefaults() {
	p.faults = append(p.faults, logTable.Read(configurator.Section{}, &p.settings)...)
	p.faults = append(p.faults, limitsTable.Read(configurator.Section{}, &p.settings)...)
}

func (p *parser) readSection(s configurator.Section) {
	if f, unknown := configurator.UnknownSection(s, Docs()); unknown {
		p.faults = append(p.faults, f)
		return
	}
	p.lines[s.Header()] = s.Line
	var faults []configurator.Fault
	switch s.Kind {
	case hostTable.Kind:
		faults = hostTable.Read(s, &p.settings)
	case storeTable.Kind:
		faults = storeTable.Read(s, &p.settings)
	case peerTable.Kind:
		peer := Peer{Name: s.Name}
		faults = peerTable.Read(s, &peer)
		p.settings.Peers = append(p.settings.Peers, peer)
	case operatorKeyTable.Kind:
		key := operatorKey{name: s.Name}
		if faults = operatorKeyTable.Read(s, &key); len(faults) == 0 {
			p.settings.OperatorKeys[s.Name] = key.public
		}
	case logTable.Kind:
		faults = logTable.Read(s, &p.settings)
	case limitsTable.Kind:
		faults = limitsTable.Read(s, &p.settings)
	}
	p.faults = append(p.faults, faults...)
}

func (p *parser) addFault(section configurator.Section, key, allowed, format string, args ...any) {
	header := section.Header()
	p.faults = append(p.faults, configurator.Fault{Line: p.lines[header], Section: header, Key: key,
		Problem: fmt.Sprintf(format, args...), Allowed: allowed})
}

// validate checks that addresses and keys are unique and that no peer is this host.
func (p *parser) validate() {
	host := configurator.Section{Kind: hostTable.Kind}
	listen := []struct {
		key     string
		address netip.AddrPort
	}{{"CallerAddress", p.settings.CallerAddress}, {"MessageAddress", p.settings.MessageAddress}, {"AdminAddress", p.settings.AdminAddress}}
	for i, a := range listen {
		for _, b := range listen[:i] {
			if overlaps(a.address, b.address) {
				p.addFault(host, a.key, "an address of its own", "%s is also %s", a.address, b.key)
			}
		}
	}
	addresses := map[netip.AddrPort]string{}
	for _, q := range p.settings.Peers {
		s := configurator.Section{Kind: peerTable.Kind, Name: q.Name}
		if q.Name == p.settings.Name {
			p.addFault(s, "", "other entry hosts", "this entry host is listed as its own peer")
		}
		if first, ok := addresses[q.Address]; ok && q.Address.IsValid() {
			p.addFault(s, "Address", "an address of its own", "%s also belongs to %q", q.Address, first)
		}
		addresses[q.Address] = q.Name
	}
	p.checkKeys()
}

// checkKeys reports a public key that has two names. With such a key the configuration history
// would not show which operator applied a configuration.
func (p *parser) checkKeys() {
	owners := map[string]string{}
	for _, n := range slices.Sorted(maps.Keys(p.settings.OperatorKeys)) {
		text := configurator.EncodePublicKey(p.settings.OperatorKeys[n])
		if first, ok := owners[text]; ok {
			p.addFault(configurator.Section{Kind: operatorKeyTable.Kind, Name: n}, "PublicKey", "a key of its own", "key also belongs to %q", first)
		}
		owners[text] = n
	}
}

// overlaps reports whether a process cannot listen on both addresses at once.
func overlaps(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// Print returns the text of a settings file. Parse returns equal settings for it.
func Print(s Settings) []byte {
	sections := []configurator.Section{
		{Kind: hostTable.Kind, Entries: hostTable.Entries(&s)},
		{Kind: storeTable.Kind, Entries: storeTable.Entries(&s)},
	}
	peers := slices.SortedFunc(slices.Values(s.Peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range peers {
		sections = append(sections, configurator.Section{Kind: peerTable.Kind, Name: p.Name, Entries: peerTable.Entries(&p)})
	}
	for _, n := range slices.Sorted(maps.Keys(s.OperatorKeys)) {
		k := operatorKey{n, s.OperatorKeys[n]}
		sections = append(sections, configurator.Section{Kind: operatorKeyTable.Kind, Name: n, Entries: operatorKeyTable.Entries(&k)})
	}
	sections = append(sections,
		configurator.Section{Kind: logTable.Kind, Entries: logTable.Entries(&s)},
		configurator.Section{Kind: limitsTable.Kind, Entries: limitsTable.Entries(&s)})
	var b bytes.Buffer
	configurator.WriteSections(&b, sections)
	return b.Bytes()
}
