package thrift

import "time"

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// logLimiter counts events of a kind that is logged at most once in logInterval, since whoever can connect could fill
// the log otherwise. The zero logLimiter is ready to use.
type logLimiter struct {
	count    int           // since the last log line
	loggedAt time.Duration // 0: never
}

// add counts one more event. It returns how many there were since the last log line, or 0 if it is too early for
// another.
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
