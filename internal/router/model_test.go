package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/policy"
)

// modelRequest is the model's state of a request.
type modelRequest struct {
	responder             *recordingResponder
	class                 int
	deadline              time.Duration
	canceled              bool
	mayHaveRun            bool // an attempt completed without proof that it never ran
	startedWhenMayHaveRun int  // number of attempts that had been started when mayHaveRun was last set
}

// routerModel calls a core at random and checks it after each step.
type routerModel struct {
	core     *Core
	workers  *fakeWorkerClient
	now      time.Duration
	requests map[policy.RequestID]*modelRequest
	sent     int // number of requests passed to the core
}

// Each request that is not canceled gets one final response before its deadline. The response never denies that the
// request may have run. A request that is not idempotent is not sent again once it may have run.
func TestEachRequestGetsOneTruthfulResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core, workers := newTestCore(t, rapid.Uint64().Draw(t, "seed"))
		m := &routerModel{core: core, workers: workers, now: start, requests: map[policy.RequestID]*modelRequest{}}
		m.changeEndpoints(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept request":        m.acceptRequest,
			"complete attempt":      m.completeAttempt,
			"complete load":         m.completeLoad,
			"complete health check": m.completeHealthCheck,
			"cancel request":        m.cancelRequest,
			"change endpoints":      m.changeEndpoints,
			"advance time":          m.advanceTime,
			"":                      m.processAndCheck,
		})
	})
}

func (m *routerModel) changeEndpoints(t *rapid.T) {
	states := []policy.WorkerState{policy.Ready, policy.Ready, policy.Draining, policy.Gone}
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for id := policy.WorkerID(1); id <= 4; id++ {
		state := rapid.SampledFrom(states).Draw(t, "state")
		list.Workers = append(list.Workers, policy.Endpoint{Worker: id, State: state, Weight: 1})
	}
	m.core.SetEndpoints(list)
}

func (m *routerModel) acceptRequest(t *rapid.T) {
	request := &modelRequest{responder: &recordingResponder{}, class: rapid.IntRange(0, 1).Draw(t, "class")}
	request.deadline = m.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "time to deadline in ms"))*ms
	m.sent++
	id := m.core.Accept(m.now, Request{
		Responder: request.responder,
		ID:        hexID(uint64(m.sent)),
		Class:     request.class,
		Function: Function{
			Key:      "00000000000000aa",
			ID:       policy.FunctionID(rapid.IntRange(1, 3).Draw(t, "function")),
			Lanes:    1,
			LoadTime: 500 * ms,
		},
		Body:     make([]byte, rapid.IntRange(0, 4000).Draw(t, "body size")),
		Deadline: request.deadline,
	})
	if id != 0 {
		m.requests[id] = request
		return
	}
	// The core had no capacity for the request and must have rejected it.
	responses := request.responder.responses
	if len(responses) != 1 || responses[0].Status != Rejected {
		t.Fatal("not accepted and not rejected")
	}
}

func (m *routerModel) completeAttempt(t *rapid.T) {
	attempt, ok := drawKey(t, m.workers.inFlight)
	if !ok {
		return
	}
	outcome := rapid.SampledFrom([]policy.Outcome{policy.Served, policy.Failed, policy.Overloaded, policy.Unreachable,
		policy.ConnectionReset, policy.NotSent, policy.NotLoaded, policy.ProcessReplaced, policy.Saturated}).Draw(t, "outcome")
	delete(m.workers.inFlight, attempt)
	if request := m.requests[attempt.Request]; request != nil && !outcome.NeverRan() {
		request.mayHaveRun = true
		request.startedWhenMayHaveRun = len(m.workers.started[attempt.Request])
	}
	m.core.AttemptCompleted(attempt, AttemptResult{Outcome: outcome, Body: []byte("done")})
	// A second result has no effect.
	m.core.AttemptCompleted(attempt, AttemptResult{Outcome: policy.Served, Body: []byte("again")})
}

func (m *routerModel) completeLoad(t *rapid.T) {
	commandID, ok := drawKey(t, m.workers.loads)
	if !ok {
		return
	}
	delete(m.workers.loads, commandID)
	outcome := rapid.SampledFrom([]policy.Outcome{policy.Served, policy.Overloaded, policy.Failed}).Draw(t, "outcome")
	m.core.LoadCompleted(commandID, outcome, 1)
}

func (m *routerModel) completeHealthCheck(t *rapid.T) {
	commandID, ok := drawKey(t, m.workers.healthChecks)
	if !ok {
		return
	}
	delete(m.workers.healthChecks, commandID)
	m.core.HealthCheckCompleted(commandID, policy.Served, []float64{1})
}

func (m *routerModel) cancelRequest(t *rapid.T) {
	id, ok := drawKey(t, m.requests)
	if !ok || len(m.requests[id].responder.responses) > 0 {
		return
	}
	m.requests[id].canceled = true
	m.core.CancelRequest(m.now, id)
}

func (m *routerModel) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
}

func (m *routerModel) processAndCheck(t *rapid.T) {
	next := m.core.Process(m.now)
	if next <= m.now {
		t.Fatalf("Process at %v wants to be called again at %v", m.now, next)
	}
	open := 0
	for id, request := range m.requests {
		m.checkResponses(t, id, request)
		if len(request.responder.responses) == 0 && !request.canceled {
			open++
		}
	}
	if m.core.OpenRequests() != open {
		t.Fatalf("%d open requests, the model has %d", m.core.OpenRequests(), open)
	}
}

func (m *routerModel) checkResponses(t *rapid.T, id policy.RequestID, request *modelRequest) {
	responses := request.responder.responses
	notIdempotent := request.class == 1
	if len(responses) > 1 || request.canceled && len(responses) > 0 {
		t.Fatalf("request %d has %d responses, canceled %v", id, len(responses), request.canceled)
	}
	if len(responses) == 0 && !request.canceled && m.now >= request.deadline {
		t.Fatalf("request %d has no response at its deadline", id)
	}
	if notIdempotent && request.mayHaveRun && len(m.workers.started[id]) > request.startedWhenMayHaveRun {
		t.Fatalf("request %d is not idempotent and was sent again though it may have run", id)
	}
	if len(responses) == 0 {
		return
	}
	response := responses[0]
	if response.Status == Rejected && notIdempotent && (request.mayHaveRun || response.MayHaveRun) {
		t.Fatalf("request %d is not idempotent and was rejected though it may have run", id)
	}
	if request.mayHaveRun && !response.MayHaveRun {
		t.Fatalf("request %d may have run and its response denies it", id)
	}
}

// drawKey draws one key of m, or returns false if m is empty. It sorts the keys so that a failing run can be repeated.
func drawKey[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	if len(m) == 0 {
		var zero K
		return zero, false
	}
	var keys []K
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return strings.Compare(fmt.Sprintf("%20v", a), fmt.Sprintf("%20v", b))
	})
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}
