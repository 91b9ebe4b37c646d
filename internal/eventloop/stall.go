package eventloop

import "time"

const (
	// maxRest is how long the loop rests between two turns at most, so that a longer time without a turn shows a stall.
	maxTurnInterval = 100 * time.Millisecond
	// stallThreshold is the time between the begins of two turns beyond which the process counts as stalled.
	stallThreshold = maxTurnInterval + 50*time.Millisecond
	// stallAftermath is how long after a stall the poller may still read what arrived during it.
	stallCatchUpTime = 20 * time.Millisecond
)

// stall is the last time in which the loop did not run, as a rule because the whole process was stopped. The poller
// was stopped too, and read only later what arrived then: nobody knows when. So that no client waits for longer than
// it asked to, such data counts as having arrived at the stall's begin. It belongs to the loop's goroutine.
type stall struct {
	from  time.Duration // begin of the last turn before it
	until time.Duration // when data that is read may no longer have arrived during it
}

// recordTurn records the begin of a turn, and of the turn before it.
func (s *stall) recordTurn(previous, now time.Duration) {
	if now-previous > stallThreshold {
		s.from = previous
		s.until = now + stallCatchUpTime
	}
}

// arrivalTime returns the time at which data that was read at a time counts as having arrived.
func (s *stall) arrivalTime(readAt time.Duration) time.Duration {
	if readAt > s.from && readAt <= s.until {
		return s.from
	}
	return readAt
}
