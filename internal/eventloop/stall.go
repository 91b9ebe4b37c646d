package eventloop

import "time"

const (
	// maxTurnInterval is how long the loop waits at most before it starts another turn, counted from the start of the
	// last one. A longer time without a turn indicates a stall.
	maxTurnInterval = 100 * time.Millisecond
	// stallThreshold is the time between the starts of two turns beyond which the process counts as stalled.
	stallThreshold = maxTurnInterval + 50*time.Millisecond
	// stallCatchUpTime is how long after a stall the poller may still read data that arrived during it.
	stallCatchUpTime = 20 * time.Millisecond
)

// stall is the last period in which the loop did not run, usually because the whole process was stopped. The poller was
// stopped too and read the data of that period only later, so its arrival time is unknown. It counts as having arrived
// when the stall started, so that no client waits longer than it asked to. The loop's goroutine owns it.
type stall struct {
	from  time.Duration // start of the last turn before the stall
	until time.Duration // data read later than this did not arrive during the stall
}

// recordTurn records the start of a turn. previous is the start of the turn before it.
func (s *stall) recordTurn(previous, now time.Duration) {
	if now-previous > stallThreshold {
		s.from = previous
		s.until = now + stallCatchUpTime
	}
}

// arrivalTime returns the time at which data that was read at readAt counts as having arrived.
func (s *stall) arrivalTime(readAt time.Duration) time.Duration {
	if readAt > s.from && readAt <= s.until {
		return s.from
	}
	return readAt
}
