// Package converter converts floating-point numbers to durations and integers.
//
// The language leaves the result of a conversion to the machine if the number is infinite, not a number or out of
// range: an infinite number of nanoseconds becomes a negative duration on x86-64 and the longest one on arm64. The
// functions of this package give the nearest value that the type holds, and 0 for what is not a number.
package converter

import (
	"math"
	"time"
)

// Duration returns a number of nanoseconds as a duration.
func Duration(nanoseconds float64) time.Duration { return time.Duration(toInt64(nanoseconds)) }

// Seconds returns a number of seconds as a duration.
func Seconds(seconds float64) time.Duration { return Duration(seconds * float64(time.Second)) }

// Scale returns a multiple of a duration.
func Scale(d time.Duration, factor float64) time.Duration { return Duration(factor * float64(d)) }

// Int returns a number as an integer, rounded towards 0.
func Int(x float64) int { return int(min(math.MaxInt, max(math.MinInt, toInt64(x)))) }

// Milliseconds returns a whole number of milliseconds as a duration. Out of the range of a duration, it returns the
// nearest one.
func Milliseconds(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(limit, max(-limit, n))) * time.Millisecond
}

func toInt64(x float64) int64 {
	switch {
	case math.IsNaN(x):
		return 0
	case x >= math.MaxInt64: // as a float64, the constant is rounded up to 2^63
		return math.MaxInt64
	case x <= math.MinInt64:
		return math.MinInt64
	default:
		return int64(x)
	}
}
