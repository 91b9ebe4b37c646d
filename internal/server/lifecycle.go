package server

import "time"

const (
	// killDelay is how long after SIGTERM the platform kills the process at the earliest, beyond the longest deadline.
	killDelay = 700 * time.Millisecond

	// maxKillDeadline is what a longer deadline counts as there.
	maxKillDeadline = 3 * time.Second

	// drainServingPeriod is how long new requests are served after a drain has begun: clients open connections for 0.4
	// s and send requests on open ones for 0.2 s more. Later ones are rejected.
	drainServingPeriod = 750 * time.Millisecond

	// closeMargin is how long before the kill clients' connections are closed, and stopMargin how long before it the
	// program ends whatever is left. What lies between is for slow clients and a machine that is busy.
	closeMargin = 200 * time.Millisecond
	stopMargin  = 60 * time.Millisecond
)

// drainSchedule is when a drain takes its steps, counted from its beginning.
type drainSchedule struct {
	reject time.Duration // new requests are rejected from then on
	close  time.Duration // open requests get their final responses, and clients' connections are closed
	stop   time.Duration // the program ends whatever is left
}

// newDrainSchedule derives the schedule from the longest deadline of all classes. Clients send on open connections
// until the kill, so the program ends as late as it safely can, unless they close them all.
func newDrainSchedule(longestDeadline time.Duration) drainSchedule {
	kill := min(longestDeadline, maxKillDeadline) + killDelay
	return drainSchedule{
		reject: min(drainServingPeriod, kill-closeMargin),
		close:  kill - closeMargin,
		stop:   kill - stopMargin,
	}
}

// lifecycleState is how far the life of a server has come. States follow each other in this order; a drain may skip
// closing.
type lifecycleState uint8

const (
	starting lifecycleState = iota // the parts are built, and the listeners are not open
	serving                        // requests are accepted and served
	draining                       // reports not ready; accepts requests, and rejects them once the schedule says so
	closing                        // open requests have been ended, and clients' connections are being closed
	stopped                        // the event loop ends with the present turn
)

// lifecycle is the state of a server, and when it moves to the next one. It has no clock: times are those of the event
// loop. It belongs to the event loop's goroutine.
type lifecycle struct {
	state         lifecycleState
	schedule      drainSchedule
	servingSince  time.Duration
	drainingSince time.Duration
}

// serve moves from starting to serving.
func (l *lifecycle) serve(now time.Duration) {
	l.state = serving
	l.servingSince = now
}

// beginDrain moves to draining, and reports whether it did: a drain that has begun goes on as it is.
func (l *lifecycle) beginDrain(now time.Duration) bool {
	if l.state >= draining {
		return false
	}
	l.state = draining
	l.drainingSince = now
	return true
}

// advance moves to the next state if the drain has come to it, and reports whether it did. More than one move may be
// due at a time. drained says that nothing is left to do or to wait for.
func (l *lifecycle) advance(now time.Duration, drained bool) bool {
	next := l.due(now, drained)
	if next == l.state {
		return false
	}
	l.state = next
	return true
}

// due returns the state that follows the present one at a time, or the present one where no move is due.
func (l *lifecycle) due(now time.Duration, drained bool) lifecycleState {
	elapsed := now - l.drainingSince
	switch {
	case l.state == draining && elapsed >= l.schedule.close:
		return closing
	case l.state == draining && elapsed >= l.schedule.reject && drained:
		return stopped
	case l.state == closing && (drained || elapsed >= l.schedule.stop):
		return stopped
	default:
		return l.state
	}
}

// isDraining reports whether a drain has begun and has not ended.
func (l *lifecycle) isDraining() bool { return l.state == draining || l.state == closing }

// rejectsNew reports whether new requests are rejected at a time.
func (l *lifecycle) rejectsNew(now time.Duration) bool {
	return l.state >= draining && now-l.drainingSince >= l.schedule.reject
}
