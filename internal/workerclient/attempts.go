package workerclient

import (
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// StartAttempt sends a request to a worker, which must respond within budget. The outcome is Unreachable if the worker
// is not ready or no connection is available. The result may be reported before StartAttempt returns.
func (p *Pool) StartAttempt(id policy.WorkerID, a router.Attempt, r *router.Request, budget time.Duration) {
	cmd := newRequestCommand(p.now, a, r, p.cfg.Classes[r.Class], budget)
	w := p.workers[id]
	if w == nil || !w.ready() {
		p.fail(cmd, policy.Unreachable)
		return
	}
	p.attempts[a] = cmd
	p.send(w, cmd)
}

// CancelAttempt cancels an attempt; no result follows. Its connection does not carry the id of the request again: a
// response that is still on its way must not complete another attempt of the same request.
func (p *Pool) CancelAttempt(id policy.WorkerID, a router.Attempt) {
	cmd := p.attempts[a]
	if cmd == nil || p.WithdrawUnsent(id, a) {
		return
	}
	delete(p.attempts, a)
	c := cmd.sendState.connection
	c.commands.remove(cmd)
	if p.cfg.CancelSupported {
		c.outgoing.write(encodeStop(cmd.id))
	}
}

// WithdrawUnsent cancels an attempt that is queued behind a dial, of which nothing was sent, and reports whether it
// did. An attempt that was already written stays in flight, but is not sent again over another connection.
func (p *Pool) WithdrawUnsent(_ policy.WorkerID, a router.Attempt) bool {
	cmd := p.attempts[a]
	if cmd == nil {
		return false
	}
	if cmd.sendState.written {
		cmd.sendState.canceled = true
		return false
	}
	delete(p.attempts, a)
	cmd.sendState.connection.commands.dequeue(cmd)
	return true
}

// removeAttempt removes a completed command, if it is a request, from the attempts in flight.
func (p *Pool) removeAttempt(cmd *command) {
	request := cmd.request()
	if request != nil {
		delete(p.attempts, request.attempt)
	}
}
