package fake

import (
	"sync"
	"time"
)

// timers schedules the delayed calls of a worker. Each call is made on its own goroutine. timers has its own lock, so
// that it can be used while the worker is locked.
type timers struct {
	mu          sync.Mutex
	closed      bool
	pending     map[*time.Timer]struct{}
	outstanding sync.WaitGroup // calls that are pending or in progress
}

func newTimers() *timers { return &timers{pending: map[*time.Timer]struct{}{}} }

// after calls do after d has passed, unless the timers are closed by then.
func (t *timers) after(d time.Duration, do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.outstanding.Add(1)
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		defer t.outstanding.Done()
		t.mu.Lock() // waits until timer is assigned
		delete(t.pending, timer)
		closed := t.closed
		t.mu.Unlock()
		if !closed {
			do()
		}
	})
	t.pending[timer] = struct{}{}
}

// close drops all pending calls. It blocks until the calls in progress have returned.
func (t *timers) close() {
	t.mu.Lock()
	t.closed = true
	for timer := range t.pending {
		if timer.Stop() {
			t.outstanding.Done()
		}
	}
	clear(t.pending)
	t.mu.Unlock()
	t.outstanding.Wait()
}
