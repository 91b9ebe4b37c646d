package policy

import (
	"slices"
	"time"
)

// replica holds what is known about a function at a worker where it may be loaded.
type replica struct {
	worker      *worker
	loadedUntil time.Duration // a replica stays loaded at least until then
	loadDue     time.Duration // when the load in progress is expected to complete; 0: none
	inFlight    int           // attempts of this router
	lanes       int           // largest number of this router's attempts that were served at once
	loadPending bool          // a load command of this router is in flight
	waiting     []*request    // requests that wait for the load command
	gossipedAt  time.Duration // when it was last gossiped; owned by gossiper
}

// unloaded records that no replica is loaded.
func (r *replica) unloaded() {
	r.loadedUntil = 0
	r.loadDue = 0
	r.lanes = 0
}

// served records a response of a loaded replica, which stays loaded for its keep-alive.
func (r *replica) served(now, keepAlive time.Duration) {
	r.loadedUntil = now + keepAlive
	r.loadDue = 0
	r.lanes = max(r.lanes, r.inFlight+1)
}

// replicaTable holds, by function, the workers that may have a replica. The entries of the function that was
// looked up last are marked at their workers, so that scheduling a request over all workers needs no map
// look-up for each worker.
//
// Invariant: the table holds exactly the entries in the maps of the workers.
type replicaTable struct {
	byFunction map[FunctionID][]*replica
	marked     FunctionID // the function whose entries are marked
	generation uint64     // generation of the marks; 0: nothing has been marked yet
}

// replicaMark is a worker's entry of the function that was looked up last. It is valid if its generation is
// that of the table.
type replicaMark struct {
	generation uint64
	replica    *replica
}

// lookUp returns the entry of a function at a worker, or nil if there is none.
func (t *replicaTable) lookUp(w *worker, f FunctionID) *replica {
	if f != t.marked || t.generation == 0 {
		t.markFunction(f)
	}
	if w.mark.generation != t.generation {
		return nil
	}
	return w.mark.replica
}

// get returns the entry of a function at a worker. If there is none, it adds one that is not loaded.
func (t *replicaTable) get(w *worker, f FunctionID) *replica {
	entry := w.replicas[f]
	if entry == nil {
		entry = &replica{worker: w}
		w.replicas[f] = entry
		t.add(f, entry)
	}
	return entry
}

// remove removes the entry of a function at a worker.
func (t *replicaTable) remove(f FunctionID, w *worker) {
	delete(w.replicas, f)
	if f == t.marked {
		w.mark = replicaMark{}
	}
	left := slices.DeleteFunc(t.byFunction[f], func(entry *replica) bool { return entry.worker == w })
	if len(left) == 0 {
		delete(t.byFunction, f)
	} else {
		t.byFunction[f] = left
	}
}

// removeWorker removes all entries of a worker.
func (t *replicaTable) removeWorker(w *worker) {
	for f := range w.replicas {
		t.remove(f, w)
	}
}

func (t *replicaTable) add(f FunctionID, entry *replica) {
	if t.byFunction == nil {
		t.byFunction = map[FunctionID][]*replica{}
	}
	t.byFunction[f] = append(t.byFunction[f], entry)
	if f == t.marked {
		t.mark(entry)
	}
}

// markFunction marks the entries of a function and invalidates all other marks.
func (t *replicaTable) markFunction(f FunctionID) {
	t.marked = f
	t.generation++
	for _, entry := range t.byFunction[f] {
		t.mark(entry)
	}
}

func (t *replicaTable) mark(entry *replica) {
	entry.worker.mark = replicaMark{generation: t.generation, replica: entry}
}
