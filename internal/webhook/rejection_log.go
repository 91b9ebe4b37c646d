package webhook

import (
	"log/slog"
	"time"
)

// rejectionLogInterval is the minimum time between two log lines about rejected deliveries.
const rejectionLogInterval = time.Second

// rejectionLog logs why deliveries were rejected, at most once per rejectionLogInterval. Otherwise any client that can
// connect could fill the log. The receiver's counters include the rejections that are not logged.
type rejectionLog struct {
	logger *slog.Logger
	next   time.Duration // the earliest time at which the next line may be logged
}

// add logs a rejection, unless another one was logged within the last rejectionLogInterval.
func (l *rejectionLog) add(now time.Duration, event string, err error) {
	if now < l.next {
		return
	}
	l.next = now + rejectionLogInterval
	l.logger.Warn(event, slog.String("front", "webhook"), slog.Any("err", err))
}
