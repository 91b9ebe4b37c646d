package policy

import (
	"cmp"
	"slices"

	"crankhold/internal/stats"
)

// maxWorkerSize bounds the size that an endpoint list gives a worker.
const maxWorkerSize = 1e9

// worker is what is known of one worker. Each of the parts is changed by the type that it is named with, and
// by no other.
type worker struct {
	Endpoint
	size         float64    // from the endpoint list, in comparison with other workers
	inFlight     []*attempt // in the order in which they started
	pendingLoads int        // load commands in flight

	replicas  map[FunctionID]*replica // replicaTable
	mark      replicaMark             // replicaTable
	latency   workerLatency           // latencyEstimator
	capacity  workerCapacity          // capacityEstimator
	slowStart workerSlowStart         // slowStart
	health    workerHealth            // outlierDetector
}

// workerTable holds the workers of the endpoint list, and those that left it while attempts are in flight
// there.
//
// Invariant: a worker with a newer start carries nothing that was learned of the process before.
// Policy.endpointListed keeps it, since what was learned belongs to other types.
type workerTable struct {
	byID       map[WorkerID]*worker
	fleet      []*worker // all of byID, in the order of their first listing
	ready      int       // workers in the state Ready
	meanSize   float64
	subscribed bool // changes of the endpoint list arrive
}

// get returns a worker, or nil where it is not known.
func (t *workerTable) get(id WorkerID) *worker { return t.byID[id] }

// add enters a worker that is listed for the first time.
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

// markUnlistedGone marks the workers as gone that a whole endpoint list does not hold.
func (t *workerTable) markUnlistedGone(listed map[WorkerID]bool) {
	for _, w := range t.fleet {
		if !listed[w.Worker] {
			w.State = Gone
		}
	}
}

// recount updates the figures over all workers after a change of the list.
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

// removeGone removes the workers that left the endpoint list once nothing is in flight there, and hands each
// to removed.
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
