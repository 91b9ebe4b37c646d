package webhook

import (
	"log/slog"
	"time"
)

// rejectionLogInterval is the least time between two log lines about rejected deliveries.
const rejectionLogInterval = time.Second

// rejectionLog logs why deliveries were rejected, at most once a rejectionLogInterval: whoever can connect could fill
// the log otherwise. The receiver's counters count them all.
type rejectionLog struct {
	logger *slog.Logger
	next   time.Duration // when the next line may be logged
}

// add logs a rejection, unless one was logged just before.
func (l *rejectionLog) add(now time.Duration, event string, err error) {
	if now < l.next {
		return
	}
	l.next = now + rejectionLogInterval
	l.logger.Warn(event, slog.String("front", "webhook"), slog.Any("err", err))
}
