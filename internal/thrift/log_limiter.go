package thrift

import "time"

// logInterval is the minimum time between two log lines for the same kind of event.
const logInterval = time.Second

// logLimiter counts events of one kind, which are logged at most once per logInterval. Without the limit, any client
// that can connect could fill the log. The zero value is ready to use.
type logLimiter struct {
	count    int           // number of events since the last log line
	loggedAt time.Duration // when the last line was logged; 0 if none was
}

// add counts an event. It returns the number of events since the last log line, or 0 if it is too early for another
// line.
func (l *logLimiter) add(now time.Duration) int {
	l.count++
	if l.loggedAt > 0 && now-l.loggedAt <= logInterval {
		return 0
	}
	count := l.count
	l.count = 0
	l.loggedAt = now
	return count
}
