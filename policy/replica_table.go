package policy

import (
	"container/list"
	"slices"
	"time"
)

// replica holds what is known about a function at a worker where it may be loaded.
type replica struct {
	worker      *worker
	function    FunctionID
	element     *list.Element // its place in replicaTable.leastRecent
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

// inUse reports whether an attempt or a load command of this router is in flight.
func (r *replica) inUse() bool { return r.inFlight > 0 || r.loadPending }

// isBlank reports whether an entry says no more than that there is no replica.
func (r *replica) isBlank() bool {
	return !r.inUse() && r.loadedUntil == 0 && r.loadDue == 0 && r.lanes == 0
}

// replicaTable holds, by function, the workers that may have a replica. The entries of the function that was
// looked up last are marked at their workers, so that scheduling a request over all workers needs no map
// look-up for each worker.
//
// Clients choose the functions, so the table is bounded: at its limit a new entry replaces the one that
// was used least recently and has nothing in flight.
//
// Invariant: the table holds exactly the entries in the maps of the workers.
type replicaTable struct {
	byFunction  map[FunctionID][]*replica
	limit       int       // 0: no limit
	leastRecent list.List // of *replica, in the order of their last use; entries in use may be later
	evicted     uint64    // entries that were replaced at the limit
	loads       int       // entries with a load command in flight

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
		t.makeRoom()
		entry = &replica{worker: w, function: f}
		w.replicas[f] = entry
		t.add(f, entry)
	}
	t.leastRecent.MoveToBack(entry.element)
	return entry
}

// has reports whether a worker may have a replica of a function.
func (t *replicaTable) has(f FunctionID) bool { return len(t.byFunction[f]) > 0 }

// makeRoom removes an entry if the table is at its limit: the one that was used least recently and is not
// in use. Entries in use that it passes become the most recent ones, so that the next call does not pass
// them again.
func (t *replicaTable) makeRoom() {
	if t.limit <= 0 || t.leastRecent.Len() < t.limit {
		return
	}
	for range t.leastRecent.Len() {
		oldest := t.leastRecent.Front()
		entry := oldest.Value.(*replica)
		if !entry.inUse() {
			t.remove(entry.function, entry.worker)
			t.evicted++
			return
		}
		t.leastRecent.MoveToBack(oldest)
	}
}

// tooManyLoads reports whether so many load commands are in flight that no further one may start. Their
// entries are in use, and the rest of the table must be left for those of attempts.
func (t *replicaTable) tooManyLoads() bool { return t.limit > 0 && t.loads >= t.limit/2 }

// loadStarted records that a load command is in flight.
func (t *replicaTable) loadStarted(entry *replica) {
	entry.loadPending = true
	entry.worker.pendingLoads++
	t.loads++
}

// loadEnded records that a load command is no longer in flight.
func (t *replicaTable) loadEnded(entry *replica) {
	entry.loadPending = false
	entry.worker.pendingLoads--
	t.loads--
}

// removeIfBlank removes the entry of a function at a worker if it says no more than that there is no replica.
func (t *replicaTable) removeIfBlank(f FunctionID, w *worker) {
	entry := w.replicas[f]
	if entry != nil && entry.isBlank() {
		t.remove(f, w)
	}
}

// remove removes the entry of a function at a worker.
func (t *replicaTable) remove(f FunctionID, w *worker) {
	entry := w.replicas[f]
	if entry == nil {
		return
	}
	t.leastRecent.Remove(entry.element)
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
	entry.element = t.leastRecent.PushBack(entry)
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
