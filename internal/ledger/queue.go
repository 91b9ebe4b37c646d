package ledger

import (
	"sync"
	"time"
)

// maxQueuedBegins is how many orders may wait to be recorded; further ones are rejected.
const maxQueuedBegins = 256

// job is an entry for the writer.
type job struct {
	entry Entry
	now   time.Time // when the entry was made; advances the writer's clock
	// done is called on the writer's goroutine when the entry is synced or can't be. Nil: nobody waits for the entry,
	// and it needs no sync.
	done func(error)
}

// jobQueue hands jobs to the writer. Its methods do not block and may be called by any goroutine.
type jobQueue struct {
	wake chan struct{} // holds one value where something is queued, or the queue is closed

	mu     sync.Mutex // guards what follows
	jobs   []job
	begins int // jobs that somebody waits for
	closed bool
}

func newJobQueue() *jobQueue {
	return &jobQueue{wake: make(chan struct{}, 1)}
}

// push queues a job, and reports whether it did: of orders that are about to be forwarded only so many wait. Updates
// are always queued: there are no more of them than orders.
func (q *jobQueue) push(queued job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if queued.done != nil {
		if q.begins >= maxQueuedBegins {
			return false
		}
		q.begins++
	}
	q.jobs = append(q.jobs, queued)
	q.signal()
	return true
}

// takeAll empties the queue. It returns what was queued, and whether nothing more will be.
func (q *jobQueue) takeAll() (jobs []job, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	jobs = q.jobs
	q.jobs = nil
	q.begins = 0
	return jobs, q.closed
}

// close wakes the writer for the last time. Nothing may be queued after it.
func (q *jobQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

func (q *jobQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
