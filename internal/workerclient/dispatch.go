package workerclient

import "crankhold/policy"

// maxResends is how often a command may be sent again because its connection ended before it was sent whole.
const maxResends = 3

// send sends a command over a connection of w, which is nil for an unknown worker.
func (p *Pool) send(w *worker, cmd *command) {
	if w == nil {
		p.fail(cmd, policy.Unreachable)
		return
	}
	c := p.pickConnection(w, cmd)
	if c == nil {
		p.fail(cmd, w.outcomeWithoutConnection())
		return
	}
	c.send(cmd)
}

// outcomeWithoutConnection returns the outcome of a command for which there is no connection. If the limits on
// connections are the reason, this says nothing about the worker.
func (w *worker) outcomeWithoutConnection() policy.Outcome {
	if w.addresses.Len() == 0 {
		return policy.Unreachable
	}
	return policy.Saturated
}

// fail reports outcome as the result of a command that got no response.
func (p *Pool) fail(cmd *command, outcome policy.Outcome) {
	p.removeAttempt(cmd)
	cmd.kind.fail(p.results, outcome)
}

// handleInterrupted resends or fails a command whose connection ended with outcome. bytesSent is how many of the bytes
// that were written to the connection may have reached the worker.
func (p *Pool) handleInterrupted(w *worker, cmd *command, outcome policy.Outcome, bytesSent int) {
	neverArrived := cmd.neverArrived(bytesSent)
	wasReset := outcome == policy.ConnectionReset || outcome == policy.ProcessReplaced
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

// resend sends a command over another connection, after the connection that it was given to has ended.
func (p *Pool) resend(w *worker, cmd *command) {
	cmd.sendState.written = false
	cmd.sendState.waited = true
	p.send(w, cmd)
}
