package workerclient

import (
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

const (
	// maxResends bounds the connections that may end under a command before it has left whole.
	maxResends = 3
	// maxHealthCheckResends is how often a health check is sent again after its connection ended.
	maxHealthCheckResends = 2
)

// StartAttempt sends a request to a worker. Its result is unreachable where the worker is not ready or no connection
// can be had.
func (p *Pool) StartAttempt(id policy.WorkerID, a router.Attempt, r *router.Request, budget time.Duration) {
	cmd := &command{kind: runCommand, attempt: a, id: r.ID, body: r.Body, expires: p.now + budget}
	cmd.sendBy = cmd.expires
	if r.SendBy > 0 {
		cmd.sendBy = min(cmd.sendBy, r.SendBy)
	}
	cmd.run = &runParameters{
		id:             r.ID,
		class:          p.cfg.Classes[r.Class],
		functionKey:    r.Function.Key,
		idempotencyKey: r.IdempotencyKey,
		bodySize:       len(r.Body),
	}
	w := p.workers[id]
	if w == nil || !w.ready() {
		p.fail(cmd, policy.Unreachable)
		return
	}
	p.attempts[a] = cmd
	p.send(w, cmd)
}

// CancelAttempt cancels an attempt. The connection does not carry its id again: a response that is under way must not
// end another attempt of the same request.
func (p *Pool) CancelAttempt(id policy.WorkerID, a router.Attempt) {
	cmd := p.attempts[a]
	if cmd == nil || p.WithdrawUnsent(id, a) {
		return
	}
	delete(p.attempts, a)
	cmd.conn.remove(cmd)
	if p.cfg.CancelSupported {
		cmd.conn.write(encodeStop(cmd.id))
	}
}

// WithdrawUnsent cancels an attempt that is queued behind a dial and reports whether it did: then nothing of it was
// sent, and nothing will be. One that was written is at least not sent again.
func (p *Pool) WithdrawUnsent(_ policy.WorkerID, a router.Attempt) bool {
	cmd := p.attempts[a]
	if cmd == nil {
		return false
	}
	if cmd.written {
		cmd.abandoned = true
		return false
	}
	delete(p.attempts, a)
	cmd.conn.dequeue(cmd)
	return true
}

// Load orders a worker to load replicas of a function. A count of 0 only asks how many it has, for which the worker
// need not be ready.
func (p *Pool) Load(id policy.WorkerID, f policy.FunctionID, count int, tag uint64) {
	cmd := &command{kind: loadCommand, tag: tag, count: count, id: loadID(tag)}
	cmd.header = encodeHold(cmd.id, f, count)
	w := p.workers[id]
	if count > 0 && w != nil && !w.ready() {
		p.fail(cmd, policy.Unreachable)
		return
	}
	p.send(w, cmd)
}

// CheckHealth asks whether a worker responds, and for its load report.
func (p *Pool) CheckHealth(id policy.WorkerID, tag uint64) {
	cmd := &command{kind: healthCheckCommand, tag: tag, id: healthCheckID(tag)}
	cmd.header = encodeInfo(cmd.id)
	p.send(p.workers[id], cmd)
}

// AbandonCommand drops interest in a load or a health check: no result follows.
func (p *Pool) AbandonCommand(id policy.WorkerID, tag uint64) {
	w := p.workers[id]
	if w == nil {
		return
	}
	ids := [...]string{loadID(tag), healthCheckID(tag)}
	for _, c := range w.connections {
		for _, id := range ids {
			cmd := c.inFlight[id]
			if cmd != nil {
				c.dequeue(cmd)
				c.remove(cmd)
			}
		}
	}
}

// Unload has a worker unload the idle replicas of a function. Where there is no connection it does nothing: idle
// replicas are unloaded in time anyway and not worth a dial.
func (p *Pool) Unload(id policy.WorkerID, f policy.FunctionID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.connected() {
			c.write(encodeFree(f))
			return
		}
	}
}

// send sends a command over a connection of w, which may be nil for an unknown worker.
func (p *Pool) send(w *worker, cmd *command) {
	if w == nil {
		p.fail(cmd, policy.Unreachable)
		return
	}
	c := p.pickConnection(w, cmd)
	if c == nil {
		p.fail(cmd, policy.Unreachable)
		return
	}
	c.send(cmd)
}

// fail hands over a result that no response gave.
func (p *Pool) fail(cmd *command, outcome policy.Outcome) {
	switch cmd.kind {
	case runCommand:
		delete(p.attempts, cmd.attempt)
		p.results.AttemptCompleted(cmd.attempt, router.AttemptResult{Outcome: outcome})
	case loadCommand:
		p.results.LoadCompleted(cmd.tag, outcome, 0)
	case healthCheckCommand:
		p.results.HealthCheckCompleted(cmd.tag, outcome, nil)
	case pingCommand: // nobody waits for it
	}
}

// connectionEnded decides on a command whose connection ended with outcome. arrivable is how many bytes may have
// reached the worker: a worker acts on a command that arrived whole, so one whose last byte is not among them never
// ran.
func (p *Pool) connectionEnded(w *worker, cmd *command, outcome policy.Outcome, arrivable int) {
	neverArrived := !cmd.kind.isHealthQuery() && cmd.written && cmd.endOffset > arrivable
	switch {
	case neverArrived && !cmd.abandoned && cmd.resends < maxResends && w.ready():
		cmd.resends++
		p.Counters.RequestsResent++
		p.resend(w, cmd)
	case neverArrived && outcome == policy.ConnectionReset:
		p.fail(cmd, policy.Unreachable)
	case cmd.kind == healthCheckCommand && outcome == policy.ConnectionReset && cmd.lostConnections < maxHealthCheckResends:
		// A connection that breaks says little of its worker, which others may well be using. Over a new one a
		// worker that died refuses, and one that is well responds.
		cmd.lostConnections++
		p.resend(w, cmd)
	default:
		p.fail(cmd, outcome)
	}
}

// resend sends a command, whose connection ended, over another one.
func (p *Pool) resend(w *worker, cmd *command) {
	cmd.written = false
	cmd.waited = true
	p.send(w, cmd)
}
