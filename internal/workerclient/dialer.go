package workerclient

import (
	"log/slog"
	"slices"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

// dial is an attempt to connect over one address. It is the handler of its transport, and passes on to its connection
// what arrives once it has won the connection's race.
type dial struct {
	conn      *connection
	addr      endpoint.Addr
	transport Transport
	finished  bool
}

// startDials dials the next addresses of the connection's race as far as their time has come.
func (c *connection) startDials() {
	for {
		addr, ok := c.race.Next(c.pool.now, c.mayDial())
		if !ok {
			return
		}
		c.startDial(addr)
	}
}

// mayDial reports whether the limits allow one more dial.
func (c *connection) mayDial() bool {
	if c.pool.dialsInProgress >= endpoint.MaxDials {
		return false
	}
	return len(c.dials) == 0 || c.pool.ensureCapacity()
}

func (c *connection) startDial(addr endpoint.Addr) {
	d := &dial{conn: c, addr: addr}
	c.dials = append(c.dials, d)
	c.pool.Counters.Dials++
	d.transport = c.pool.dial(addr, d)
}

// dial begins to connect to an address and counts the dial as in progress.
func (p *Pool) dial(addr endpoint.Addr, handler eventloop.DialHandler) Transport {
	p.dialsInProgress++
	return p.cfg.Dial(addr.Network.String(), addr.Addr, p.cfg.DialTimeout, handler)
}

// finish takes a dial out of those in progress.
func (d *dial) finish() {
	d.finished = true
	d.conn.pool.dialsInProgress--
	d.conn.dials = slices.DeleteFunc(d.conn.dials, func(other *dial) bool { return other == d })
}

// cancelDials ends all dials of the connection that are in progress.
func (c *connection) cancelDials() {
	for _, d := range slices.Clone(c.dials) {
		d.finish()
		d.transport.Close()
	}
}

// redial begins anew, with the addresses that the worker has now. What is queued stays queued.
func (c *connection) redial() {
	c.cancelDials()
	c.race = endpoint.NewDialRace(c.worker.addresses.Candidates(), c.pool.cfg.DialTimeout, 0)
	c.startDials()
}

// DialCompleted handles the end of the dial.
func (d *dial) DialCompleted(err error) {
	switch {
	case d.finished: // it was cancelled meanwhile
		if err == nil {
			d.transport.Close()
		}
	case err != nil:
		d.finish()
		d.conn.dialFailed(d, err)
	default:
		d.finish()
		d.conn.dialSucceeded(d)
	}
}

// dialFailed goes on to the next address. A refused or late dial proves that nothing ran; only when the last one has
// failed is the worker unreachable. After a fault of this machine that outlasted the dial nothing is known of the
// worker.
func (c *connection) dialFailed(d *dial, err error) {
	p := c.pool
	p.Counters.DialsFailed++
	slog.Warn("worker_dial_failed", slog.String("addr", d.addr.String()), slog.Any("err", err))
	outcome := policy.NotSent
	if !eventloop.IsLocalFault(err) {
		outcome = policy.Unreachable
		c.worker.addresses.Failed(p.now, d.addr)
	}
	if c.race.DialFailed() {
		c.terminate(outcome)
		return
	}
	c.startDials()
}

// dialSucceeded makes the first dial that comes up the connection, and closes any other.
func (c *connection) dialSucceeded(d *dial) {
	c.worker.addresses.Succeeded(c.pool.now, d.addr)
	if !c.race.DialSucceeded() {
		d.transport.Close()
		return
	}
	c.winner = d
	c.transport = d.transport
	c.addr = d.addr
	c.state = ready
	c.cancelDials()
	c.writeQueued()
}

// Data passes on what arrives.
func (d *dial) Data(data []byte) {
	if d.conn.winner == d {
		d.conn.Data(data)
	}
}

// Closed passes on the end of the connection.
func (d *dial) Closed(err error) {
	if d.conn.winner == d {
		d.conn.Closed(err)
	}
}
