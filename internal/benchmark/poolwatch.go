package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// Kinds of workers in the experiment with reloads.
const (
	kindLarge = "large"
	kindSmall = "small"
	kindSpare = "spare"
)

// reloadSettleTime is how long after a reload a message that was sent before the reload may still arrive.
const reloadSettleTime = 50 * time.Millisecond

// poolWatch checks that requests run at the workers that the routes in force allow, and that the pool with a cap stays
// within its cap. It is guarded by the lock of its record.
type poolWatch struct {
	file int // index in watchedRoutes of the file in force
	// reloadedAt is when the router confirmed the reload of the file. It is zero while the reload is in progress.
	reloadedAt time.Time

	inFlight    int // requests in flight in the pool with a cap
	maxInFlight int
	overCap     int // requests beyond the cap
	outsidePool int // requests that ran at workers outside their pools
	// overflowed holds, by request ID, when a request first reached the pool for overflow.
	overflowed map[string]time.Time
}

// watchedFile is a routes file, with the properties of it that poolWatch checks.
type watchedFile struct {
	text           string
	cap            int    // cap of the pool "fast", in requests in flight
	faultCheckKind string // kind of the workers that class fault-check is routed to
}

// watchedRoutes are routesA and routesB, which replace each other.
var watchedRoutes = [2]watchedFile{
	{routesA, routesACap, kindSmall},
	{routesB, routesBCap, kindSpare},
}

func newPoolWatch() *poolWatch { return &poolWatch{overflowed: map[string]time.Time{}} }

// allows reports whether a routes file allows requests of a class to run at workers of a kind.
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

// reloadStarted records that a reload of the file with the given index starts.
func (p *poolWatch) reloadStarted(file int) {
	p.file = file
	p.reloadedAt = time.Time{}
}

// reloadCompleted records that the router has confirmed the reload.
func (p *poolWatch) reloadCompleted() { p.reloadedAt = time.Now() }

// settledFor returns the time from the reload to the sending of a request, less reloadSettleTime. A negative result
// means that the previous file may still have routed the request; it is -1 while a reload is in progress.
func (p *poolWatch) settledFor(request *recordedRequest) time.Duration {
	if p.reloadedAt.IsZero() {
		return -1
	}
	return request.sentAt.Sub(p.reloadedAt) - reloadSettleTime
}

// event checks an event of a request at a worker. It is an eventObserver.
func (p *poolWatch) event(e fake.Event, request *recordedRequest) {
	kind := e.Worker.Kind
	if request.class == fake.DimLevel.Name && kind == kindLarge {
		p.countInFlight(e, request)
	}
	if request.class == fake.DimLevel.Name && kind == kindSpare {
		if _, known := p.overflowed[e.ID]; !known {
			p.overflowed[e.ID] = e.At // the first event there counts, whether the request ran or not
		}
	}
	if e.Kind == fake.EventStarted && !p.mayRun(request, kind) {
		p.outsidePool++
	}
}

// countInFlight counts the requests in flight in the pool with a cap, and those that exceed the cap.
func (p *poolWatch) countInFlight(e fake.Event, request *recordedRequest) {
	switch e.Kind {
	case fake.EventStarted:
		p.inFlight++
		p.maxInFlight = max(p.maxInFlight, p.inFlight)
		limit := watchedRoutes[p.file].cap
		if p.settledFor(request) < 0 {
			limit = max(routesACap, routesBCap) // the cap of the previous file may still apply
		}
		if p.inFlight > limit {
			p.overCap++
		}
	case fake.EventCompleted, fake.EventCanceled, fake.EventConnectionLost:
		p.inFlight--
	}
}

// mayRun reports whether a request may run at workers of a kind: whether the file in force allows it, or the previous
// file, if that may still have routed the request.
func (p *poolWatch) mayRun(request *recordedRequest, kind string) bool {
	if allows(p.file, request.class, kind) {
		return true
	}
	return p.settledFor(request) <= 0 && allows(1-p.file, request.class, kind)
}
