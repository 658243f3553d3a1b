package configurator

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// sizeUnits are the units of sizes, largest first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"TB", 1e12},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
	{"B", 1},
}

// ParseSize reads a whole number with a unit of powers of 1000, for example "125GB",
// and returns bytes.
func ParseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || n > math.MaxInt64/uint64(u.bytes) {
			break
		}
		return int64(n) * u.bytes, nil
	}
	return 0, merry.Errorf("size %q is not a whole number with one of the units B, KB, MB, GB, TB", text)
}

// FormatSize returns bytes as a whole number of the largest unit that divides it.
func FormatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes != 0 && bytes%u.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/u.bytes, u.suffix)
		}
	}
	return "0B"
}
