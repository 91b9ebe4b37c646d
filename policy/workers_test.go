package policy

import "testing"

func TestRestartForgetsReplicas(t *testing.T) {
	h := newHarness(t, config(), 3)
	w := h.serve(7, 1100*ms, StartedLoad)
	h.handle(EndpointList{Workers: []Endpoint{{Worker: w, State: Ready, Started: h.now}}})
	if h.p.workers.byID[w].replicas[7].loadedUntil > h.now {
		t.Error("a replica still counts as loaded after a restart")
	}
}

func TestNothingIsSentToADrainingWorker(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.handle(EndpointList{Workers: []Endpoint{{Worker: 1, State: Draining}}})
	if _, actions := h.arrive(0, 7); has[StartAttempt](actions) {
		t.Error("sent to a draining worker")
	}
}
