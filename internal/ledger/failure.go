package ledger

import "time"

// The delay before the first attempt to recover the file, and the longest delay before a further one.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// contentState is what is known of the file's content after a failure. A greater one is worse.
type contentState uint8

const (
	contentKnown   contentState = iota // good up to logFile.size, and torn behind it
	contentUnknown                     // a sync failed: the file has to be written anew
)

// fileFailure is a failure of the file from which it has not recovered yet. The zero value is none. It belongs to the
// writer's goroutine. Retries follow the real clock, not the writer's, which stands still while no entry arrives.
type fileFailure struct {
	pending bool
	content contentState
	delay   time.Duration // before the latest retry; doubled by each failure
	retryAt time.Time
}

// retryAfter returns a channel that delivers when a retry is due; nil while there is no failure.
func (f *fileFailure) retryAfter() <-chan time.Time {
	if !f.pending {
		return nil
	}
	return time.After(time.Until(f.retryAt))
}

// retryNow makes a retry due.
func (f *fileFailure) retryNow() { f.retryAt = time.Time{} }

// retryDue reports whether there is a failure whose retry is due.
func (f *fileFailure) retryDue() bool {
	return f.pending && !time.Now().Before(f.retryAt)
}

// add records a failure and delays the next retry.
func (f *fileFailure) add(content contentState) {
	f.delay = min(max(2*f.delay, firstRetryDelay), maxRetryDelay)
	f.pending = true
	f.content = max(f.content, content)
	f.retryAt = time.Now().Add(f.delay)
}
