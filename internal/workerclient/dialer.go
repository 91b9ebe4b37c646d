package workerclient

import (
	"log/slog"
	"slices"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

// dialer dials the addresses of a worker for one connection until one dial succeeds or all have failed. Its race
// decides which address is next, and when. Recovery dials are made separately.
type dialer struct {
	connection *connection
	race       *endpoint.DialRace
	inProgress []*dial
	winner     *dial // the first dial that succeeded; nil before that
}

// dial is one attempt to connect to one address. It is the handler of its transport. Once it has won the race, it
// passes what arrives on to its connection.
type dial struct {
	dialer    *dialer
	addr      endpoint.Addr
	transport Transport
	finished  bool // or canceled
}

// start dials the addresses of the race that are due.
func (d *dialer) start() {
	for {
		addr, ok := d.race.Next(d.connection.pool.now, d.mayDialConcurrently())
		if !ok {
			return
		}
		d.dial(addr)
	}
}

// mayDialConcurrently reports whether the limits on dials and connections allow one more dial.
func (d *dialer) mayDialConcurrently() bool {
	p := d.connection.pool
	if p.dialLimitReached() {
		return false
	}
	return len(d.inProgress) == 0 || d.race.OverlapDue(p.now) && p.ensureCapacity()
}

func (d *dialer) dial(addr endpoint.Addr) {
	attempt := &dial{dialer: d, addr: addr}
	d.inProgress = append(d.inProgress, attempt)
	p := d.connection.pool
	p.Counters.Dials++
	attempt.transport = p.dial(addr, attempt)
}

// cancel cancels all dials that are in progress.
func (d *dialer) cancel() {
	for _, attempt := range slices.Clone(d.inProgress) {
		attempt.finish()
		attempt.transport.Close()
	}
}

// restart starts over with the addresses that the worker has now.
func (d *dialer) restart() {
	c := d.connection
	d.cancel()
	d.race = endpoint.NewDialRace(c.worker.addresses.Candidates(), c.pool.cfg.DialTimeout, 0)
	d.start()
}

// dialFailed goes on to the next address. A dial that was refused or timed out proves that nothing ran. The worker is
// unreachable only when the last dial has failed. If that dial failed because of an error of this machine, such as too
// few descriptors, nothing is known about the worker.
func (d *dialer) dialFailed(attempt *dial, err error) {
	c := d.connection
	c.pool.Counters.DialsFailed++
	c.pool.logger.Warn("worker_dial_failed", slog.String("addr", attempt.addr.String()), slog.Any("err", err))
	outcome := policy.NotSent
	if !eventloop.IsLocalError(err) {
		outcome = policy.Unreachable
		c.worker.addresses.RecordFailure(c.pool.now, attempt.addr)
	}
	if d.race.DialFailed() {
		c.terminate(outcome)
		return
	}
	d.start()
}

// dialSucceeded uses the first dial that succeeds for the connection, and closes any other.
func (d *dialer) dialSucceeded(attempt *dial) {
	c := d.connection
	c.worker.addresses.RecordSuccess(c.pool.now, attempt.addr)
	if !d.race.DialSucceeded() {
		attempt.transport.Close()
		return
	}
	d.winner = attempt
	c.establish(attempt)
}

// finish removes the dial from those in progress. It is called for canceled dials too.
func (d *dial) finish() {
	d.finished = true
	d.dialer.connection.pool.dialsInProgress--
	d.dialer.inProgress = slices.DeleteFunc(d.dialer.inProgress, func(other *dial) bool { return other == d })
}

// DialCompleted handles the result of the dial.
func (d *dial) DialCompleted(err error) {
	switch {
	case d.finished: // it was canceled in the meantime
		if err == nil {
			d.transport.Close()
		}
	case err != nil:
		d.finish()
		d.dialer.dialFailed(d, err)
	default:
		d.finish()
		d.dialer.dialSucceeded(d)
	}
}

// Data passes received data on to the connection.
func (d *dial) Data(data []byte) {
	if d.dialer.winner == d {
		d.dialer.connection.Data(data)
	}
}

// Closed reports the end of the connection to it.
func (d *dial) Closed(err error) {
	if d.dialer.winner == d {
		d.dialer.connection.Closed(err)
	}
}
