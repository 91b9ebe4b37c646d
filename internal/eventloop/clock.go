package eventloop

import "time"

// epoch is the first reading of a clock. It is large enough for instants before the start to be positive too.
const epoch = time.Hour

// clock reads the monotonic clock. It is safe for concurrent use.
type clock struct {
	startedAt time.Time
}

// now returns epoch plus the time since the start, truncated to whole microseconds.
func (c clock) now() time.Duration {
	return (epoch + time.Since(c.startedAt)).Truncate(time.Microsecond)
}
