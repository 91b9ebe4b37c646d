package ledger

import "time"

// The delay before the first attempt to recover the file, and the limit of the delay before further attempts.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// contentState states what is known of the file's content after a failure. A higher value means that less is known.
type contentState uint8

const (
	contentKnown   contentState = iota // complete lines up to ledgerFile.size, torn writes after it
	contentUnknown                     // a sync or a replacement failed: the file must be rewritten
)

// fileFailure is a failure of the file from which it has not recovered yet. The zero value means that there is none. It
// belongs to the writer's goroutine. Retries follow the system clock, because the writer's clock does not advance while
// no entry arrives.
type fileFailure struct {
	pending bool
	content contentState
	delay   time.Duration // before the next retry; doubled by each failure
	retryAt time.Time
}

// retryAfter returns a channel that receives a value when a retry is due. It is nil if there is no failure.
func (f *fileFailure) retryAfter() <-chan time.Time {
	if !f.pending {
		return nil
	}
	return time.After(time.Until(f.retryAt))
}

// retryNow makes the next retry due at once.
func (f *fileFailure) retryNow() { f.retryAt = time.Time{} }

// retryDue reports whether there is a failure and its retry is due.
func (f *fileFailure) retryDue() bool {
	return f.pending && !time.Now().Before(f.retryAt)
}

// add records a failure and doubles the delay until the next retry.
func (f *fileFailure) add(content contentState) {
	f.delay = min(max(2*f.delay, firstRetryDelay), maxRetryDelay)
	f.pending = true
	f.content = max(f.content, content)
	f.retryAt = time.Now().Add(f.delay)
}
