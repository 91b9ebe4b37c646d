package server

import (
	"log/slog"
	"time"
)

// stageTimes holds how long the stages of a reload took, on a clock of its own: a reload runs beside the event loop.
type stageTimes struct {
	config  time.Duration // reading the configuration
	routes  time.Duration // reading, checking and compiling the routes
	compare time.Duration // comparing them with the current ones
	apply   time.Duration // until the event loop had applied both

	endedAt time.Time // end of the last stage
}

func newStageTimes() *stageTimes { return &stageTimes{endedAt: time.Now()} }

// sinceLast returns the time since it was last called, or since the start.
func (s *stageTimes) sinceLast() time.Duration {
	now := time.Now()
	took := now.Sub(s.endedAt)
	s.endedAt = now
	return took
}

// log logs the times in microseconds.
func (s *stageTimes) log(logger *slog.Logger) {
	logger.Info("reload_timed",
		slog.Int64("config_us", s.config.Microseconds()),
		slog.Int64("routes_us", s.routes.Microseconds()),
		slog.Int64("compare_us", s.compare.Microseconds()),
		slog.Int64("apply_us", s.apply.Microseconds()))
}
