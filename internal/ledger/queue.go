package ledger

import (
	"sync"
	"time"
)

// maxQueuedBegins is how many calls of Begin may wait to be recorded. Further ones are rejected.
const maxQueuedBegins = 256

// job is an entry that the writer has to append.
type job struct {
	entry Entry
	now   time.Time // when the entry was queued; advances the writer's clock
	// done is called on the writer's goroutine when the entry has been synced or has failed. It is nil if nobody waits
	// for the entry, which then needs no sync.
	done func(error)
}

// jobQueue passes jobs to the writer. Its methods do not block and may be called by any goroutine.
type jobQueue struct {
	wake chan struct{} // holds a value if jobs are queued or the queue was closed

	mu     sync.Mutex // guards the fields below
	jobs   []job
	begins int // queued jobs whose done is set
	closed bool
}

func newJobQueue() *jobQueue {
	return &jobQueue{wake: make(chan struct{}, 1)}
}

// push queues a job. It reports false if the job comes from Begin and maxQueuedBegins such jobs are queued already.
// Updates are always queued: there are no more of them than orders.
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

// takeAll empties the queue. It returns the queued jobs and whether the queue is closed.
func (q *jobQueue) takeAll() (jobs []job, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	jobs = q.jobs
	q.jobs = nil
	q.begins = 0
	return jobs, q.closed
}

// close closes the queue and wakes the writer for the last time. No job may be queued after it.
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
