package fake

import (
	"slices"
	"time"
)

// replica is a function that is loaded, or being loaded, at a worker. It is guarded by the worker's lock.
type replica struct {
	ready    bool
	lastUsed time.Time
	busy     int          // lanes in use
	waiting  []*execution // requests that wait for a lane or for the load
	onLoaded []func()     // respond to load commands that arrived during the load
}

// replica returns a function's replica, or nil if there is none. It first unloads a replica that was idle for too long.
// On a warm worker the result is never nil, because a missing replica is loaded at once. The worker must be locked.
func (w *Worker) replica(function string) *replica {
	r := w.replicas[function]
	if r != nil && w.expired(r) {
		delete(w.replicas, function)
		r = nil
	}
	if r == nil && w.Warm && w.knows(function) {
		r = &replica{ready: true, lastUsed: time.Now()}
		w.replicas[function] = r
	}
	return r
}

// knows reports whether the worker can load a function.
func (w *Worker) knows(function string) bool {
	return len(w.Known) == 0 || slices.Contains(w.Known, function)
}

func (w *Worker) expired(r *replica) bool {
	return r.ready && r.busy == 0 && w.KeepAlive > 0 && time.Since(r.lastUsed) > w.KeepAlive
}

// startLoad starts to load a replica. The worker must be locked.
func (w *Worker) startLoad(function string) *replica {
	r := &replica{}
	w.replicas[function] = r
	w.timers.after(w.LoadTime, func() { w.completeLoad(r) })
	return r
}

// completeLoad completes the load of a replica: it starts waiting requests and responds to load commands.
func (w *Worker) completeLoad(r *replica) {
	w.mu.Lock()
	r.ready = true
	r.lastUsed = time.Now()
	respond := r.onLoaded
	r.onLoaded = nil
	w.startWaitingRequests(r)
	w.mu.Unlock()
	for _, f := range respond {
		f()
	}
}

// startWaitingRequests starts waiting requests while lanes are free. The worker must be locked.
func (w *Worker) startWaitingRequests(r *replica) {
	for r.ready && len(r.waiting) > 0 && r.busy < max(w.Lanes, 1) {
		e := r.waiting[0]
		r.waiting = r.waiting[1:]
		if e.done {
			continue
		}
		r.busy++
		w.timers.after(w.ServiceTime, func() { e.complete(r) })
	}
}

// unload unloads a function's replica if it is idle.
func (w *Worker) unload(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.replicas[function]; r != nil && r.ready && r.busy == 0 {
		delete(w.replicas, function)
	}
}
