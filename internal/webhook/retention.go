package webhook

import "time"

// retentionWindow is the range of event times of the orders that are accepted: those for which the ledger still knows
// whether they ran. Ages are spans of real time, so a step of the wall clock changes none. It belongs to the event
// loop's goroutine.
type retentionWindow struct {
	clock     *deliveryClock
	retention time.Duration // of the ledger
	tolerance time.Duration // that a delivery's timestamp may differ by from the present
	horizon   time.Time     // the ledger's retention horizon: orders up to it may have been forgotten
}

// contains reports whether an order with an event time may be accepted. An older one may have run and been forgotten;
// orders are rejected two tolerances before the ledger drops them.
func (w *retentionWindow) contains(eventTime time.Time) bool {
	maxAge := w.retention - 2*w.tolerance
	latest := w.clock.latest().Add(w.tolerance)
	return w.clock.steady().Sub(eventTime) <= maxAge && !eventTime.After(latest) && eventTime.After(w.horizon)
}
