package policy

import (
	"cmp"
	"slices"

	"crankhold/internal/stats"
)

// maxWorkerSize limits the size of a worker in an endpoint list.
const maxWorkerSize = 1e9

// worker holds the state of one worker. Each field of the second group is changed only by the type that its
// comment names.
type worker struct {
	Endpoint
	size         float64    // from the endpoint list, relative to other workers
	inFlight     []*attempt // in the order in which they started
	pendingLoads int        // load commands in flight

	replicas  map[FunctionID]*replica // replicaTable
	mark      replicaMark             // replicaTable
	latency   workerLatency           // latencyEstimator
	capacity  workerCapacity          // capacityEstimator
	slowStart workerSlowStart         // slowStart
	health    workerHealth            // outlierDetector
}

// workerTable holds the workers of the endpoint list, and workers that left it but still have attempts or
// load commands in flight.
//
// Invariant: a worker that has restarted keeps nothing that was learned about its former process.
// endpointTracker.processStarted ensures this, because the estimates belong to other types.
type workerTable struct {
	byID       map[WorkerID]*worker
	fleet      []*worker // all of byID, in the order of their first listing
	ready      int       // workers in the state Ready
	meanSize   float64
	subscribed bool // the subscription to the endpoint list is active
}

// get returns a worker, or nil if it is not in the table.
func (t *workerTable) get(id WorkerID) *worker { return t.byID[id] }

// add adds a worker that is listed for the first time.
func (t *workerTable) add(id WorkerID) *worker {
	w := &worker{replicas: map[FunctionID]*replica{}}
	t.byID[id] = w
	t.fleet = append(t.fleet, w)
	return w
}

// setEndpoint applies an entry of the endpoint list.
func (w *worker) setEndpoint(e Endpoint) {
	w.Endpoint = e
	w.size = cmp.Or(stats.Clamp(e.Weight, 0, maxWorkerSize), 1)
}

// deduplicationGroup returns the worker's zone or cell. It isn't known for a scope that is neither.
func (w *worker) deduplicationGroup(scope DeduplicationScope) Group {
	switch scope {
	case DeduplicatedInZone:
		return w.Zone
	case DeduplicatedInCell:
		return w.Cell
	default:
		return Group{}
	}
}

// markUnlistedGone marks the workers that are not in a whole endpoint list as gone.
func (t *workerTable) markUnlistedGone(listed map[WorkerID]bool) {
	for _, w := range t.fleet {
		if !listed[w.Worker] {
			w.State = Gone
		}
	}
}

// recount recomputes the number of ready workers and the mean size after a change of the list.
func (t *workerTable) recount() {
	t.ready = 0
	t.meanSize = 0
	for _, w := range t.fleet {
		t.meanSize += w.size / float64(len(t.fleet))
		if w.State == Ready {
			t.ready++
		}
	}
}

// removeGone removes the workers that left the endpoint list and have nothing in flight. It calls removed for
// each of them.
func (t *workerTable) removeGone(removed func(*worker)) {
	t.fleet = slices.DeleteFunc(t.fleet, func(w *worker) bool {
		gone := w.State == Gone && len(w.inFlight) == 0 && w.pendingLoads == 0
		if gone {
			delete(t.byID, w.Worker)
			removed(w)
		}
		return gone
	})
}
