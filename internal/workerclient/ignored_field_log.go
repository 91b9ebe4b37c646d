package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
)

const (
	ignoredFieldLogInterval = time.Second
	maxLoggedValue          = 32 // bytes
)

// ignoredFieldLog logs the fields of responses that can't be used, at most one line a second: a worker could fill the
// log otherwise.
type ignoredFieldLog struct {
	logger   *slog.Logger
	count    int // since the last line
	loggedAt time.Duration
}

// add counts a field, and logs it where a line is due.
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
