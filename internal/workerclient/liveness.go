package workerclient

import "time"

const (
	// minSilenceBeforePing is for how long a connection on which responses are due is silent at the least before it is
	// sent a keepalive ping. It takes nothing new until it has responded.
	minSilenceBeforePing = 150 * time.Millisecond
	// pingTimeout is how long it then has, where the worker responds on another connection to what was sent later.
	pingTimeout = 250 * time.Millisecond
	// partialResponseTimeout is how long the rest of a response that began to arrive is waited for.
	partialResponseTimeout = 600 * time.Millisecond
)

// livenessMonitor keeps what the responses on one connection say of whether it still works. A connection that is cut
// off stays open and says nothing, while others to the same worker may be well: the worker as a whole is then no reason
// to go elsewhere. Only whole responses count as signs of life, since bytes prove nothing.
type livenessMonitor struct {
	lastResponse          time.Duration // when the latest response arrived; 0: none has
	lastRequestResponse   time.Duration // when the latest response to a request did
	latestRespondedSentAt time.Duration // when the command was sent, of those responded to, that was sent last
	pingedAt              time.Duration // when the keepalive ping was sent that awaits a sign of life; 0: none does
}

// livenessState is what a connection's silence calls for.
type livenessState uint8

const (
	connectionAlive livenessState = iota
	pingDue                       // silent for unusually long
	pingUnanswered                // silent since a keepalive ping
)

// String returns the state's name.
func (s livenessState) String() string {
	return [...]string{"alive", "ping due", "ping unanswered"}[s]
}

// check judges a silence on a connection on which responses are due. expectedSilence is a length that is not unusual.
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

// recordResponse records that a response arrived, which ends the wait for a sign of life.
func (m *livenessMonitor) recordResponse(now time.Duration) {
	m.lastResponse = now
	m.pingedAt = 0
}

// recordResponseTo records that a response arrived to a command that was sent at an instant.
func (m *livenessMonitor) recordResponseTo(sentAt time.Duration) {
	m.latestRespondedSentAt = max(m.latestRespondedSentAt, sentAt)
}

// awaitsPing reports whether a keepalive ping has had no response yet.
func (m *livenessMonitor) awaitsPing() bool { return m.pingedAt > 0 }

// checkLiveness closes a connection that does not go on with a response, or that stays silent after a keepalive ping
// while its worker responds on another connection. One that is silent for unusually long is sent a ping.
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
			c.worker.addresses.Failed(now, c.addr)
			c.closeWithError(ErrConnectionSilent)
		}
	}
}

// ping sends a keepalive ping. Where the settings allow no health checks the connection just takes nothing new until it
// responds.
func (c *connection) ping() {
	p := c.pool
	c.liveness.pingedAt = p.now
	c.worker.addresses.Suspect(p.now, c.addr)
	if !p.cfg.HealthChecksAllowed {
		return
	}
	p.Counters.Pings++
	p.pingSequence++
	c.send(&command{id: pingID(p.pingSequence), kind: pingCommand{}})
}

// recordResponse records that a response arrived; cmd is the command that it belongs to, or nil.
func (c *connection) recordResponse(cmd *command, status responseStatus) {
	now := c.pool.now
	if cmd != nil && cmd.request() != nil {
		if status == statusHit { // a miss arrives at once and says nothing of requests that run
			// Responses to pings don't end a silence: they were asked for because it was long.
			silence, _ := c.silenceDuration(c.liveness.lastRequestResponse)
			c.pool.silence.observe(silence)
		}
		c.liveness.lastRequestResponse = now
	}
	c.liveness.recordResponse(now)
	c.worker.addresses.Responded(c.addr)
}

// silenceDuration returns for how long the response to a request has been due and none has arrived since lastReadAt. It
// returns false for due where no request awaits one.
func (c *connection) silenceDuration(lastResponseAt time.Duration) (silence time.Duration, due bool) {
	oldest, due := c.commands.oldestRequest()
	return c.pool.now - max(oldest, lastResponseAt), due
}

// stalled reports whether a response has begun to arrive and does not go on: what is sent now would be lost with it.
func (c *connection) stalled() bool {
	return c.responses.incompleteFor(c.pool.now) > minSilenceBeforePing
}
