package eventloop

import (
	"testing"
	"time"
)

// Data that is read right after a stall counts as having arrived when the stall started. Other data counts from when it
// was read.
func TestDataOfAStallCountsFromItsStart(t *testing.T) {
	const (
		before   = 10 * time.Second
		nextTurn = before + maxTurnInterval
		resumed  = nextTurn + time.Second
	)
	var s stall
	if s.recordTurn(before, nextTurn); s.arrivalTime(nextTurn) != nextTurn {
		t.Error("a wait of maxTurnInterval counts as a stall")
	}
	s.recordTurn(nextTurn, resumed)
	for _, test := range []struct{ readAt, want time.Duration }{
		{nextTurn - time.Millisecond, nextTurn - time.Millisecond},
		{nextTurn + time.Millisecond, nextTurn},
		{resumed, nextTurn},
		{resumed + stallCatchUpTime, nextTurn},
		{resumed + stallCatchUpTime + 1, resumed + stallCatchUpTime + 1},
	} {
		if got := s.arrivalTime(test.readAt); got != test.want {
			t.Errorf("data that was read at %v counts as arrived at %v, want %v", test.readAt, got, test.want)
		}
	}
}
