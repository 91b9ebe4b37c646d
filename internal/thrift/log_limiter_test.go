package thrift

import (
	"testing"
	"time"
)

// The first event is logged at once. Events within the interval are counted in the next log line.
func TestLogLimiter(t *testing.T) {
	var limiter logLimiter
	for i, step := range []struct {
		now  time.Duration
		want int
	}{
		{time.Hour, 1},
		{time.Hour + 1, 0},
		{time.Hour + logInterval, 0},
		{time.Hour + logInterval + 1, 3},
		{time.Hour + 2*logInterval, 0},
	} {
		if got := limiter.add(step.now); got != step.want {
			t.Errorf("event %d: %d to be logged, want %d", i, got, step.want)
		}
	}
}
