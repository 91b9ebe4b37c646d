package policy

import "time"

// nanoseconds is a length of time with fractions of a nanosecond. Estimates keep the fractions: rounded to a
// time.Duration, workers whose predicted latencies nearly tie would compare otherwise.
type nanoseconds float64

// duration returns n without its fraction.
func (n nanoseconds) duration() time.Duration { return time.Duration(n) }
