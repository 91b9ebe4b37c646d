package workerclient

import (
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// StartAttempt sends a request to a worker, which is to respond within budget. Its result is unreachable where the
// worker is not ready or no connection can be had. The result may be handed over before StartAttempt returns.
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

// CancelAttempt cancels an attempt; no result follows. The connection does not carry its id again: a response that is
// under way must not end another attempt of the same request.
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

// WithdrawUnsent cancels an attempt that is queued behind a dial and reports whether it did: then nothing of it was
// sent, and nothing will be. One that was written is at least not sent again.
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

// removeAttempt drops a command that has ended, if it is a request, from the attempts in flight.
func (p *Pool) removeAttempt(cmd *command) {
	request := cmd.request()
	if request != nil {
		delete(p.attempts, request.attempt)
	}
}
