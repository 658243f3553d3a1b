package loader

import (
	"crypto/ed25519"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"peridotpitch/internal/configurator"
)

// operatorKey holds the values of one OperatorKey section.
type operatorKey struct {
	name   string
	public ed25519.PublicKey
}

// Docs returns the documentation of every kind of section in the settings file.
func Docs() []configurator.SectionDoc {
	return []configurator.SectionDoc{hostTable.Doc(), storeTable.Doc(), peerTable.Doc(), operatorKeyTable.Doc(), logTable.Doc(), limitsTable.Doc()}
}

var hostTable = configurator.Table[Settings]{
	Kind: "EntryHost", Required: true, Meaning: "this process",
	Keys: []configurator.Key[Settings]{
		configurator.NameKey(configurator.KeyDoc{Name: "Name", Required: true, Meaning: "name of this entry host in the configuration"},
			func(s *Settings) *string { return &s.Name }),
		configurator.NameKey(configurator.KeyDoc{Name: "FailureDomain", Required: true, Meaning: "failure domain of this entry host"},
			func(s *Settings) *string { return &s.FailureDomain }),
		configurator.AddressKey(configurator.KeyDoc{Name: "CallerAddress", Required: true, Meaning: "where callers' requests, health checks and metrics are served"},
			true, func(s *Settings) *netip.AddrPort { return &s.CallerAddress }),
		configurator.AddressKey(configurator.KeyDoc{Name: "MessageAddress", Required: true, Meaning: "where messages of other entry hosts are served"},
			true, func(s *Settings) *netip.AddrPort { return &s.MessageAddress }),
		configurator.AddressKey(configurator.KeyDoc{Name: "AdminAddress", Required: true, Meaning: "where operators' requests are served; only operators may reach it"},
			true, func(s *Settings) *netip.AddrPort { return &s.AdminAddress }),
	},
}

var storeTable = configurator.Table[Settings]{
	Kind: "Store", Required: true, Meaning: "the platform's key-value store and host list",
	Keys: []configurator.Key[Settings]{
		configurator.AddressKey(configurator.KeyDoc{Name: "Address", Required: true, Meaning: "address of the store"},
			false, func(s *Settings) *netip.AddrPort { return &s.StoreAddress }),
	},
}

var peerTable = configurator.Table[Peer]{
	Kind: "Peer", Named: true, Meaning: "another entry host, which is asked for the configuration at a start without the store",
	Keys: []configurator.Key[Peer]{
		configurator.NameKey(configurator.KeyDoc{Name: "FailureDomain", Required: true, Meaning: "failure domain of the peer"},
			func(p *Peer) *string { return &p.FailureDomain }),
		configurator.AddressKey(configurator.KeyDoc{Name: "Address", Required: true, Meaning: "the peer's MessageAddress"},
			false, func(p *Peer) *netip.AddrPort { return &p.Address }),
	},
}

var operatorKeyTable = configurator.Table[operatorKey]{
	Kind: "OperatorKey", Named: true, Required: true, Meaning: "operator whose signature is accepted",
	Keys: []configurator.Key[operatorKey]{{
		Name: "PublicKey", Required: true, Allowed: "ed25519 public key in base64, as printed by config keygen",
		Meaning: "public key of the operator",
		Set: func(k *operatorKey, text string) (err error) {
			k.public, err = configurator.DecodePublicKey(text)
			return err
		},
		Get: func(k *operatorKey) string { return configurator.EncodePublicKey(k.public) },
	}},
}

var logTable = configurator.Table[Settings]{
	Kind: "Log", Meaning: "log lines",
	Keys: []configurator.Key[Settings]{{
		Name: "Level", Default: "info", Allowed: "debug, info, warn, error", Meaning: "lowest level that is logged",
		Set: setLevel,
		Get: func(s *Settings) string { return levelNames[s.LogLevel] },
	}},
}

var levelNames = map[slog.Level]string{
	slog.LevelDebug: "debug", slog.LevelInfo: "info", slog.LevelWarn: "warn", slog.LevelError: "error",
}

func setLevel(s *Settings, text string) error {
	for l, n := range levelNames {
		if n == text {
			s.LogLevel = l
			return nil
		}
	}
	return fmt.Errorf("value %q is not accepted", text)
}

var limitsTable = configurator.Table[Settings]{
	Kind: "Limits", Meaning: "bounds of this process's memory and time",
	Keys: []configurator.Key[Settings]{
		configurator.IntegerKey(configurator.KeyDoc{Name: "MaxQueuedRequests", Unit: "requests", Default: "10000", Meaning: "requests that wait for a slot; more are answered not-run"},
			1, 1000000, func(s *Settings) *int { return &s.Limits.MaxQueuedRequests }),
		configurator.IntegerKey(configurator.KeyDoc{Name: "MaxDecisionRecords", Unit: "records", Default: "20000", Meaning: "decision records kept in memory for explain"},
			100, 1000000, func(s *Settings) *int { return &s.Limits.MaxDecisionRecords }),
		configurator.DurationKey(configurator.KeyDoc{Name: "StoreTimeout", Unit: "Go duration", Default: "2s", Meaning: "bound of one store call other than a watch"},
			100*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Limits.StoreTimeout }),
		configurator.DurationKey(configurator.KeyDoc{Name: "MessageTimeout", Unit: "Go duration", Default: "1s", Meaning: "bound of one message to another entry host, except a forwarded request"},
			100*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Limits.MessageTimeout }),
		configurator.DurationKey(configurator.KeyDoc{Name: "DrainTimeout", Unit: "Go duration", Default: "45s", Meaning: "bound of a graceful shutdown; longer than the longest request"},
			time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout }),
	},
}
