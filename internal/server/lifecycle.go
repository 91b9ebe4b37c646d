package server

import "time"

const (
	// killDelay is the shortest time between SIGTERM and the platform's kill, in addition to the longest deadline of
	// all classes.
	killDelay = 700 * time.Millisecond

	// maxKillDeadline is the most by which the longest deadline delays the kill. Longer deadlines count as this long.
	maxKillDeadline = 3 * time.Second

	// drainServingPeriod is how long new requests are served after a drain has started: clients go on opening
	// connections for 0.4 s, and send requests on open ones for 0.2 s more. Later requests are rejected.
	drainServingPeriod = 750 * time.Millisecond

	// closeMargin is how long before the kill client connections are closed. stopMargin is how long before the kill
	// the program exits, whatever is still open. The time between the two is for slow clients and for a busy machine.
	closeMargin = 200 * time.Millisecond
	stopMargin  = 60 * time.Millisecond
)

// drainSchedule holds the times of the steps of a drain, counted from the start of the drain.
type drainSchedule struct {
	reject time.Duration // new requests are rejected from this time on
	close  time.Duration // open requests get their final responses, and client connections are closed
	stop   time.Duration // the program exits, whatever is still open
}

// newDrainSchedule derives the schedule from the longest deadline of all classes. Clients send requests on open
// connections until the kill, so the program exits as late as it safely can, unless clients close all their connections
// earlier.
func newDrainSchedule(longestDeadline time.Duration) drainSchedule {
	kill := min(longestDeadline, maxKillDeadline) + killDelay
	return drainSchedule{
		reject: min(drainServingPeriod, kill-closeMargin),
		close:  kill - closeMargin,
		stop:   kill - stopMargin,
	}
}

// lifecycleState is the state of a server. The states follow each other in the order of the constants; a drain may skip
// closing.
type lifecycleState uint8

const (
	starting lifecycleState = iota // the parts are built, and the listeners are not open
	serving                        // requests are accepted and served
	draining                       // reports not ready; serves requests at first and rejects them by the schedule
	closing                        // open requests have their final responses, and client connections are being closed
	stopped                        // the event loop stops after the current turn
)

// lifecycle is the state machine of a server. It has no clock of its own: all times are those of the event loop. It
// belongs to the event loop's goroutine.
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

// startDrain moves to draining, and reports whether it did. It has no effect on a drain that has already started.
func (l *lifecycle) startDrain(now time.Duration) bool {
	if l.state >= draining {
		return false
	}
	l.state = draining
	l.drainingSince = now
	return true
}

// advance makes one transition if the drain schedule has reached it, and reports whether it did. More than one
// transition may be due at the same time. drained is true if no work is left that the drain has to wait for.
func (l *lifecycle) advance(now time.Duration, drained bool) bool {
	next := l.nextState(now, drained)
	if next == l.state {
		return false
	}
	l.state = next
	return true
}

// nextState returns the state to move to at the time now, or the current state if no transition is due.
func (l *lifecycle) nextState(now time.Duration, drained bool) lifecycleState {
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

// isDraining reports whether a drain has started and has not ended.
func (l *lifecycle) isDraining() bool { return l.state == draining || l.state == closing }

// rejectsNewRequests reports whether new requests are rejected at the time now.
func (l *lifecycle) rejectsNewRequests(now time.Duration) bool {
	return l.state >= draining && now-l.drainingSince >= l.schedule.reject
}
