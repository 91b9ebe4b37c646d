package fake

import (
	"fmt"
	"time"
)

// Values of the field "detail" in a response: whether the replica was loaded, or the request waited for the load.
const (
	loadStatusLoaded = "hot"
	loadStatusWaited = "waited"
)

// execution is a request that a worker has accepted. It is guarded by the worker's lock.
type execution struct {
	connection    *connection
	id            string
	class         string
	functionKey   string
	body          string
	waitedForLoad bool
	done          bool // completed or canceled, or its connection was lost
}

// complete is called when the service time of a request has passed. It sends the response, unless the worker hangs or
// the request is already done.
func (e *execution) complete(r *replica) {
	c := e.connection
	w := c.worker
	w.mu.Lock()
	r.busy--
	r.lastUsed = time.Now()
	failed := w.shouldFail != nil && w.shouldFail(e.id)
	noResponse := w.hanging || e.done
	if !w.hanging {
		c.markDone(e, EventCompleted)
	}
	inFlight := w.inFlight
	w.startWaitingRequests(r)
	w.mu.Unlock()
	switch {
	case noResponse:
	case failed:
		c.respond(e.id, responseFault, noFields, "")
	default:
		detail := loadStatusLoaded
		if e.waitedForLoad {
			detail = loadStatusWaited
		}
		c.respond(e.id, responseServed, fmt.Sprintf("detail=%s,use=inflight:%d", detail, inFlight), w.Name+" "+e.body)
	}
}

// markDone removes a request from those in flight and records an event of the given kind. It does nothing if the
// request is already done. The worker must be locked.
func (c *connection) markDone(e *execution, kind EventKind) {
	if e.done {
		return
	}
	e.done = true
	delete(c.inFlight, e.id)
	c.worker.inFlight--
	e.recordEvent(kind)
}

func (e *execution) recordEvent(kind EventKind) {
	w := e.connection.worker
	w.record(Event{
		At:          time.Now(),
		Worker:      w,
		Kind:        kind,
		ID:          e.id,
		Class:       e.class,
		FunctionKey: e.functionKey,
	})
}
