package converter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/converter"
)

// Guards against a conversion whose result depends on the machine: a pause computed from a share of 0 was negative
// on x86-64 and the longest possible on arm64.
func TestNumbersOutOfRange(t *testing.T) {
	is := is.New(t)
	const longest, shortest = time.Duration(math.MaxInt64), time.Duration(math.MinInt64)
	for _, c := range []struct {
		x    float64
		want time.Duration
	}{
		{math.Inf(1), longest}, {math.Inf(-1), shortest}, {math.NaN(), 0}, {math.MaxInt64, longest}, {-math.MaxInt64, shortest},
		{1e300, longest}, {-1e300, shortest}, {1.9, 1}, {-1.9, -1}, {0, 0}, {math.Nextafter(math.MaxInt64, 0), math.MaxInt64 - 1023},
	} {
		is.Equal(converter.Duration(c.x), c.want)
		is.Equal(converter.Int(c.x), int(c.want))
	}
	is.Equal(converter.Seconds(1e12), longest)
	is.Equal(converter.Scale(time.Hour, math.Inf(1)), longest)
	is.Equal(converter.Scale(0, math.Inf(1)), time.Duration(0))
	is.Equal(converter.Milliseconds(math.MaxInt64), longest.Truncate(time.Millisecond))
	is.Equal(converter.Milliseconds(math.MinInt64), -longest.Truncate(time.Millisecond))
	is.Equal(converter.Milliseconds(-3), -3*time.Millisecond)
}

func ExampleSeconds() {
	fmt.Println(converter.Seconds(1.5), converter.Seconds(-1.5))
	// Output: 1.5s -1.5s
}
