package server

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

// drainCheckInterval is the time between two checks of whether a step of the drain is due.
const drainCheckInterval = 10 * time.Millisecond

// watchStopSignals posts an action to the event loop for each signal and for the close of Options.Stop. It returns when
// the server is closed.
func (s *Server) watchStopSignals() {
	stop := s.options.Stop
	for {
		select {
		case received := <-s.options.Signals.Stop:
			s.loop.PostNamed("drain", func() { s.Drain(received) })
		case <-s.options.Signals.Report:
			s.loop.PostNamed("report", s.logCounters)
		case <-stop:
			stop = nil // a closed channel is always ready
			s.loop.PostNamed("drain", func() { s.Drain(syscall.SIGTERM) })
		case <-s.closed:
			return
		}
	}
}

// Drain starts the graceful shutdown that a signal requested. It must be called on the event loop's goroutine. It has
// no effect if a drain has already started.
func (s *Server) Drain(received os.Signal) {
	if !s.lifecycle.startDrain(s.loop.Now()) {
		return
	}
	s.logCounters()
	s.logger.Info("server_draining", slog.String("signal", received.String()))
}

// continueDrain carries out the steps of the drain that are due, and returns the time of the next check.
func (s *Server) continueDrain(now time.Duration) time.Duration {
	for s.lifecycle.advance(now, s.drained()) {
		switch s.lifecycle.state {
		case closing:
			s.core.CompleteOpenRequests()
			s.loop.CloseClients()
		case stopped:
			s.stop()
		}
	}
	if s.lifecycle.rejectsNewRequests(now) {
		s.core.RejectNewRequests()
	}
	return now + drainCheckInterval
}

// stop stops the event loop. If the drain has run out of time, it logs what is still open.
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

// drained reports whether the drain has nothing left to wait for: no client is connected, so that no request can be
// open or arrive, and all notices are delivered.
func (s *Server) drained() bool {
	return s.loop.AcceptedCount() == 0 && s.core.OpenRequests() == 0 && s.integrations.pendingNotices() == 0
}
