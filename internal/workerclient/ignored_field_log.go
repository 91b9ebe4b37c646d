package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
)

const (
	// ignoredFieldLogInterval is the time for which nothing more is logged after an event.
	ignoredFieldLogInterval = time.Second
	// maxLoggedValue is how much of a field's value is logged, in bytes.
	maxLoggedValue = 32
)

// ignoredFieldLog logs the fields of responses that can't be used, at most one event a second: a worker could fill the
// log otherwise.
type ignoredFieldLog struct {
	logger   *slog.Logger
	count    int           // of fields since the last event
	loggedAt time.Duration // when that was; 0: none was
}

// add counts a field, and logs it where an event is due.
func (l *ignoredFieldLog) add(now time.Duration, addr endpoint.Addr, name string, value []byte) {
	l.count++
	if l.loggedAt != 0 && now-l.loggedAt <= ignoredFieldLogInterval {
		return
	}
	l.logger.Warn("worker_response_field_ignored",
		slog.String("addr", addr.String()),
		slog.String("field", name),
		slog.String("value", string(value[:min(len(value), maxLoggedValue)])),
		slog.Int("count", l.count))
	l.count = 0
	l.loggedAt = now
}
