package workerclient

import "time"

const (
	// minSilenceBeforePing is the shortest silence, on a connection on which responses are due, after which a keepalive
	// ping is sent. Until the connection has responded, it is used for new commands only if no other can be had.
	minSilenceBeforePing = 150 * time.Millisecond
	// pingTimeout is how long the connection may then stay silent if the worker responds, on another connection, to
	// commands that were sent after the ping.
	pingTimeout = 250 * time.Millisecond
	// partialResponseTimeout is how long to wait for the rest of a response that has started to arrive.
	partialResponseTimeout = 600 * time.Millisecond
)

// livenessMonitor tracks, by the responses on one connection, whether the connection still works. A connection that is
// cut off stays open but silent, while other connections to the same worker may work: then there is no reason to use
// another worker. Only complete responses count as signs of life, because a part of one proves nothing.
type livenessMonitor struct {
	lastResponse          time.Duration // when the latest response arrived; 0: none has
	lastRequestResponse   time.Duration // when the latest response to a request arrived
	latestRespondedSentAt time.Duration // latest send time of the commands that have had a response
	pingedAt              time.Duration // when the keepalive ping was sent that still awaits a response; 0: none does
}

// livenessState is the result of checking how long a connection has been silent.
type livenessState uint8

const (
	connectionAlive livenessState = iota
	pingDue                       // silent for longer than expected
	pingUnanswered                // silent since a keepalive ping
)

// String returns the state's name.
func (s livenessState) String() string {
	return [...]string{"alive", "ping due", "ping unanswered"}[s]
}

// check evaluates a silence on a connection on which responses are due. A silence of expectedSilence is not unusual.
func (m *livenessMonitor) check(now, silence, expectedSilence time.Duration) livenessState {
	switch {
	case silence <= max(minSilenceBeforePing, expectedSilence):
		return connectionAlive
	case m.pingedAt == 0:
		return pingDue
	case now-m.pingedAt > pingTimeout:
		return pingUnanswered
	}
	return connectionAlive
}

// recordResponse records that a response arrived, after which no keepalive ping awaits one.
func (m *livenessMonitor) recordResponse(now time.Duration) {
	m.lastResponse = now
	m.pingedAt = 0
}

// recordResponseTo records that a command that was sent at sentAt has had its response.
func (m *livenessMonitor) recordResponseTo(sentAt time.Duration) {
	m.latestRespondedSentAt = max(m.latestRespondedSentAt, sentAt)
}

// awaitsPing reports whether a keepalive ping has had no response yet.
func (m *livenessMonitor) awaitsPing() bool { return m.pingedAt > 0 }

// checkLiveness closes a connection on which a response has stalled, or which stays silent after a keepalive ping while
// its worker responds on another connection. It sends a ping if the connection has been silent for longer than
// expected.
func (c *connection) checkLiveness() {
	now := c.pool.now
	if c.responses.incompleteFor(now) > partialResponseTimeout {
		c.closeWithError(ErrResponseStalled)
		return
	}
	silence, due := c.silenceDuration(c.liveness.lastResponse)
	if !due {
		return
	}
	switch c.liveness.check(now, silence, c.pool.silence.expected()) {
	case connectionAlive:
	case pingDue:
		c.ping()
	case pingUnanswered:
		if c.worker.respondedToCommandSince(c.liveness.pingedAt) {
			c.worker.addresses.RecordFailure(now, c.addr)
			c.closeWithError(ErrConnectionSilent)
		}
	}
}

// ping sends a keepalive ping. If the settings allow no health checks, nothing is sent, and the connection is only
// avoided until it responds.
func (c *connection) ping() {
	p := c.pool
	c.liveness.pingedAt = p.now
	c.worker.addresses.RecordSilence(p.now, c.addr)
	if !p.cfg.HealthChecksAllowed {
		return
	}
	p.Counters.Pings++
	p.pingSequence++
	c.send(&command{id: pingID(p.pingSequence), kind: pingCommand{}})
}

// recordResponse records that a response arrived. cmd is the command that it belongs to, or nil.
func (c *connection) recordResponse(cmd *command, status responseStatus) {
	now := c.pool.now
	if cmd != nil && cmd.request() != nil {
		if status == statusHit { // a miss arrives at once and does not show how long requests take
			// Responses to pings don't end a silence: a ping is sent because the silence is long.
			silence, _ := c.silenceDuration(c.liveness.lastRequestResponse)
			c.pool.silence.observe(silence)
		}
		c.liveness.lastRequestResponse = now
	}
	c.liveness.recordResponse(now)
	c.worker.addresses.RecordResponse(c.addr)
}

// silenceDuration returns how long a response to a request has been due while none has arrived since lastResponseAt.
// due is false if no request awaits a response.
func (c *connection) silenceDuration(lastResponseAt time.Duration) (silence time.Duration, due bool) {
	oldest, due := c.commands.oldestRequest()
	return c.pool.now - max(oldest, lastResponseAt), due
}

// stalled reports whether a response has started to arrive and has been incomplete for longer than
// minSilenceBeforePing. A command that is sent now would be lost with the connection.
func (c *connection) stalled() bool {
	return c.responses.incompleteFor(c.pool.now) > minSilenceBeforePing
}
