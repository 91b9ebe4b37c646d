package workerclient

import (
	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
)

// ensureCapacity reports whether one more connection may be opened. At the limit it closes the connection that has been
// idle for longest, so that workers that were added later get connections as well.
func (p *Pool) ensureCapacity() bool {
	if p.connectionsInUse() < p.cfg.MaxConnections {
		return true
	}
	idle := p.longestIdle()
	if idle == nil {
		return false
	}
	idle.close()
	return true
}

// connectionsInUse counts the connections to all workers. A connection that is being dialed counts once for each dial
// in progress, at least once. A recovery dial counts once.
func (p *Pool) connectionsInUse() (count int) {
	for _, w := range p.workersInOrder {
		if w.recoveryDial != nil {
			count++
		}
		for _, c := range w.connections {
			count += max(len(c.dialer.inProgress), 1)
		}
	}
	return count
}

// longestIdle returns the connection that has been idle for longest, or nil.
func (p *Pool) longestIdle() (longest *connection) {
	for _, w := range p.workersInOrder {
		for _, c := range w.connections {
			if c.state == ready && c.idle() && (longest == nil || c.lastUsed < longest.lastUsed) {
				longest = c
			}
		}
	}
	return longest
}

// dialLimitReached reports whether the maximum number of dials is in progress.
func (p *Pool) dialLimitReached() bool { return p.dialsInProgress >= endpoint.MaxDials }

// dial starts to connect to an address and counts the dial as in progress.
func (p *Pool) dial(addr endpoint.Addr, handler eventloop.DialHandler) Transport {
	p.dialsInProgress++
	return p.cfg.Dial(addr.Network.String(), addr.Addr, p.cfg.DialTimeout, handler)
}
