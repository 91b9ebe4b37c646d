package benchmark

import (
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
	// reloaded is when the reload to the file was confirmed; zero while the reload is in progress.
	reloaded time.Time

	inFlight    int // in the pool with a cap
	maxInFlight int
	overCap     int // requests beyond the cap
	outsidePool int // requests that ran at workers outside their pools
	// overflowed maps requests to when they first reached the pool for overflow.
	overflowed map[string]time.Time
}

// watchedFile is a routes file, with what the watch checks of it.
type watchedFile struct {
	text           string
	cap            int    // of the pool "fast", in requests in flight
	faultCheckKind string // of workers for the class fault-check
}

// watchedRoutes are the two files that replace each other.
var watchedRoutes = [2]watchedFile{
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
		return kind == watchedRoutes[file].faultCheckKind
	default:
		return kind == kindLarge || kind == kindSmall
	}
}

// reloadStarted records that a file replaces the other one.
func (p *poolWatch) reloadStarted(file int) {
	p.file = file
	p.reloaded = time.Time{}
}

// reloadCompleted records that the file is in force.
func (p *poolWatch) reloadCompleted() { p.reloaded = time.Now() }

// settledFor returns how long before a request the file in force was, less the time for messages on their way. It is
// negative while a request may have been routed by the file before.
func (p *poolWatch) settledFor(request *recordedRequest) time.Duration {
	if p.reloaded.IsZero() {
		return -1
	}
	return request.sentAt.Sub(p.reloaded) - reloadSettleTime
}

// event checks an event of a request at a worker. It implements eventWatch.
func (p *poolWatch) event(e fake.Event, request *recordedRequest) {
	kind := e.Worker.Kind
	if request.class == fake.DimLevel.Name && kind == kindLarge {
		p.countInFlight(e, request)
	}
	if request.class == fake.DimLevel.Name && kind == kindSpare {
		if _, known := p.overflowed[e.ID]; !known {
			p.overflowed[e.ID] = e.At // its first event there, whether it ran or not
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
			limit = max(routesACap, routesBCap) // it may count by the file before
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
