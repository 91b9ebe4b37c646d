package discovery

import (
	"testing"
	"time"
)

// Queries without a response are repeated with a backoff that doubles up to the poll interval. A confirmed list resets
// the backoff. Jitter shortens each delay by at most a fifth.
func TestPollScheduleBacksOff(t *testing.T) {
	const now = time.Hour
	schedule := newPollSchedule(1, time.Second)
	within := func(name string, longest time.Duration) {
		t.Helper()
		if delay := schedule.next - now; delay > longest || delay <= longest*4/5 {
			t.Errorf("%s: next after %v, want at most %v", name, delay, longest)
		}
	}
	for _, longest := range []time.Duration{initialBackoff, 2 * initialBackoff, schedule.interval, schedule.interval} {
		schedule.scheduleRetry(now)
		within("retry", longest)
		schedule.querySent(now)
	}
	schedule.listConfirmed(now)
	within("confirmed", schedule.interval)
	schedule.scheduleRetry(now)
	within("retry after a confirmed list", initialBackoff)
	if schedule.listConfirmed(now + time.Minute); schedule.next != now+time.Minute {
		t.Errorf("a late confirmation: next at %v", schedule.next)
	}
}
