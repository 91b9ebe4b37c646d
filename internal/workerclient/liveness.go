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

// checkLiveness looks after a connection on which responses are due. One that is cut off stays open and says nothing,
// while others to the same worker may be well: the worker as a whole is then no reason to go elsewhere. Only whole
// responses count as signs of life, since bytes prove nothing.
func (c *connection) checkLiveness() {
	now := c.pool.now
	if c.partial.Len() > 0 && now-c.partialSince > partialResponseTimeout {
		c.closeWithError(ErrResponseStalled)
		return
	}
	silence, due := c.silentFor(c.lastResponse)
	switch {
	case !due || silence <= max(minSilenceBeforePing, c.pool.silence.typicalMaximum()):
	case c.pingedAt == 0:
		c.ping()
	case now-c.pingedAt > pingTimeout && c.worker.respondedSince(c.pingedAt):
		c.worker.addresses.Failed(now, c.addr)
		c.closeWithError(ErrConnectionSilent)
	}
}

// ping sends a keepalive ping. Where the settings allow no probes the connection just takes nothing new until it
// responds.
func (c *connection) ping() {
	p := c.pool
	c.pingedAt = p.now
	c.worker.addresses.Suspect(p.now, c.addr)
	if !p.cfg.HealthChecksAllowed {
		return
	}
	p.Counters.Pings++
	p.pingSequence++
	cmd := &command{kind: pingCommand, id: pingID(p.pingSequence)}
	cmd.header = encodeNoop(cmd.id)
	c.send(cmd)
}

// recordResponse takes in that a response arrived; cmd is the command that it belongs to, or nil.
func (c *connection) recordResponse(cmd *command, status responseStatus) {
	now := c.pool.now
	if cmd != nil && cmd.kind == runCommand {
		if status == statusHit { // a miss arrives at once and says nothing of requests that run
			// Responses to pings don't end a silence: they were asked for because it was long.
			silence, _ := c.silentFor(c.lastRunResponse)
			c.pool.silence.observe(silence)
		}
		c.lastRunResponse = now
	}
	c.lastResponse = now
	c.pingedAt = 0
	c.worker.addresses.Responded(c.addr)
}

// silentFor returns for how long the response to a request has been due and none has arrived since lastReadAt. It
// returns false for due where no request awaits one.
func (c *connection) silentFor(lastReadAt time.Duration) (silence time.Duration, due bool) {
	var oldest time.Duration
	for _, cmd := range c.inFlight {
		if cmd.kind == runCommand && cmd.written && (!due || cmd.sentAt < oldest) {
			oldest = cmd.sentAt
			due = true
		}
	}
	return c.pool.now - max(oldest, lastReadAt), due
}

// stalled reports whether a response has begun to arrive and does not go on: what is sent now would be lost with it.
func (c *connection) stalled() bool {
	return c.partial.Len() > 0 && c.pool.now-c.partialSince > minSilenceBeforePing
}
