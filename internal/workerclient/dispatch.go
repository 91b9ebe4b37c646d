package workerclient

import "crankhold/policy"

// maxResends bounds the connections that may end under a command before it has left whole.
const maxResends = 3

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
	p.removeAttempt(cmd)
	cmd.kind.fail(p.results, outcome)
}

// handleInterrupted decides on a command whose connection ended with outcome. arrivable is how many bytes may have
// reached the worker.
func (p *Pool) handleInterrupted(w *worker, cmd *command, outcome policy.Outcome, bytesSent int) {
	neverArrived := cmd.neverArrived(bytesSent)
	wasReset := outcome == policy.ConnectionReset
	switch {
	case neverArrived && cmd.mayBeResent() && w.ready():
		cmd.sendState.resends++
		p.Counters.RequestsResent++
		p.resend(w, cmd)
	case neverArrived && wasReset:
		p.fail(cmd, policy.Unreachable)
	case wasReset && cmd.kind.retryAfterReset():
		p.resend(w, cmd)
	default:
		p.fail(cmd, outcome)
	}
}

// resend sends a command, whose connection ended, over another one.
func (p *Pool) resend(w *worker, cmd *command) {
	cmd.sendState.written = false
	cmd.sendState.waited = true
	p.send(w, cmd)
}
