package eventloop

import (
	"testing"
	"time"
)

// The clock starts at epoch, never goes back and returns whole microseconds.
func TestClockCountsWholeMicroseconds(t *testing.T) {
	c := clock{startedAt: time.Now()}
	last := epoch
	for range 1000 {
		now := c.now()
		if now < last || now%time.Microsecond != 0 {
			t.Fatalf("read %d ns after %d ns", now, last)
		}
		last = now
	}
}
