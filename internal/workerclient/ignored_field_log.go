package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
)

const (
	// ignoredFieldLogInterval is the minimum time between two log events.
	ignoredFieldLogInterval = time.Second
	// maxLoggedValue is the maximum length of a field's value in the log, in bytes.
	maxLoggedValue = 32
)

// ignoredFieldLog logs response fields with invalid values, at most one event a second. Otherwise a worker could
// flood the log.
type ignoredFieldLog struct {
	logger   *slog.Logger
	count    int           // fields since the last event
	loggedAt time.Duration // when the last event was logged; 0: never
}

// add counts a field, and logs it if an event is due.
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
