package eventloop

import (
	"testing"
	"time"
)

// Data that is read right after a stall counts as having arrived at its begin, and other data when it was read.
func TestDataOfAStallCountsFromItsBegin(t *testing.T) {
	const (
		before  = 10 * time.Second
		rest    = before + maxRest
		resumed = rest + time.Second
	)
	var s stall
	if s.observe(before, rest); s.arrival(rest) != rest {
		t.Error("a rest counts as a stall")
	}
	s.observe(rest, resumed)
	for _, test := range []struct{ readAt, want time.Duration }{
		{rest - time.Millisecond, rest - time.Millisecond},
		{rest + time.Millisecond, rest},
		{resumed, rest},
		{resumed + stallAftermath, rest},
		{resumed + stallAftermath + 1, resumed + stallAftermath + 1},
	} {
		if got := s.arrival(test.readAt); got != test.want {
			t.Errorf("data that was read at %v counts as arrived at %v, want %v", test.readAt, got, test.want)
		}
	}
}
