package webhook

import "time"

// deliveryClock returns the times that deliveries' Unix times are compared with. Wall clocks are stepped, by as much as
// an hour, and the windows in which a delivery may be repeated are spans of real time. They count by the steady time:
// the wall clock at the start, advanced by the monotonic clock. A wall clock that was wrong at the start is not
// noticed. It belongs to the event loop's goroutine.
type deliveryClock struct {
	monotonic      Clock
	wallClock      func() time.Time
	startWall      time.Time
	startMonotonic time.Duration
}

func newDeliveryClock(monotonic Clock, wallClock func() time.Time) *deliveryClock {
	return &deliveryClock{
		monotonic:      monotonic,
		wallClock:      wallClock,
		startWall:      wallClock().Round(0),
		startMonotonic: monotonic.Now(),
	}
}

// steady returns the Unix time by which windows count. It never goes back and is never stepped.
func (c *deliveryClock) steady() time.Time {
	return c.startWall.Add(c.monotonic.Now() - c.startMonotonic)
}

// latest returns the later of the steady time and the wall clock's. A sender whose clock was stepped forward with this
// machine's is in the future by the steady time.
func (c *deliveryClock) latest() time.Time {
	wall := c.wallClock().Round(0)
	if steady := c.steady(); steady.After(wall) {
		return steady
	}
	return wall
}

// isFresh reports whether a time is within a tolerance of the present, by the steady time or by the wall clock: the
// sender's clock may have been stepped with this machine's, or not.
func (c *deliveryClock) isFresh(sent time.Time, tolerance time.Duration) bool {
	return c.steady().Sub(sent).Abs() <= tolerance || c.wallClock().Sub(sent).Abs() <= tolerance
}
