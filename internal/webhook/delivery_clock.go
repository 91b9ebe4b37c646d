package webhook

import "time"

// deliveryClock returns the times that the Unix times in deliveries are compared with. A wall clock may be stepped, by
// as much as an hour, but the windows in which a delivery may be repeated are spans of real time. They are therefore
// measured by the steady time: the wall clock's time at the start, advanced by the monotonic clock. A wall clock that
// was wrong at the start is not detected. A deliveryClock must only be used on the event loop's goroutine.
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

// steady returns the time by which windows are measured. It never decreases and is never stepped.
func (c *deliveryClock) steady() time.Time {
	return c.startWall.Add(c.monotonic.Now() - c.startMonotonic)
}

// latest returns the steady time or the wall clock's time, whichever is later. If the sender's clock and this machine's
// were both stepped forward, the sender's timestamps are ahead of the steady time.
func (c *deliveryClock) latest() time.Time {
	wall := c.wallClock().Round(0)
	if steady := c.steady(); steady.After(wall) {
		return steady
	}
	return wall
}

// isFresh reports whether a time is within the tolerance of the steady time or of the wall clock's time. Either is
// accepted, since the sender's clock may or may not have been stepped together with this machine's.
func (c *deliveryClock) isFresh(sent time.Time, tolerance time.Duration) bool {
	return c.steady().Sub(sent).Abs() <= tolerance || c.wallClock().Sub(sent).Abs() <= tolerance
}
