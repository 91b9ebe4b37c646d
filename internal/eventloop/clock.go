package eventloop

import "time"

// epoch is the first reading of a clock, so that earlier instants are positive too.
const epoch = time.Hour

// clock reads the monotonic clock. It is safe for concurrent use.
type clock struct {
	startedAt time.Time
}

// now returns the time since the start plus epoch, in whole microseconds.
func (c clock) now() time.Duration {
	return (epoch + time.Since(c.startedAt)).Truncate(time.Microsecond)
}
