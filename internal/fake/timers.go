package fake

import (
	"sync"
	"time"
)

// timers are the calls that a worker makes later, each from a goroutine of its own. They have a lock of their own, so
// that a worker may use them while it is locked.
type timers struct {
	mu          sync.Mutex
	closed      bool
	pending     map[*time.Timer]struct{}
	outstanding sync.WaitGroup // calls that are pending or being made
}

func newTimers() *timers { return &timers{pending: map[*time.Timer]struct{}{}} }

// after calls do once d has passed, unless the timers are closed by then.
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
		t.mu.Lock() // until the timer is assigned
		delete(t.pending, timer)
		closed := t.closed
		t.mu.Unlock()
		if !closed {
			do()
		}
	})
	t.pending[timer] = struct{}{}
}

// close drops all pending calls. It blocks until those that are being made have returned.
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
