package benchmark

import (
	"slices"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// statusLost is the status of a request whose connection was closed before its response arrived.
const statusLost fake.ResponseStatus = "lost"

// responseTolerance is how long after its timeout a response still counts as in time, because machines may be busy. The
// platform allows the same.
const responseTolerance = 66 * time.Millisecond

// recordedRequest is a request as seen by its client and by the workers.
type recordedRequest struct {
	class   string
	sentAt  time.Time
	status  fake.ResponseStatus // empty until the response arrives
	latency time.Duration
	late    bool // the response arrived after the timeout
	runs    int  // how often workers ran the request
}

// isLost reports whether the request has no response.
func (r *recordedRequest) isLost() bool { return r.status == "" || r.status == statusLost }

// record holds what happened in an experiment: the requests that clients sent, their responses, and the events at
// workers. Fakes add to it from their own goroutines. mu guards all fields.
type record struct {
	mu       sync.Mutex
	byID     map[string]*recordedRequest
	requests []*recordedRequest // in the order in which they were sent
	events   []fake.Event
	observer eventObserver // may be nil
}

// eventObserver is called for each event of a recorded request, with the record locked.
type eventObserver func(e fake.Event, request *recordedRequest)

// newRecord returns an empty record. observer may be nil.
func newRecord(observer eventObserver) *record {
	return &record{byID: map[string]*recordedRequest{}, observer: observer}
}

// event records an event at a worker. Fakes call it from any goroutine.
func (r *record) event(e fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	request := r.byID[e.ID]
	if request == nil {
		return
	}
	if e.Kind == fake.EventStarted {
		request.runs++
	}
	if r.observer != nil {
		r.observer(e, request)
	}
}

// send sends a request and records its response.
func (r *record) send(c *fake.Client, sent fake.Request) {
	request := &recordedRequest{class: sent.Class, sentAt: time.Now()}
	r.mu.Lock()
	r.byID[sent.ID] = request
	r.requests = append(r.requests, request)
	r.mu.Unlock()
	c.Go(sent, func(response fake.Response, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		request.latency = time.Since(request.sentAt)
		request.status = response.Status
		if err != nil {
			request.status = statusLost
		}
		request.late = request.latency > sent.Timeout+responseTolerance
	})
}

// tally counts requests by the status of their responses.
type tally struct {
	sent     int
	served   int
	rejected int
	failed   int
}

// servedShare returns the share, from 0 to 1, of the requests that were served.
func (t tally) servedShare() float64 { return float64(t.served) / float64(t.sent) }

// tally counts the requests that were sent between from (inclusive) and to (exclusive). It counts those of one class,
// or of all classes if class is empty.
func (r *record) tally(class string, from, to time.Time) (t tally) {
	for _, request := range r.requests {
		if class != "" && request.class != class || request.sentAt.Before(from) || !request.sentAt.Before(to) {
			continue
		}
		t.sent++
		switch request.status {
		case fake.Served:
			t.served++
		case fake.Rejected:
			t.rejected++
		case fake.Failed:
			t.failed++
		}
	}
	return t
}

// violations counts the breaches of rules that every router has to keep.
type violations struct {
	lost               int // requests without a response
	late               int // responses after the timeout
	notIdempotent      int // requests that may not run twice; these are not violations
	ranTwice           int // requests that may not run twice and did
	loadBudgetBreaches int // load commands beyond the load budget
}

// violations checks everything recorded. Requests of the class notIdempotent may not run twice.
func (r *record) violations(notIdempotent string) (v violations) {
	sentAt := make([]time.Time, 0, len(r.requests))
	for _, request := range r.requests {
		sentAt = append(sentAt, request.sentAt)
		if request.isLost() {
			v.lost++
		} else if request.late {
			v.late++
		}
		if request.class != notIdempotent {
			continue
		}
		v.notIdempotent++
		if request.runs > 1 {
			v.ranTwice++
		}
	}
	v.loadBudgetBreaches = loadBudgetBreaches(r.loadCommandTimes(), sentAt)
	return v
}

// latencyPercentile returns the latency of served requests at a percentile, from 0 to 1, in milliseconds. It returns 0
// if no request was served.
func (r *record) latencyPercentile(p float64) float64 {
	var latencies []time.Duration
	for _, request := range r.requests {
		if request.status == fake.Served {
			latencies = append(latencies, request.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	latency := latencies[min(int(p*float64(len(latencies))), len(latencies)-1)]
	return float64(latency.Microseconds()) / 1000
}
