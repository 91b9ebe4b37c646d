package server

import (
	"log/slog"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/notice"
	"crankhold/internal/router"
	"crankhold/policy"
)

// noticeSender sends notices of completed requests whose class is not idempotent. It belongs to the event loop's
// goroutine.
type noticeSender struct {
	sender  *notice.Sender
	classes []policy.Class
	logger  *slog.Logger
}

func newNoticeSender(settings notice.Config, cfg *config.Config, loop *eventloop.Loop,
	logger *slog.Logger) (*noticeSender, error) {
	dial := func(addr string, timeout time.Duration, handler eventloop.DialHandler) notice.Transport {
		return loop.Dial("tcp", addr, timeout, handler)
	}
	sender, err := notice.NewSender(notice.Options{Config: settings, Dial: dial, WallClock: time.Now, Logger: logger})
	if err != nil {
		return nil, err
	}
	return &noticeSender{sender: sender, classes: cfg.Policy.Classes, logger: logger}, nil
}

// requestCompleted queues a notice of a completed request if its class is not idempotent.
func (s *noticeSender) requestCompleted(now time.Duration, r *router.Request, completion router.Completion) {
	if s.classes[r.Class].Idempotency == policy.NotIdempotent {
		s.sender.Notify(now, r, completion)
	}
}

func (s *noticeSender) logCounters() {
	counters := s.sender.Counters()
	logCounterLine(s.logger,
		slog.Uint64("notices_queued", counters.Queued),
		slog.Uint64("dropped", counters.Dropped),
		slog.Uint64("delivered", counters.Delivered),
		slog.Uint64("retried", counters.Retried),
		slog.Uint64("abandoned", counters.Abandoned),
		slog.Int("open", s.sender.Pending()))
}
