package benchmark

import (
	"strings"
	"testing"
)

func TestRouterLogFindsEventsAndCounters(t *testing.T) {
	l := newRouterLog()
	l.readFrom(strings.NewReader("level=INFO event=counters_reported dials=1 resent=2\n" +
		"level=INFO event=routes_reloaded\n" +
		"level=INFO event=counters_reported dials=3 resent=4\n" +
		"level=INFO event=counters_reported loads=5\n"))
	expectEqual(t, len(l.event(eventRoutesReloaded)), 1)
	expectEqual(t, l.counter("dials", "resent"), "4")
	expectEqual(t, l.counter("dials", "absent"), "")
	expectEqual(t, l.tail(1, "; "), "level=INFO event=counters_reported loads=5")
	expectEqual(t, strings.Count(l.joined(), "; "), 3)
}
