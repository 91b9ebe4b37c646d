package eventloop

import (
	"log/slog"
	"time"
)

// lostLogInterval is the minimum time between two log lines about clients that have left.
const lostLogInterval = time.Second

// lostLog logs clients that ended their connections while a response was due: by which event, and on which descriptor.
// A client that cancels its request by closing does this too. The loop's goroutine owns it.
type lostLog struct {
	logger   *slog.Logger
	count    int           // connections since the last line
	loggedAt time.Duration // when the last line was logged; 0: never
}

// add counts a connection that the poller has reported as ended, with the error that it gave, and logs it if a line is
// due.
func (l *lostLog) add(now time.Duration, c *Conn, err error) {
	l.count++
	if l.loggedAt != 0 && now-l.loggedAt <= lostLogInterval {
		return
	}
	l.logger.Info("client_connection_lost",
		slog.String("addr", c.RemoteAddr().String()),
		slog.Int("descriptor", c.socket.Hash()),
		slog.Any("err", err),
		slog.Int64("idle_us", (now-c.activity.activeAt).Microseconds()),
		slog.Int("count", l.count))
	l.count = 0
	l.loggedAt = now
}
