package webhook

import "time"

// retentionWindow is the range of event times for which orders are accepted: the ledger still knows whether an order
// with such an event time has run. Ages are measured in real time, so a step of the wall clock does not change them. A
// retentionWindow must only be used on the event loop's goroutine.
type retentionWindow struct {
	clock     *deliveryClock
	retention time.Duration // of the ledger
	tolerance time.Duration // the largest accepted difference between a delivery's timestamp and the current time
	horizon   time.Time     // the ledger's retention horizon: orders up to it may have been removed from the ledger
}

// contains reports whether an order with the given event time may be accepted. An older order may have run and may have
// been removed from the ledger since. The maximum age is two tolerances less than the ledger's retention.
func (w *retentionWindow) contains(eventTime time.Time) bool {
	maxAge := w.retention - 2*w.tolerance
	latest := w.clock.latest().Add(w.tolerance)
	return w.clock.steady().Sub(eventTime) <= maxAge && !eventTime.After(latest) && eventTime.After(w.horizon)
}
