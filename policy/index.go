package policy

import "slices"

// This file holds what the module keeps its beliefs in, where a plain map or slice would cost a look at all of it for
// each call. Nothing is decided here.

// replicaIndex knows by function which workers we believe something of. Those of the function that was asked for last are
// marked, so that a look at all workers for one call takes no look-up for each.
type replicaIndex struct {
	byFunction map[FunctionID][]*replica
	function   FunctionID
	generation uint64
}

// indexMark is what holders notes at a worker.
type indexMark struct {
	generation uint64
	replica    *replica
}

// scratch is room that each call's look at the workers uses anew.
type scratch struct {
	candidateBuffer []*worker
	scoreBuffer     []float64
}

// lookUp returns what we believe of a function lookUp a worker, or nil.
func (h *replicaIndex) lookUp(w *worker, f FunctionID) *replica {
	if f != h.function || h.generation == 0 {
		h.function = f
		h.generation++
		for _, i := range h.byFunction[f] {
			i.worker.generation, i.worker.replica = h.generation, i
		}
	}
	if w.generation != h.generation {
		return nil
	}
	return w.replica
}

// get returns what we believe of a function at a worker, with an entry for it from now on.
func (h *replicaIndex) get(w *worker, f FunctionID) *replica {
	i := w.replicas[f]
	if i == nil {
		i = &replica{worker: w}
		w.replicas[f] = i
		h.add(f, i)
	}
	return i
}

// add enters a belief.
func (h *replicaIndex) add(f FunctionID, i *replica) {
	if h.byFunction == nil {
		h.byFunction = map[FunctionID][]*replica{}
	}
	h.byFunction[f] = append(h.byFunction[f], i)
	if f == h.function {
		i.worker.generation, i.worker.replica = h.generation, i
	}
}

// remove forgets what we believe of a function at a worker.
func (h *replicaIndex) remove(f FunctionID, w *worker) {
	delete(w.replicas, f)
	if f == h.function {
		w.generation, w.replica = 0, nil
	}
	if h.byFunction[f] = slices.DeleteFunc(h.byFunction[f], func(i *replica) bool { return i.worker == w }); len(h.byFunction[f]) == 0 {
		delete(h.byFunction, f)
	}
}

// removeWorker drops all that we believe of a worker.
func (h *replicaIndex) removeWorker(w *worker) {
	for f := range w.replicas {
		h.remove(f, w)
	}
}
