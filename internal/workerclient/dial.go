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
	conn *conn
	addr endpoint.Addr
	line Transport
	over bool
}

// dial tries the next address of c's race, where there is one and its time has come.
func (c *conn) dial() {
	p := c.pool
	for {
		a, ok := c.race.Next(p.now, p.dials < endpoint.MaxDials && (len(c.dials) == 0 || p.room()))
		if !ok {
			return
		}
		d := &dial{conn: c, addr: a}
		c.dials = append(c.dials, d)
		p.dials++
		p.Counters.Dials++
		d.line = p.cfg.Dial(a.Network.String(), a.Addr, p.cfg.DialTimeout, d)
	}
}

// end takes a dial out of those under way.
func (d *dial) end() {
	d.over = true
	d.conn.pool.dials--
	d.conn.dials = slices.DeleteFunc(d.conn.dials, func(o *dial) bool { return o == d })
}

// callOff ends all dials of c that are under way.
func (c *conn) callOff() {
	for _, d := range slices.Clone(c.dials) {
		d.end()
		d.line.Close()
	}
}

// restart has c, which is not up, begin anew with the addresses that its worker has now. What waits for it waits on.
func (c *conn) restart() {
	c.callOff()
	c.race = endpoint.NewDialRace(c.w.paths.Candidates(), c.pool.cfg.DialTimeout, 0)
	c.dial()
}

// DialCompleted is the end of the dial. A refused or late one proves that nothing ran; only when the last one has failed
// is the worker out of reach.
func (d *dial) DialCompleted(err error) {
	if d.over {
		if err == nil {
			d.line.Close()
		}
		return
	}
	d.end()
	c := d.conn
	p, w := c.pool, c.w
	if err != nil {
		p.Counters.DialsFailed++
		slog.Warn("worker_dial_failed", "addr", d.addr, "err", err)
		if !eventloop.IsDescriptorExhausted(err) {
			w.paths.Failed(p.now, d.addr)
		}
		if c.race.Ended() {
			c.lost(policy.Unreachable)
		} else {
			c.dial()
		}
		return
	}
	w.paths.Succeeded(p.now, d.addr)
	if !c.race.Won() {
		d.line.Close()
		return
	}
	c.won, c.line, c.addr, c.up = d, d.line, d.addr, true
	c.callOff()
	c.begin()
}

// Data hands on what comes.
func (d *dial) Data(b []byte) {
	if d.conn.won == d {
		d.conn.Data(b)
	}
}

// Closed is the end of the connection.
func (d *dial) Closed(err error) {
	if d.conn.won == d {
		d.conn.Closed(err)
	}
}

// trial is a connection that carries nothing but a NOOP, by which an address that failed shows that it works.
type trial struct {
	pool  *Pool
	w     *worker
	addr  endpoint.Addr
	line  Transport
	begun time.Duration
	over  bool
}

// try begins a trial of one of w's addresses where one is due, and ends one that takes too long.
func (p *Pool) try(w *worker) {
	if t := w.trial; t != nil {
		if p.now-t.begun > 2*p.cfg.DialTimeout {
			t.finish(errSilent)
		}
		return
	}
	if !w.ready || p.dials >= endpoint.MaxDials || !p.room() {
		return
	}
	a, ok := w.paths.NextRecoveryDial(p.now)
	if !ok {
		return
	}
	t := &trial{pool: p, w: w, addr: a, begun: p.now}
	w.trial = t
	p.dials++
	p.Counters.RecoveryDials++
	t.line = p.cfg.Dial(a.Network.String(), a.Addr, p.cfg.DialTimeout, t)
}

// endTrial calls a trial off; it told nothing.
func (w *worker) endTrial() {
	if t := w.trial; t != nil {
		w.paths.RecoveryInconclusive(t.pool.now, t.addr)
		t.close()
	}
}

func (t *trial) close() {
	t.over, t.w.trial = true, nil
	t.pool.dials--
	t.line.Close()
}

// finish takes in how the trial ended.
func (t *trial) finish(err error) {
	if t.over {
		return
	}
	switch {
	case err == nil:
		t.w.paths.Succeeded(t.pool.now, t.addr)
	case eventloop.IsDescriptorExhausted(err):
		t.w.paths.RecoveryInconclusive(t.pool.now, t.addr)
	default:
		t.pool.Counters.RecoveryDialsFailed++
		t.w.paths.Failed(t.pool.now, t.addr)
	}
	t.close()
}

// DialCompleted asks for a sign of life: an address that accepts and says nothing has not come back.
func (t *trial) DialCompleted(err error) {
	switch {
	case t.over:
		if err == nil {
			t.line.Close()
		}
	case err != nil:
		t.finish(err)
	default:
		t.line.Write(array("NOOP", "t"))
	}
}

// Data is the answer.
func (t *trial) Data(b []byte) {
	var room [maxWords][]byte
	if words, n, err := next(b, room[:0]); err == nil && n > 0 && len(words) > 1 && string(words[0]) == "t" {
		t.finish(nil)
	}
}

// Closed is the end of the connection.
func (t *trial) Closed(err error) { t.finish(errors.Join(errSilent, err)) }
