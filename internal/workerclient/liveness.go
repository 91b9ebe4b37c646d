package workerclient

import "time"

const (
	// minSilenceBeforePing is the shortest silence, on a connection on which responses are due, after which a keepalive
	// ping is sent. Until the connection has responded, it is used for new commands only if no other is available.
	minSilenceBeforePing = 150 * time.Millisecond
	// pingTimeout is how long the connection may stay silent after the keepalive ping, if the worker responds on
	// another connection to commands that were sent after the ping.
	pingTimeout = 250 * time.Millisecond
	// partialResponseTimeout is how long to wait for the rest of a response that has started to arrive.
	partialResponseTimeout = 600 * time.Millisecond
)

// livenessMonitor uses the responses on one connection to track whether the connection still works. A connection that
// is cut off stays open but silent. Other connections to the same worker may still work, and then there is no reason to
// use another worker. Only complete responses show that a connection works, because a part of one proves nothing.
type livenessMonitor struct {
	lastResponse          time.Duration // when the latest response arrived; 0: no response has arrived
	lastRequestResponse   time.Duration // when the latest response to a request arrived
	latestRespondedSentAt time.Duration // latest send time among the commands that have received a response
	pingedAt              time.Duration // when the keepalive ping that awaits a response was sent; 0: none does
}

// livenessState is the result of checking how long a connection has been silent.
type livenessState uint8

const (
	connectionAlive     livenessState = iota
	pingDue                           // silent for longer than expected
	pingWithoutResponse               // silent since a keepalive ping
)

// String returns the state's name.
func (s livenessState) String() string {
	return [...]string{"alive", "ping due", "ping without response"}[s]
}

// check evaluates a silence on a connection on which responses are due. A silence of expectedSilence is not unusual.
func (m *livenessMonitor) check(now, silence, expectedSilence time.Duration) livenessState {
	switch {
	case silence <= max(minSilenceBeforePing, expectedSilence):
		return connectionAlive
	case m.pingedAt == 0:
		return pingDue
	case now-m.pingedAt > pingTimeout:
		return pingWithoutResponse
	}
	return connectionAlive
}

// recordResponse records that a response arrived. Any response counts as the response to a keepalive ping.
func (m *livenessMonitor) recordResponse(now time.Duration) {
	m.lastResponse = now
	m.pingedAt = 0
}

// recordResponseTo records that a command that was sent at sentAt has received its response.
func (m *livenessMonitor) recordResponseTo(sentAt time.Duration) {
	m.latestRespondedSentAt = max(m.latestRespondedSentAt, sentAt)
}

// awaitsPingResponse reports whether a keepalive ping was sent and no response has arrived since.
func (m *livenessMonitor) awaitsPingResponse() bool { return m.pingedAt > 0 }

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
	case pingWithoutResponse:
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

// silenceDuration returns how long a response to a request has been due without any response: the time since
// lastResponseAt or since the oldest request in flight was sent, whichever is later. due is false if no request awaits
// a response.
func (c *connection) silenceDuration(lastResponseAt time.Duration) (silence time.Duration, due bool) {
	oldest, due := c.commands.oldestRequest()
	return c.pool.now - max(oldest, lastResponseAt), due
}

// stalled reports whether a response has started to arrive and has been incomplete for longer than
// minSilenceBeforePing. A command that is sent now would be lost with the connection.
func (c *connection) stalled() bool {
	return c.responses.incompleteFor(c.pool.now) > minSilenceBeforePing
}
