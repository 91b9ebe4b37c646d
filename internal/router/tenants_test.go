package router

import (
	"testing"
	"time"

	"crankhold/policy"
)

// A tenant that floods is refused what is beyond its share, by its name as fronts word it; another is served, and who
// names none of the settings' tenants has no share at all.
func TestTenantsAreToldApartByName(t *testing.T) {
	module, err := policy.New(policy.Config{Routers: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, OverQuotaWeight: 0.2,
		Tenants: []policy.Tenant{{RequestsPerSecond: 4}, {RequestsPerSecond: 1000}},
		Classes: []policy.Class{{LatencyObjective: 100 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c, w := New(module, Limits{MaxConcurrentRequests: 1000, MaxBytes: 1 << 20, Tenants: []string{"small", "large"}}), &silentWorkers{}
	c.SetWorkerClient(w)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	refused := map[string]int{}
	n := uint64(0)
	for range 40 {
		for _, tenant := range []string{"small", "large", "nobody", ""} {
			n++
			c.Accept(time.Second, Request{ID: idOf(n), FunctionKey: idOf(7), Function: 7, LoadTime: 200 * time.Millisecond, Tenant: tenant,
				Deadline: 3 * time.Second, Asker: verdicts(func(a Response) {
					if a.Status == Rejected {
						refused[tenant]++
					}
				})})
		}
		c.Process(time.Second)
	}
	if refused["large"] != 0 || refused["small"] < 20 || refused["nobody"] != 40 || refused[""] != 40 {
		t.Errorf("refused %v", refused)
	}
}

type verdicts func(Response)

func (v verdicts) Respond(a Response) { v(a) }

// silentWorkers answers nothing.
type silentWorkers struct{}

func (silentWorkers) StartAttempt(policy.WorkerID, Attempt, *Request, time.Duration) {}
func (silentWorkers) CancelAttempt(policy.WorkerID, Attempt)                         {}
func (silentWorkers) WithdrawUnsent(policy.WorkerID, Attempt) bool                   { return false }
func (silentWorkers) Load(policy.WorkerID, policy.FunctionID, int, uint64)           {}
func (silentWorkers) AbandonCommand(policy.WorkerID, uint64)                         {}
func (silentWorkers) Unload(policy.WorkerID, policy.FunctionID)                      {}
func (silentWorkers) CheckHealth(policy.WorkerID, uint64)                            {}
func (silentWorkers) CloseIdle(policy.WorkerID)                                      {}

func idOf(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n>>(4*i)&15]
	}
	return string(b[:])
}
