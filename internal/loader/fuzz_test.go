package loader

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"peridotpitch/internal/configurator"
)

// Guards against a settings file that causes a panic, is refused without a fault, or has
// other values after Print and Parse.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile("testdata/settings.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			var invalid *configurator.InvalidError
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		printed := Print(s)
		again, err := Parse(printed)
		if err != nil {
			t.Fatalf("printed text is refused: %v\n%s", err, printed)
		}
		if !bytes.Equal(Print(again), printed) {
			t.Fatalf("changed by a round trip:\n%s\n%s", printed, Print(again))
		}
	})
}
