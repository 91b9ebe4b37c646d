package router

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/policy"
)

const ms = time.Millisecond

// start is the time at which most tests start.
const start = time.Hour

// fakeWorkerClient records attempts and commands. The tests complete them.
type fakeWorkerClient struct {
	core         *Core
	started      map[policy.RequestID][]Attempt // all attempts that were ever started, in order
	inFlight     map[Attempt]policy.WorkerID
	unsent       map[Attempt]bool // attempts in flight that wait for a dial
	dialing      bool             // new attempts wait for a dial
	loads        map[uint64]bool
	healthChecks map[uint64]bool
}

func newFakeWorkerClient() *fakeWorkerClient {
	return &fakeWorkerClient{
		started:      map[policy.RequestID][]Attempt{},
		inFlight:     map[Attempt]policy.WorkerID{},
		unsent:       map[Attempt]bool{},
		loads:        map[uint64]bool{},
		healthChecks: map[uint64]bool{},
	}
}

// StartAttempt implements WorkerClient. It panics if the budget is not positive or ends after the request's deadline.
func (f *fakeWorkerClient) StartAttempt(worker policy.WorkerID, a Attempt, r *Request, budget time.Duration) {
	if budget <= 0 || f.core.timers.now+budget > r.Deadline {
		panic(fmt.Sprintf("budget %v at %v, deadline %v", budget, f.core.timers.now, r.Deadline))
	}
	f.inFlight[a] = worker
	if f.dialing {
		f.unsent[a] = true
	}
	f.started[a.Request] = append(f.started[a.Request], a)
}

// WithdrawUnsent implements WorkerClient.
func (f *fakeWorkerClient) WithdrawUnsent(_ policy.WorkerID, a Attempt) bool {
	if !f.unsent[a] {
		return false
	}
	delete(f.unsent, a)
	delete(f.inFlight, a)
	return true
}

// CancelAttempt implements WorkerClient.
func (f *fakeWorkerClient) CancelAttempt(_ policy.WorkerID, a Attempt) { delete(f.inFlight, a) }

// Load implements WorkerClient.
func (f *fakeWorkerClient) Load(_ policy.WorkerID, _ policy.FunctionID, _ int, commandID uint64) {
	f.loads[commandID] = true
}

// CheckHealth implements WorkerClient.
func (f *fakeWorkerClient) CheckHealth(_ policy.WorkerID, commandID uint64) {
	f.healthChecks[commandID] = true
}

// CancelCommand implements WorkerClient.
func (f *fakeWorkerClient) CancelCommand(_ policy.WorkerID, commandID uint64) {
	delete(f.loads, commandID)
	delete(f.healthChecks, commandID)
}

// Unload implements WorkerClient.
func (f *fakeWorkerClient) Unload(policy.WorkerID, policy.FunctionID) {}

// CloseIdle implements WorkerClient.
func (f *fakeWorkerClient) CloseIdle(policy.WorkerID) {}

// recordingResponder records the responses to a request.
type recordingResponder struct{ responses []Response }

// Respond implements Responder.
func (r *recordingResponder) Respond(response Response) { r.responses = append(r.responses, response) }

// responderFunc is a function that implements Responder.
type responderFunc func(Response)

// Respond implements Responder.
func (f responderFunc) Respond(response Response) { f(response) }

// testPolicyConfig returns settings with two classes: class 0 is idempotent, class 1 is not.
func testPolicyConfig() policy.Config {
	return policy.Config{
		Routers: 1, Tick: 4 * ms, MaxAttempts: 3, CancelSupported: true, HealthCheckSupported: true, LoadCommandsSupported: true,
		MissWhenNotLoaded: true, LoadStatusReported: true, HedgingAllowed: true, RetryAfterSupported: true, MaxRetryAfter: time.Second,
		OverQuotaWeight: 1, KeepAlive: 10 * time.Second, LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second,
		LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3, DrainGracePeriod: time.Second, LoadReportFields: []string{"inflight"},
		InlineLoadReports: true,
		Classes: []policy.Class{
			{LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Idempotency: policy.Idempotent,
				DeduplicationScope: policy.DeduplicatedEverywhere, PriorityWeight: 3},
			{LatencyObjective: 1200 * ms, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent,
				DeduplicationScope: policy.DeduplicatedEverywhere, PriorityWeight: 5},
		},
	}
}

// attachTo sets the core of the client and returns the client. It is used as Config.NewWorkerClient.
func (f *fakeWorkerClient) attachTo(core *Core) WorkerClient {
	f.core = core
	return f
}

// newTestCore returns a core with the settings of testPolicyConfig, and its fake worker client.
func newTestCore(t rapid.TB, seed uint64) (*Core, *fakeWorkerClient) {
	t.Helper()
	return newTestCoreWith(t, testPolicyConfig(), seed)
}

// newTestCoreWith returns a core with the given settings, and its fake worker client.
func newTestCoreWith(t rapid.TB, policyConfig policy.Config, seed uint64) (*Core, *fakeWorkerClient) {
	t.Helper()
	module, err := policy.New(policyConfig, seed)
	if err != nil {
		t.Fatal(err)
	}
	workers := newFakeWorkerClient()
	return New(module, Config{Limits: testLimits(), NewWorkerClient: workers.attachTo}), workers
}

// testLimits returns the limits of the cores in tests.
func testLimits() Limits {
	return Limits{
		MaxConcurrentRequests: 50,
		MaxBytes:              1 << 16,
		MaxAttempts:           3,
		LoadTimeout:           10 * time.Second,
		HealthCheckTimeout:    250 * ms,
	}
}

// readyWorkers returns an endpoint list of ready workers.
func readyWorkers(ids ...policy.WorkerID) policy.EndpointList {
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for _, id := range ids {
		list.Workers = append(list.Workers, policy.Endpoint{Worker: id, State: policy.Ready})
	}
	return list
}

// hexID formats a number in the format of request IDs and function keys.
func hexID(n uint64) string { return fmt.Sprintf("%016x", n) }

// wantResponses stops the test unless the responder has the wanted number of responses.
func wantResponses(t testing.TB, responder *recordingResponder, want int) {
	t.Helper()
	if len(responder.responses) != want {
		t.Fatalf("responses %+v, want %d", responder.responses, want)
	}
}
