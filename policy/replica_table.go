package policy

import (
	"slices"
	"time"
)

// replica is what is known of a function at a worker, where it may be loaded.
type replica struct {
	worker      *worker
	loadedUntil time.Duration // a replica stays loaded until then at least
	loadDue     time.Duration // a load under way is expected to end then; 0: none
	inFlight    int           // our attempts there
	lanes       int           // most attempts of ours that it was seen to serve at a time
	loadPending bool          // a load command of ours has not completed
	waiting     []*request    // for that load
	gossipedAt  time.Duration // gossiper
}

// unloaded records that no replica is loaded.
func (r *replica) unloaded() {
	r.loadedUntil = 0
	r.loadDue = 0
	r.lanes = 0
}

// served records a response from a loaded replica, which stays loaded for its keep-alive.
func (r *replica) served(now, keepAlive time.Duration) {
	r.loadedUntil = now + keepAlive
	r.loadDue = 0
	r.lanes = max(r.lanes, r.inFlight+1)
}

// replicaTable knows by function which workers may have a replica. Entries of the function that was looked up
// last are marked at their workers, so that scheduling a request over all workers takes no map look-up for
// each.
//
// Invariant: the table holds exactly the entries that the workers' maps hold.
type replicaTable struct {
	byFunction map[FunctionID][]*replica
	marked     FunctionID // the function whose entries are marked
	generation uint64     // of the marks; 0: nothing was marked yet
}

// replicaMark is a worker's entry of the function that was looked up last, if its generation is the table's.
type replicaMark struct {
	generation uint64
	replica    *replica
}

// lookUp returns the entry of a function at a worker, or nil.
func (t *replicaTable) lookUp(w *worker, f FunctionID) *replica {
	if f != t.marked || t.generation == 0 {
		t.markFunction(f)
	}
	if w.mark.generation != t.generation {
		return nil
	}
	return w.mark.replica
}

// get returns the entry of a function at a worker. Where there is none it adds one that is not loaded.
func (t *replicaTable) get(w *worker, f FunctionID) *replica {
	entry := w.replicas[f]
	if entry == nil {
		entry = &replica{worker: w}
		w.replicas[f] = entry
		t.add(f, entry)
	}
	return entry
}

// remove forgets the entry of a function at a worker.
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

// removeWorker forgets all entries of a worker.
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

// markFunction marks the entries of a function in place of those marked before.
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
