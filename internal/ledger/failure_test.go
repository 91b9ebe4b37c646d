package ledger

import (
	"testing"
	"time"
)

// The delay between retries doubles up to its limit. Once the content is unknown, it stays unknown until the file has
// recovered, even if later failures leave it known.
func TestFailureDelaysRetries(t *testing.T) {
	var failure fileFailure
	if failure.retryAfter() != nil || failure.retryDue() {
		t.Error("a retry is scheduled without a failure")
	}
	failure.add(contentUnknown)
	if !failure.pending || failure.retryDue() || failure.delay != firstRetryDelay {
		t.Errorf("after the first failure: %+v", failure)
	}
	failure.retryNow()
	if !failure.retryDue() {
		t.Error("the retry is not due")
	}
	<-failure.retryAfter()
	for want := 2 * firstRetryDelay; want < 4*maxRetryDelay; want *= 2 {
		failure.add(contentKnown)
		if failure.delay != min(want, maxRetryDelay) || failure.content != contentUnknown {
			t.Errorf("%+v, want a delay of %v", failure, min(want, maxRetryDelay))
		}
	}
	if remaining := time.Until(failure.retryAt); remaining <= 0 || remaining > maxRetryDelay {
		t.Errorf("the retry is due in %v", remaining)
	}
}
