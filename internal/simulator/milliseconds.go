package simulator

import (
	"math"
	"time"
)

// maxMillis is the longest accepted time in milliseconds. It fits into a Duration.
const maxMillis = 1e12

// fromMillis returns a number of milliseconds as a Duration, rounded to nanoseconds. It returns 0 for NaN and for
// values that are out of range.
func fromMillis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > maxMillis {
		return 0
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// toMillis returns a Duration in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
