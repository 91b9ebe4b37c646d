package policy

import "testing"

func TestRestartForgetsReplicas(t *testing.T) {
	b := newHarness(t, config(), 3)
	w := b.serve(7, 1100*ms, StartedLoad)
	b.handle(EndpointList{Workers: []Endpoint{{Worker: w, State: Ready, Started: b.now}}})
	if b.p.workers.byID[w].replicas[7].loadedUntil > b.now {
		t.Error("a restarted worker is still thought warm")
	}
}

func TestNothingIsSentToADrainingWorker(t *testing.T) {
	b := newHarness(t, config(), 1)
	b.handle(EndpointList{Workers: []Endpoint{{Worker: 1, State: Draining}}})
	if _, acts := b.arrive(0, 7); has[StartAttempt](acts) {
		t.Error("sent to a draining worker")
	}
}
