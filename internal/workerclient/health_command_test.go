package workerclient

import (
	"errors"
	"testing"

	"crankhold/policy"
)

// A connection that is reset during a health check must not make a healthy worker count as failed: the check is sent
// again over another connection. Only a worker that refuses the connection, or resets every one, has failed the check.
func TestHealthCheckOutlivesItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		resets int
		end    func(transport *fakeTransport)
		want   policy.Outcome
	}{
		"well": {1, func(transport *fakeTransport) {
			transport.handler.DialCompleted(nil)
			transport.handler.Data(encodeResponse("p7", "PONG", ""))
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
				t.Fatalf("%s: outcomes %v on %d connections", name, p.recorder.commandOutcomes[7], len(p.transports))
			}
		}
		test.end(p.transports[test.resets])
		if len(p.recorder.commandOutcomes[7]) != 1 || p.recorder.commandOutcomes[7][0] != test.want || len(p.transports) != test.resets+1 {
			t.Errorf("%s: outcomes %v on %d connections", name, p.recorder.commandOutcomes[7], len(p.transports))
		}
	}
}
