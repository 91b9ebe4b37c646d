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
	inProgress []*dial
	winner     *dial // the one that came up first; nil before
}

// dial is an attempt to connect over one address. It is the handler of its transport, and passes on to its connection
// what arrives once it has won the race.
type dial struct {
	dialer    *dialer
	addr      endpoint.Addr
	transport Transport
	finished  bool
}

// start dials the next addresses of the race as far as their time has come.
func (d *dialer) start() {
	for {
		addr, ok := d.race.Next(d.connection.pool.now, d.mayOverlap())
		if !ok {
			return
		}
		d.dial(addr)
	}
}

// mayOverlap reports whether the limits allow one more dial.
func (d *dialer) mayOverlap() bool {
	p := d.connection.pool
	if p.dialLimitReached() {
		return false
	}
	return len(d.inProgress) == 0 || p.ensureCapacity()
}

func (d *dialer) dial(addr endpoint.Addr) {
	attempt := &dial{dialer: d, addr: addr}
	d.inProgress = append(d.inProgress, attempt)
	p := d.connection.pool
	p.Counters.Dials++
	attempt.transport = p.dial(addr, attempt)
}

// cancel ends all dials that are in progress.
func (d *dialer) cancel() {
	for _, attempt := range slices.Clone(d.inProgress) {
		attempt.finish()
		attempt.transport.Close()
	}
}

// restart begins anew, with the addresses that the worker has now.
func (d *dialer) restart() {
	c := d.connection
	d.cancel()
	d.race = endpoint.NewDialRace(c.worker.addresses.Candidates(), c.pool.cfg.DialTimeout, 0)
	d.start()
}

// failed goes on to the next address. A refused or late dial proves that nothing ran; only when the last one has failed
// is the worker unreachable. After a fault of this machine that outlasted the dial nothing is known of the worker.
func (d *dialer) failed(attempt *dial, err error) {
	c := d.connection
	c.pool.Counters.DialsFailed++
	c.pool.logger.Warn("worker_dial_failed", slog.String("addr", attempt.addr.String()), slog.Any("err", err))
	outcome := policy.NotSent
	if !eventloop.IsLocalFault(err) {
		outcome = policy.Unreachable
		c.worker.addresses.Failed(c.pool.now, attempt.addr)
	}
	if d.race.DialFailed() {
		c.terminate(outcome)
		return
	}
	d.start()
}

// succeeded makes the first dial that comes up the connection, and closes any other.
func (d *dialer) succeeded(attempt *dial) {
	c := d.connection
	c.worker.addresses.Succeeded(c.pool.now, attempt.addr)
	if !d.race.DialSucceeded() {
		attempt.transport.Close()
		return
	}
	d.winner = attempt
	c.dialSucceeded(attempt)
}

// finish takes a dial out of those in progress.
func (a *dial) finish() {
	a.finished = true
	a.dialer.connection.pool.dialsInProgress--
	a.dialer.inProgress = slices.DeleteFunc(a.dialer.inProgress, func(other *dial) bool { return other == a })
}

// DialCompleted handles the end of the dial.
func (a *dial) DialCompleted(err error) {
	switch {
	case a.finished: // it was canceled meanwhile
		if err == nil {
			a.transport.Close()
		}
	case err != nil:
		a.finish()
		a.dialer.failed(a, err)
	default:
		a.finish()
		a.dialer.succeeded(a)
	}
}

// Data passes on what arrives.
func (a *dial) Data(data []byte) {
	if a.dialer.winner == a {
		a.dialer.connection.Data(data)
	}
}

// Closed passes on the end of the connection.
func (a *dial) Closed(err error) {
	if a.dialer.winner == a {
		a.dialer.connection.Closed(err)
	}
}
