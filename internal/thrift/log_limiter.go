package thrift

import "time"

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// logLimiter counts what is logged at most once in logInterval: whoever can connect could fill the log otherwise.
type logLimiter struct {
	count    int
	loggedAt time.Duration // 0: never
}

// add counts one more. It returns how many there were since the last log line, or 0 where it is too early for another.
func (c *logLimiter) add(now time.Duration) int {
	c.count++
	if c.loggedAt > 0 && now-c.loggedAt <= logInterval {
		return 0
	}
	count := c.count
	c.count = 0
	c.loggedAt = now
	return count
}
