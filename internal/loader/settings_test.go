package loader

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
)

func readValid(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "settings.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against settings that differ after Parse and Print, and against missing defaults.
func TestPrintRoundTrip(t *testing.T) {
	is := is.New(t)
	s, err := Load(filepath.Join("testdata", "settings.ini"))
	is.NoErr(err)
	is.Equal(string(Print(s)), readValid(t))
	short, _, _ := strings.Cut(readValid(t), "[Log]")
	defaults, err := Parse([]byte(short))
	is.NoErr(err)
	is.Equal(defaults, s) // the file states the defaults
}

// Guards against a fault that is not reported, or reported for the wrong line or key.
func TestParseFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"[Store]", "[Storage]", `line 8: [Storage] unknown section; allowed: [EntryHost], [Store], [Peer "name"], [OperatorKey "name"], [Log], [Limits]`},
		{"[Store]\nAddress = 10.0.0.9:2300\n", "", `[Store] section is missing; allowed: at least one section of this kind`},
		{"Level = info", "Level = loud", `line 26: [Log] Level: value "loud" is not accepted; allowed: debug, info, warn, error`},
		{"10.1.0.1:7100", "10.1.0.1:99999", `line 5: [EntryHost] MessageAddress: value "10.1.0.1:99999" is not accepted; allowed: IP address and port, for example 10.1.0.5:7000`},
		{"10.1.0.1:7100", "0.0.0.0:7000", `line 1: [EntryHost] MessageAddress: 0.0.0.0:7000 is also CallerAddress; allowed: an address of its own`},
		{`[Peer "sampaloc-2"]`, `[Peer "sampaloc-1"]`, `line 15: [Peer "sampaloc-1"] this entry host is listed as its own peer; allowed: other entry hosts`},
		{"10.1.0.2:7100", "10.3.0.1:7100", `line 15: [Peer "sampaloc-2"] Address: 10.3.0.1:7100 also belongs to "malolos-1"; allowed: an address of its own`},
		{"PublicKey = AAAA", "PublicKey = ", `line 20: [OperatorKey "ana"] PublicKey: public key has 29 bytes, want 32; allowed: ed25519 public key in base64, as printed by config keygen`},
		{"StoreTimeout = 2s", "StoreTimeout = 2m", `line 31: [Limits] StoreTimeout: value "2m" is not accepted; allowed: Go duration from 100ms to 10s`},
		{"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", `line 22: [OperatorKey "ben"] PublicKey: key also belongs to "ana"; allowed: a key of its own`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(readValid(t), c.old)) // the text to replace exists
			_, err := Parse([]byte(strings.Replace(readValid(t), c.old, c.new, 1)))
			var invalid *configurator.InvalidError
			is.True(errors.As(err, &invalid))
			for _, f := range invalid.Faults {
				if f.String() == c.want {
					return
				}
			}
			t.Errorf("got:\n%v", err)
		})
	}
}

func ExampleParse() {
	_, err := Parse([]byte("[EntryHost]\nName = sampaloc-1\nFailureDomain = Sampaloc\nCallerAddress = 7000\n" +
		"MessageAddress = 10.1.0.1:7100\nAdminAddress = 10.1.0.1:7300\n[Store]\nAddress = 10.0.0.9:2300\n"))
	fmt.Println(err)
	// Output:
	// [OperatorKey] section is missing; allowed: at least one section of this kind
	// line 4: [EntryHost] CallerAddress: value "7000" is not accepted; allowed: IP address and port, for example 10.1.0.5:7000
}
