package notice

import (
	"net/url"
	"testing"
	"time"
)

// Due notices are taken in their order, at most as many as the limit. The time of the next notice ignores notices that
// only wait because of the limit.
func TestQueueTakesDueNoticesUpToTheLimit(t *testing.T) {
	now := time.Hour
	for _, test := range []struct {
		name     string
		limit    int
		due      string
		left     int
		nextTime time.Duration
	}{
		{"all", 4, "ac", 2, now + time.Second},
		{"as many as are due", 2, "ac", 2, now + time.Minute}, // b is visited before the limit is reached
		{"one", 1, "a", 3, now + idleTickInterval},
		{"none", 0, "", 4, now + idleTickInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			var queue noticeQueue
			queue.add(&notice{id: "a", due: now})
			queue.add(&notice{id: "b", due: now + time.Minute})
			queue.add(&notice{id: "c", due: now - time.Minute})
			queue.add(&notice{id: "d", due: now + time.Second})
			due, next := queue.takeDue(now, test.limit)
			ids := ""
			for _, n := range due {
				ids += n.id
			}
			if ids != test.due || queue.len() != test.left || next != test.nextTime {
				t.Errorf("due %q, %d left, next at %v; want %q, %d, %v", ids, queue.len(), next, test.due, test.left, test.nextTime)
			}
		})
	}
}

func TestRetryDelayGrowsUpToItsLimit(t *testing.T) {
	for _, test := range []struct {
		failures int
		longest  time.Duration
	}{{1, time.Second}, {2, 4 * time.Second}, {3, 16 * time.Second}, {6, maxBackoff}, {20, maxBackoff}} {
		for range 100 {
			if delay := retryDelay(time.Second, test.failures); delay < test.longest/2 || delay > test.longest {
				t.Errorf("after %d failures: %v, want %v to %v", test.failures, delay, test.longest/2, test.longest)
			}
		}
	}
}

func TestConnectAddress(t *testing.T) {
	for _, test := range []struct{ url, connect, want string }{
		{"http://hooks.example.org/n", "", "hooks.example.org:80"},
		{"http://hooks.example.org:8080/n", "", "hooks.example.org:8080"},
		{"http://hooks.example.org/n", "192.0.2.1:99", "192.0.2.1:99"},
	} {
		target, err := url.Parse(test.url)
		if err != nil {
			t.Fatal(err)
		}
		if got := connectAddress(test.connect, target); got != test.want {
			t.Errorf("URL %s with connect = %q: %q, want %q", test.url, test.connect, got, test.want)
		}
	}
}
