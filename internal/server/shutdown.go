package server

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

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

	// drainCheckInterval is the time between checks for the end of a drain.
	drainCheckInterval = 10 * time.Millisecond
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

// watchStopSignals hands signals and the closing of Options.Stop to the event loop until Close.
func (s *Server) watchStopSignals() {
	stop := s.options.Stop
	for {
		select {
		case received := <-s.options.Signals.Stop:
			s.loop.Post(func() { s.Drain(received) })
		case <-s.options.Signals.Report:
			s.loop.Post(s.logCounters)
		case <-stop:
			stop = nil // a closed channel is always ready
			s.loop.Post(func() { s.Drain(syscall.SIGTERM) })
		case <-s.closed:
			return
		}
	}
}

// Drain begins the graceful shutdown that a signal asked for. It runs on the event loop's goroutine; while
// the server drains it has no effect.
func (s *Server) Drain(received os.Signal) {
	if s.drainingSince > 0 {
		return
	}
	s.logCounters()
	s.drainingSince = s.loop.Now()
	slog.Info("server_draining", slog.String("signal", received.String()))
}

// continueDrain takes the steps of the drain that are due, stops the event loop once nothing is left to do or to wait
// for, and returns when to check again.
func (s *Server) continueDrain(now time.Duration) time.Duration {
	elapsed := now - s.drainingSince
	if elapsed >= s.drainSchedule.close && !s.closingClients {
		s.closingClients = true
		s.core.EndOpenRequests()
		s.loop.CloseClients()
	}
	if elapsed >= s.drainSchedule.reject {
		s.core.RejectNew()
		s.stopIfDrained(elapsed)
	}
	return now + drainCheckInterval
}

// stopIfDrained stops the event loop once nothing is left, or no time.
func (s *Server) stopIfDrained(elapsed time.Duration) {
	if s.nothingLeft() {
		s.loop.Stop()
		return
	}
	if elapsed >= s.drainSchedule.stop {
		slog.Warn("drain_incomplete", slog.Int("clients", s.loop.AcceptedCount()), slog.Int("requests", s.core.OpenRequests()),
			slog.Int("unwritten_bytes", s.loop.UnwrittenBytes()), slog.Int("notices", s.integrations.pendingNotices()))
		s.loop.Stop()
	}
}

// nothingLeft reports whether no client is connected, so that no request can be open or come, and all notices are
// delivered.
func (s *Server) nothingLeft() bool {
	return s.loop.AcceptedCount() == 0 && s.core.OpenRequests() == 0 && s.integrations.pendingNotices() == 0
}
