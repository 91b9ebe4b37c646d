package workerclient

import (
	"log/slog"
	"slices"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

// dialer dials the addresses of a worker for one connection until the first dial comes up or the last one has failed.
// Which address is next, and when, is decided by its race. Recovery dials are made apart from it.
type dialer struct {
	connection *connection
	race       *endpoint.DialRace
	inProgress []*addressDial
	winner     *addressDial // the one that came up first; nil before
}

// addressDial is an attempt to connect over one address. It is the handler of its transport, and passes on to its connection
// what arrives once it has won the race.
type addressDial struct {
	dialer    *dialer
	addr      endpoint.Addr
	transport Transport
	completed bool
}

// start dials the next addresses of the race as far as their time has come.
func (d *dialer) start() {
	for {
		addr, ok := d.race.Next(d.connection.pool.now, d.mayDialConcurrently())
		if !ok {
			return
		}
		d.dial(addr)
	}
}

// mayDialConcurrently reports whether the limits allow one more dial.
func (d *dialer) mayDialConcurrently() bool {
	p := d.connection.pool
	if p.dialLimitReached() {
		return false
	}
	return len(d.inProgress) == 0 || p.ensureCapacity()
}

func (d *dialer) dial(addr endpoint.Addr) {
	dial := &addressDial{dialer: d, addr: addr}
	d.inProgress = append(d.inProgress, dial)
	p := d.connection.pool
	p.Counters.Dials++
	dial.transport = p.dial(addr, dial)
}

// cancel ends all dials that are in progress.
func (d *dialer) cancel() {
	for _, dial := range slices.Clone(d.inProgress) {
		dial.complete()
		dial.transport.Close()
	}
}

// restart begins anew, with the addresses that the worker has now.
func (d *dialer) restart() {
	c := d.connection
	d.cancel()
	d.race = endpoint.NewDialRace(c.worker.addresses.Candidates(), c.pool.cfg.DialTimeout, 0)
	d.start()
}

// dialFailed goes on to the next address. A refused or late dial proves that nothing ran; only when the last one has dialFailed
// is the worker unreachable. After a fault of this machine that outlasted the dial nothing is known of the worker.
func (d *dialer) dialFailed(dial *addressDial, err error) {
	c := d.connection
	c.pool.Counters.DialsFailed++
	c.pool.logger.Warn("worker_dial_failed", slog.String("addr", dial.addr.String()), slog.Any("err", err))
	outcome := policy.NotSent
	if !eventloop.IsLocalFault(err) {
		outcome = policy.Unreachable
		c.worker.addresses.Failed(c.pool.now, dial.addr)
	}
	if d.race.DialFailed() {
		c.terminate(outcome)
		return
	}
	d.start()
}

// dialSucceeded makes the first dial that comes up the connection, and closes any other.
func (d *dialer) dialSucceeded(dial *addressDial) {
	c := d.connection
	c.worker.addresses.Succeeded(c.pool.now, dial.addr)
	if !d.race.DialSucceeded() {
		dial.transport.Close()
		return
	}
	d.winner = dial
	c.establish(dial)
}

// complete takes a dial out of those in progress.
func (dial *addressDial) complete() {
	dial.completed = true
	dial.dialer.connection.pool.dialsInProgress--
	dial.dialer.inProgress = slices.DeleteFunc(dial.dialer.inProgress, func(other *addressDial) bool { return other == dial })
}

// DialCompleted handles the end of the dial.
func (dial *addressDial) DialCompleted(err error) {
	switch {
	case dial.completed: // it was canceled meanwhile
		if err == nil {
			dial.transport.Close()
		}
	case err != nil:
		dial.complete()
		dial.dialer.dialFailed(dial, err)
	default:
		dial.complete()
		dial.dialer.dialSucceeded(dial)
	}
}

// Data passes on what arrives.
func (dial *addressDial) Data(data []byte) {
	if dial.dialer.winner == dial {
		dial.dialer.connection.Data(data)
	}
}

// Closed passes on the end of the connection.
func (dial *addressDial) Closed(err error) {
	if dial.dialer.winner == dial {
		dial.dialer.connection.Closed(err)
	}
}
