package workerclient

import (
	"errors"
	"testing"

	"crankhold/policy"
)

// Guards workers that are well against connections that break under a health check: it goes over another one, so
// that only a worker that refuses, or breaks them all, counts as having failed it.
func TestHealthCheckOutlivesItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		resets int
		end    func(transport *fakeTransport)
		want   policy.Outcome
	}{
		"well": {1, func(transport *fakeTransport) {
			transport.handler.DialCompleted(nil)
			transport.handler.Data([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n"))
		}, policy.Served},
		"died": {1, func(transport *fakeTransport) { transport.handler.DialCompleted(errors.New("refused")) }, policy.Unreachable},
		"breaks": {maxHealthCheckResends, func(transport *fakeTransport) {
			transport.handler.DialCompleted(nil)
			transport.handler.Closed(errors.New("reset"))
		}, policy.ConnectionReset},
	} {
		p := newTestPool()
		p.CheckHealth(1, 7)
		for i := range test.resets {
			p.transports[i].handler.DialCompleted(nil)
			if p.transports[i].handler.Closed(errors.New("reset")); len(p.recorder.commandOutcomes[7]) != 0 || len(p.transports) != i+2 {
				t.Fatalf("%s: ended %v on %d connections", name, p.recorder.commandOutcomes[7], len(p.transports))
			}
		}
		test.end(p.transports[test.resets])
		if len(p.recorder.commandOutcomes[7]) != 1 || p.recorder.commandOutcomes[7][0] != test.want || len(p.transports) != test.resets+1 {
			t.Errorf("%s: ended %v on %d connections", name, p.recorder.commandOutcomes[7], len(p.transports))
		}
	}
}
