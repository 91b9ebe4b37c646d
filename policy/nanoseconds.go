package policy

import "time"

// nanoseconds is a duration with fractions of a nanosecond. Estimates keep the fractions, because rounding to
// a time.Duration would change the order of workers whose predicted latencies are almost equal.
type nanoseconds float64

// duration returns n as a time.Duration, without its fraction.
func (n nanoseconds) duration() time.Duration { return time.Duration(n) }
