package server

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

// drainCheckInterval is the time between checks for the end of a drain.
const drainCheckInterval = 10 * time.Millisecond

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
	if !s.lifecycle.beginDrain(s.loop.Now()) {
		return
	}
	s.logCounters()
	s.logger.Info("server_draining", slog.String("signal", received.String()))
}

// continueDrain takes the steps of the drain that are due, and returns when to check again.
func (s *Server) continueDrain(now time.Duration) time.Duration {
	for s.lifecycle.advance(now, s.drained()) {
		switch s.lifecycle.state {
		case closing:
			s.core.EndOpenRequests()
			s.loop.CloseClients()
		case stopped:
			s.stop()
		}
	}
	if s.lifecycle.rejectsNew(now) {
		s.core.RejectNew()
	}
	return now + drainCheckInterval
}

// stop stops the event loop, and logs what a drain leaves that has run out of time.
func (s *Server) stop() {
	if !s.drained() {
		s.logger.Warn("drain_incomplete",
			slog.Int("clients", s.loop.AcceptedCount()),
			slog.Int("requests", s.core.OpenRequests()),
			slog.Int("unwritten_bytes", s.loop.UnwrittenBytes()),
			slog.Int("notices", s.integrations.pendingNotices()))
	}
	s.loop.Stop()
}

// drained reports whether no client is connected, so that no request can be open or come, and all notices are
// delivered.
func (s *Server) drained() bool {
	return s.loop.AcceptedCount() == 0 && s.core.OpenRequests() == 0 && s.integrations.pendingNotices() == 0
}
