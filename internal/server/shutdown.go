package server

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

const (
	// lingerPeriod is how long new requests are accepted after a drain has begun: clients open connections for 0.4 s
	// and send requests on open ones for 0.2 s more, and what came within 0.7 s must be answered.
	lingerPeriod = 750 * time.Millisecond

	// flushTimeout is how long after the beginning of a drain slow clients may take their responses, and notices
	// be delivered. The platform kills the process 3.7 s after SIGTERM at the earliest.
	flushTimeout = 3500 * time.Millisecond

	// drainCheckInterval is the time between checks for the end of a drain.
	drainCheckInterval = 10 * time.Millisecond
)

// watchStopSignals hands signals and the closing of Options.Stop to the event loop until Close.
func (s *Server) watchStopSignals() {
	stop := s.options.Stop
	for {
		select {
		case received := <-s.options.Signals.Stop:
			s.loop.Post(func() { s.handleSignal(received) })
		case <-stop:
			stop = nil // a closed channel is always ready
			s.loop.Post(func() { s.handleSignal(syscall.SIGTERM) })
		case <-s.closed:
			return
		}
	}
}

// handleSignal logs the counters, and begins to drain unless the signal asked for the counters alone.
func (s *Server) handleSignal(received os.Signal) {
	s.logCounters()
	if received != syscall.SIGUSR1 {
		s.Drain(received)
	}
}

// Drain begins the graceful shutdown that a signal asked for. It runs on the event loop's goroutine; while
// the server drains it has no effect.
func (s *Server) Drain(received os.Signal) {
	if s.drainingSince > 0 {
		return
	}
	s.drainingSince = s.loop.Now()
	slog.Info("server_draining", slog.String("signal", received.String()))
}

// continueDrain rejects new requests once the linger period is over, stops the event loop once nothing is left to
// do or to wait for, and returns when to check again.
func (s *Server) continueDrain(now time.Duration) time.Duration {
	elapsed := now - s.drainingSince
	lingerOver := elapsed >= lingerPeriod
	s.core.Draining = lingerOver
	if lingerOver && s.core.OpenRequests() == 0 && (s.flushed() || elapsed >= flushTimeout) {
		s.loop.Stop()
	}
	return now + drainCheckInterval
}

// flushed reports whether all responses have been written and all notices delivered.
func (s *Server) flushed() bool {
	return s.loop.UnwrittenBytes() == 0 && s.integrations.pendingNotices() == 0
}
