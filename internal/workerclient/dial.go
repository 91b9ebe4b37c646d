package workerclient

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

// dial is an attempt to connect over one address. It hands on what comes only where it won its connection's race.
type dial struct {
	conn      *conn
	addr      endpoint.Addr
	transport Transport
	finished  bool
}

// startDials tries the next address of c's race, where there is one and its time has come.
func (c *conn) startDials() {
	p := c.pool
	for {
		a, ok := c.race.Next(p.now, p.dialsInProgress < endpoint.MaxDials && (len(c.dials) == 0 || p.ensureCapacity()))
		if !ok {
			return
		}
		d := &dial{conn: c, addr: a}
		c.dials = append(c.dials, d)
		p.dialsInProgress++
		p.Counters.Dials++
		d.transport = p.cfg.Dial(a.Network.String(), a.Addr, p.cfg.DialTimeout, d)
	}
}

// finish takes a dial out of those under way.
func (d *dial) finish() {
	d.finished = true
	d.conn.pool.dialsInProgress--
	d.conn.dials = slices.DeleteFunc(d.conn.dials, func(o *dial) bool { return o == d })
}

// cancelDials ends all dials of c that are under way.
func (c *conn) cancelDials() {
	for _, d := range slices.Clone(c.dials) {
		d.finish()
		d.transport.Close()
	}
}

// redial has c, which is not up, begin anew with the addresses that its worker has now. What waits for it waits on.
func (c *conn) redial() {
	c.cancelDials()
	c.race = endpoint.NewDialRace(c.worker.addresses.Candidates(), c.pool.cfg.DialTimeout, 0)
	c.startDials()
}

// DialCompleted is the end of the dial. A refused or late one proves that nothing ran; only when the last one has failed
// is the worker out of reach.
func (d *dial) DialCompleted(err error) {
	if d.finished {
		if err == nil {
			d.transport.Close()
		}
		return
	}
	d.finish()
	c := d.conn
	p, w := c.pool, c.worker
	if err != nil {
		p.Counters.DialsFailed++
		slog.Warn("worker_dial_failed", "addr", d.addr, "err", err)
		if !eventloop.IsDescriptorExhausted(err) {
			w.addresses.Failed(p.now, d.addr)
		}
		if c.race.Ended() {
			c.terminate(policy.Unreachable)
		} else {
			c.startDials()
		}
		return
	}
	w.addresses.Succeeded(p.now, d.addr)
	if !c.race.Won() {
		d.transport.Close()
		return
	}
	c.winner, c.transport, c.addr, c.up = d, d.transport, d.addr, true
	c.cancelDials()
	c.writeQueued()
}

// Data hands on what comes.
func (d *dial) Data(b []byte) {
	if d.conn.winner == d {
		d.conn.Data(b)
	}
}

// Closed is the end of the connection.
func (d *dial) Closed(err error) {
	if d.conn.winner == d {
		d.conn.Closed(err)
	}
}

// recoveryDial is a connection that carries nothing but a NOOP, by which an address that failed shows that it works.
type recoveryDial struct {
	pool      *Pool
	worker    *worker
	addr      endpoint.Addr
	transport Transport
	startedAt time.Duration
	finished  bool
}

// maintainRecoveryDial begins a trial of one of w's addresses where one is due, and ends one that takes too long.
func (p *Pool) maintainRecoveryDial(w *worker) {
	if t := w.recoveryDial; t != nil {
		if p.now-t.startedAt > 2*p.cfg.DialTimeout {
			t.finish(errSilent)
		}
		return
	}
	if !w.ready || p.dialsInProgress >= endpoint.MaxDials || !p.ensureCapacity() {
		return
	}
	a, ok := w.addresses.NextRecoveryDial(p.now)
	if !ok {
		return
	}
	t := &recoveryDial{pool: p, worker: w, addr: a, startedAt: p.now}
	w.recoveryDial = t
	p.dialsInProgress++
	p.Counters.RecoveryDials++
	t.transport = p.cfg.Dial(a.Network.String(), a.Addr, p.cfg.DialTimeout, t)
}

// cancelRecoveryDial calls a trial off; it told nothing.
func (w *worker) cancelRecoveryDial() {
	if t := w.recoveryDial; t != nil {
		w.addresses.RecoveryInconclusive(t.pool.now, t.addr)
		t.close()
	}
}

func (t *recoveryDial) close() {
	t.finished, t.worker.recoveryDial = true, nil
	t.pool.dialsInProgress--
	t.transport.Close()
}

// finish takes in how the trial ended.
func (t *recoveryDial) finish(err error) {
	if t.finished {
		return
	}
	switch {
	case err == nil:
		t.worker.addresses.Succeeded(t.pool.now, t.addr)
	case eventloop.IsDescriptorExhausted(err):
		t.worker.addresses.RecoveryInconclusive(t.pool.now, t.addr)
	default:
		t.pool.Counters.RecoveryDialsFailed++
		t.worker.addresses.Failed(t.pool.now, t.addr)
	}
	t.close()
}

// DialCompleted asks for a sign of life: an address that accepts and says nothing has not come back.
func (t *recoveryDial) DialCompleted(err error) {
	switch {
	case t.finished:
		if err == nil {
			t.transport.Close()
		}
	case err != nil:
		t.finish(err)
	default:
		t.transport.Write(encodeArray("NOOP", "t"))
	}
}

// Data is the answer.
func (t *recoveryDial) Data(b []byte) {
	var room [maxElements][]byte
	if words, n, err := decodeArray(b, room[:0]); err == nil && n > 0 && len(words) > 1 && string(words[0]) == "t" {
		t.finish(nil)
	}
}

// Closed is the end of the connection.
func (t *recoveryDial) Closed(err error) { t.finish(errors.Join(errSilent, err)) }
