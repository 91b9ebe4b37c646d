package workerclient

import (
	"errors"
	"testing"

	"crankhold/policy"
)

// Guards workers that are well against connections that break under a health check: it goes over another one, so
// that only a worker that refuses, or breaks them all, counts as having failed it.
func TestHealthCheckOutlivesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		resets int
		last   func(l *fakeTransport)
		want   policy.Outcome
	}{
		"well": {1, func(l *fakeTransport) {
			l.handler.DialCompleted(nil)
			l.handler.Data([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n"))
		}, policy.Served},
		"died":   {1, func(l *fakeTransport) { l.handler.DialCompleted(errors.New("refused")) }, policy.Unreachable},
		"breaks": {maxHealthCheckResends, func(l *fakeTransport) { l.handler.DialCompleted(nil); l.handler.Closed(errors.New("reset")) }, policy.ConnectionReset},
	} {
		p, s, transports := newPool()
		p.CheckHealth(1, 7)
		for i := range c.resets {
			(*transports)[i].handler.DialCompleted(nil)
			if (*transports)[i].handler.Closed(errors.New("reset")); len(s.commandOutcomes[7]) != 0 || len(*transports) != i+2 {
				t.Fatalf("%s: ended %v on %d connections", name, s.commandOutcomes[7], len(*transports))
			}
		}
		c.last((*transports)[c.resets])
		if len(s.commandOutcomes[7]) != 1 || s.commandOutcomes[7][0] != c.want || len(*transports) != c.resets+1 {
			t.Errorf("%s: ended %v on %d connections", name, s.commandOutcomes[7], len(*transports))
		}
	}
}
