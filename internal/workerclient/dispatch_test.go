package workerclient

import (
	"errors"
	"slices"
	"testing"
	"time"

	"crankhold/policy"
)

// When a connection ends, a request of which a byte is still unsent never ran, and is sent again over another
// connection to the same worker as the same attempt. A request that was sent whole may have run.
func TestOnlyUnsentRequestsAreResent(t *testing.T) {
	for name, test := range map[string]struct {
		unsent       int
		wantOutcomes []policy.Outcome
		indices      []int
	}{
		"whole":                 {0, []policy.Outcome{policy.ConnectionReset}, []int{0}},
		"all but its last byte": {1, nil, []int{0, 1}},
		"nothing sent":          {100, nil, []int{0, 1}},
	} {
		p := newTestPoolWithTwoAddresses()
		p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
		p.transports[0].handler.DialCompleted(nil)
		p.transports[0].Unsent = test.unsent
		p.transports[0].handler.Closed(errors.New("reset"))
		if len(p.transports) > 1 {
			p.transports[1].handler.DialCompleted(nil)
		}
		if indices := transportsWithRun(p.transports, requestID); !slices.Equal(indices, test.indices) || !slices.Equal(p.recorder.outcomes[attempt], test.wantOutcomes) {
			t.Errorf("%s: written over %v, outcomes %v", name, indices, p.recorder.outcomes[attempt])
		}
	}
	// A request is resent only a limited number of times, and not to a draining worker.
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	for i := 0; i < len(p.transports) && i < 20; i++ {
		p.transports[i].handler.DialCompleted(nil)
		p.transports[i].Unsent = 1
		p.transports[i].handler.Closed(errors.New("reset"))
	}
	if got := p.recorder.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || p.Counters.RequestsResent != maxResends {
		t.Errorf("outcomes %v after %d resends", got, p.Counters.RequestsResent)
	}
	p = newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	p.SetWorker(7, nil, policy.Draining)
	p.transports[0].Unsent = 1
	p.transports[0].handler.Closed(errors.New("reset"))
	if got := p.recorder.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(p.transports) != 1 {
		t.Errorf("draining worker: outcomes %v on %d connections", got, len(p.transports))
	}
}
