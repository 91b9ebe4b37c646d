package policy

import "slices"

// This file holds what is known of replicas and the memory that scheduling uses anew for each request, where a plain
// map or slice would cost a look at all of it for each. Nothing is decided here.

// replicaIndex knows by function which workers have a replica. Those of the function that was asked for last are
// marked, so that a look at all workers for one request takes no look-up for each.
type replicaIndex struct {
	byFunction map[FunctionID][]*replica
	function   FunctionID // the one that was asked for last
	generation uint64     // of its marks
}

// indexMark is what a replicaIndex notes at a worker: its replica of the function that was asked for last.
type indexMark struct {
	generation uint64
	replica    *replica
}

// scratch is memory that each request's look at the workers uses anew.
type scratch struct {
	candidateBuffer []*worker
	scoreBuffer     []float64
}

// lookUp returns the replica of a function at a worker, or nil.
func (x *replicaIndex) lookUp(w *worker, f FunctionID) *replica {
	if f != x.function || x.generation == 0 {
		x.function = f
		x.generation++
		for _, entry := range x.byFunction[f] {
			x.mark(entry)
		}
	}
	if w.generation != x.generation {
		return nil
	}
	return w.replica
}

// get returns the replica of a function at a worker. Where there is none it enters one that is not loaded.
func (x *replicaIndex) get(w *worker, f FunctionID) *replica {
	entry := w.replicas[f]
	if entry == nil {
		entry = &replica{worker: w}
		w.replicas[f] = entry
		x.add(f, entry)
	}
	return entry
}

func (x *replicaIndex) add(f FunctionID, entry *replica) {
	if x.byFunction == nil {
		x.byFunction = map[FunctionID][]*replica{}
	}
	x.byFunction[f] = append(x.byFunction[f], entry)
	if f == x.function {
		x.mark(entry)
	}
}

func (x *replicaIndex) mark(entry *replica) {
	entry.worker.generation = x.generation
	entry.worker.replica = entry
}

// remove forgets the replica of a function at a worker.
func (x *replicaIndex) remove(f FunctionID, w *worker) {
	delete(w.replicas, f)
	if f == x.function {
		w.generation, w.replica = 0, nil
	}
	left := slices.DeleteFunc(x.byFunction[f], func(entry *replica) bool { return entry.worker == w })
	if len(left) == 0 {
		delete(x.byFunction, f)
	} else {
		x.byFunction[f] = left
	}
}

// removeWorker forgets all replicas at a worker.
func (x *replicaIndex) removeWorker(w *worker) {
	for f := range w.replicas {
		x.remove(f, w)
	}
}
