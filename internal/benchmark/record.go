package benchmark

import (
	"slices"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// statusLost is the status of a request whose connection ended before its response.
const statusLost fake.ResponseStatus = "lost"

// responseSlack is how late a response may come on a loaded machine and still count, as on the platform.
const responseTolerance = 66 * time.Millisecond

// recordedRequest is a request as its client and the workers saw it.
type recordedRequest struct {
	class   string
	sentAt  time.Time
	status  fake.ResponseStatus // empty until its response
	latency time.Duration
	late    bool // its response came after its timeout
	runs    int  // at workers
}

// isLost reports whether the request has no response.
func (r *recordedRequest) isLost() bool { return r.status == "" || r.status == statusLost }

// record is what happened in an experiment: what clients sent and were answered, and what workers saw. Fakes add to it
// from their own goroutines; mu guards all of it.
type record struct {
	mu       sync.Mutex
	byID     map[string]*recordedRequest
	requests []*recordedRequest // in the order in which they were sent
	events   []fake.Event
	observer eventObserver // may be nil
}

// eventObserver is called for each event of a recorded request, with the record locked.
type eventObserver func(e fake.Event, request *recordedRequest)

// newRecord returns an empty record. watch may be nil.
func newRecord(observer eventObserver) *record {
	return &record{byID: map[string]*recordedRequest{}, observer: observer}
}

// event records what a worker saw. It is called by fakes, from any goroutine.
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

// tally counts requests by what became of them.
type tally struct {
	sent     int
	served   int
	rejected int
	failed   int
}

// servedShare returns the share, from 0 to 1, of the requests that were served.
func (t tally) servedShare() float64 { return float64(t.served) / float64(t.sent) }

// tally counts the requests of a class, or of all classes if it is empty, that were sent in a time.
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

// violations counts what no router may do.
type violations struct {
	lost               int // requests without a response
	late               int // responses after the timeout
	notIdempotent      int // requests that may not run twice
	ranTwice           int // those that did
	loadBudgetBreaches int // load commands beyond the budget
}

// violations checks all that was recorded. Requests of the class given may not run twice.
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

// latencyPercentile returns a percentile, from 0 to 1, of the served requests' latencies in milliseconds.
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
