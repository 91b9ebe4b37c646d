package benchmark

import (
	"slices"
	"time"

	"crankhold/internal/fake"
)

// Kinds of workers in the routing experiment.
const (
	kindLarge = "large"
	kindSmall = "small"
	kindSpare = "spare"
)

// reloadSettleTime is how long after a reload a message that was sent before it may still arrive.
const reloadSettleTime = 50 * time.Millisecond

// poolWatch checks where requests run against the routes in force, and counts those in flight in the pool that has a
// cap. Its record's lock guards it.
type poolWatch struct {
	file int // in force: the index of routesA or routesB
	// reloaded is when the reload to the file was confirmed; zero while it is under way.
	reloaded time.Time

	inFlight    int // in the pool with a cap
	maxInFlight int
	overCap     int // requests beyond the cap
	outsidePool int // requests that ran at workers of no pool of theirs
	overflowed  map[string]time.Time
}

// watchedRoutes are the two files that take each other's place, with what the watch holds of each.
var watchedRoutes = [2]struct {
	text       string
	cap        int
	checksKind string // of workers for the class fault-check
}{
	{routesA, routesACap, kindSmall},
	{routesB, routesBCap, kindSpare},
}

func newPoolWatch() *poolWatch { return &poolWatch{overflowed: map[string]time.Time{}} }

// allows reports whether a routes file lets a class run at a kind of workers.
func allows(file int, class, kind string) bool {
	switch class {
	case fake.DimLevel.Name:
		return kind == kindLarge || kind == kindSpare
	case fake.FaultCheck.Name:
		return kind == watchedRoutes[file].checksKind
	default:
		return kind == kindLarge || kind == kindSmall
	}
}

// reloadBegins notes that a file takes the other's place.
func (p *poolWatch) reloadBegins(file int) {
	p.file = file
	p.reloaded = time.Time{}
}

// reloadEnds notes that the file is in force.
func (p *poolWatch) reloadEnds() { p.reloaded = time.Now() }

// settledFor returns how long before a request the file in force was, less the time for messages on their way. It is
// negative while a request may have been routed by the file before.
func (p *poolWatch) settledFor(request *recordedRequest) time.Duration {
	if p.reloaded.IsZero() {
		return -1
	}
	return request.sentAt.Sub(p.reloaded) - reloadSettleTime
}

// event checks an event at a worker of a request.
func (p *poolWatch) event(e fake.Event, request *recordedRequest) {
	kind := e.Worker.Kind
	if request.class == fake.DimLevel.Name && kind == kindLarge {
		p.countInFlight(e, request)
	}
	if request.class == fake.DimLevel.Name && kind == kindSpare {
		if _, known := p.overflowed[e.ID]; !known {
			p.overflowed[e.ID] = e.At // the first sign of it there, whether it ran or not
		}
	}
	if e.Kind == fake.EventStarted && !p.mayRun(request, kind) {
		p.outsidePool++
	}
}

// countInFlight counts the requests in flight in the pool that has a cap.
func (p *poolWatch) countInFlight(e fake.Event, request *recordedRequest) {
	switch e.Kind {
	case fake.EventStarted:
		p.inFlight++
		p.maxInFlight = max(p.maxInFlight, p.inFlight)
		limit := watchedRoutes[p.file].cap
		if p.settledFor(request) < 0 {
			limit = max(routesACap, routesBCap) // it may be held to the file before, until it ends
		}
		if p.inFlight > limit {
			p.overCap++
		}
	case fake.EventCompleted, fake.EventCanceled, fake.EventConnectionLost:
		p.inFlight--
	}
}

// mayRun reports whether a request may run at a kind of workers by the file in force, or by the other one while that
// may still count.
func (p *poolWatch) mayRun(request *recordedRequest, kind string) bool {
	if allows(p.file, request.class, kind) {
		return true
	}
	return p.settledFor(request) <= 0 && allows(1-p.file, request.class, kind)
}

// Windows of the overflow's share.
const (
	overflowWindow        = 10 * time.Second
	minRequestsInWindow   = 100
	maxOverflowsInspected = 2000 // with more of them, a sample is inspected
	overflowSampling      = 7
)

// maxOverflowShare returns the largest share that overflowed requests of any window were of the class's requests in it,
// windows with few requests left out.
func (p *poolWatch) maxOverflowShare(r *record) float64 {
	var sent []time.Time
	for _, request := range r.requests {
		if request.class == fake.DimLevel.Name {
			sent = append(sent, request.sentAt)
		}
	}
	var overflowed []time.Time
	for _, at := range p.overflowed {
		overflowed = append(overflowed, at)
	}
	slices.SortFunc(overflowed, time.Time.Compare)
	largest := 0.0
	for i, end := range overflowed {
		if i%overflowSampling > 0 && len(overflowed) > maxOverflowsInspected {
			continue
		}
		if n := countSince(sent, end); n >= minRequestsInWindow {
			largest = max(largest, float64(countSince(overflowed, end))/float64(n))
		}
	}
	return largest
}

// countSince returns how many of the times are in the overflow window that ends at a time, which it includes.
func countSince(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-overflowWindow)) {
			n++
		}
	}
	return n
}
