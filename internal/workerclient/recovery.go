package workerclient

import (
	"errors"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
)

// recoveryDialTimeouts is how many dial timeouts a recovery dial may take: one for the dial, one for the response.
const recoveryDialTimeouts = 2

// recoveryDial is a connection that carries only a NOOP. A response shows that an address that had failed works again.
type recoveryDial struct {
	pool      *Pool
	worker    *worker
	addr      endpoint.Addr
	transport Transport
	responses responseReader
	startedAt time.Duration
	completed bool
}

// maintainRecoveryDial starts a recovery dial of one of the worker's addresses if one is due, and fails one that takes
// too long.
func (w *worker) maintainRecoveryDial() {
	p := w.pool
	r := w.recoveryDial
	switch {
	case r == nil:
		w.startRecoveryDial()
	case p.now-r.startedAt > recoveryDialTimeouts*p.cfg.DialTimeout:
		r.complete(ErrConnectionSilent)
	}
}

func (w *worker) startRecoveryDial() {
	p := w.pool
	if !w.ready() || !w.addresses.RecoveryDialDue(p.now) || p.dialLimitReached() || !p.ensureCapacity() {
		return
	}
	addr, ok := w.addresses.NextRecoveryDial(p.now)
	if !ok {
		return
	}
	r := &recoveryDial{pool: p, worker: w, addr: addr, startedAt: p.now}
	w.recoveryDial = r
	p.Counters.RecoveryDials++
	r.transport = p.dial(addr, r)
}

// cancelRecoveryDial cancels a recovery dial, if there is one. Whether its address works remains unknown.
func (w *worker) cancelRecoveryDial() {
	r := w.recoveryDial
	if r != nil {
		w.addresses.RecordInconclusiveRecovery(w.pool.now, r.addr)
		r.close()
	}
}

func (r *recoveryDial) close() {
	r.completed = true
	r.worker.recoveryDial = nil
	r.pool.dialsInProgress--
	r.transport.Close()
}

// complete records the result of the recovery dial; a nil error means that the address works.
func (r *recoveryDial) complete(err error) {
	if r.completed {
		return
	}
	now := r.pool.now
	addresses := r.worker.addresses
	switch {
	case err == nil:
		addresses.RecordSuccess(now, r.addr)
	case eventloop.IsLocalError(err):
		addresses.RecordInconclusiveRecovery(now, r.addr)
	default:
		r.pool.Counters.RecoveryDialsFailed++
		addresses.RecordFailure(now, r.addr)
	}
	r.close()
}

// DialCompleted sends a NOOP, because an address that accepts connections but does not respond does not work. If the
// settings allow no health checks, an address counts as working as soon as it accepts the connection.
func (r *recoveryDial) DialCompleted(err error) {
	switch {
	case r.completed:
		if err == nil {
			r.transport.Close()
		}
	case err != nil:
		r.complete(err)
	case !r.pool.cfg.HealthChecksAllowed:
		r.complete(nil)
	default:
		r.transport.Write(encodeNoop(recoveryPingID))
	}
}

// Data handles the response to the NOOP, which may arrive in parts.
func (r *recoveryDial) Data(data []byte) {
	if r.completed {
		return
	}
	err := r.responses.feed(r.pool.now, data, r.decode)
	if err != nil {
		r.complete(err)
	}
}

// decode is the framing.Decoder of responses. Responses to other commands than the NOOP are ignored.
func (r *recoveryDial) decode(unread []byte) (size int, err error) {
	response, size, err := decodeResponse(unread)
	isPingResponse := err == nil && size > 0 && string(response.id) == recoveryPingID
	if isPingResponse && !response.status.respondsToHealthQuery() {
		err = MismatchedStatus
	}
	if err != nil {
		return 0, r.pool.recordMalformedResponse(err, unread)
	}
	if isPingResponse {
		r.complete(nil)
	}
	return size, nil
}

// Closed handles the end of the connection.
func (r *recoveryDial) Closed(err error) { r.complete(errors.Join(ErrConnectionSilent, err)) }
