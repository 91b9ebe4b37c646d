package router

import (
	"testing"
	"time"

	"crankhold/policy"
)

// A tenant that floods is refused what is beyond its share, by its name as fronts word it; another is served, and who
// names none of the settings' tenants has no share at all.
func TestTenantsAreToldApartByName(t *testing.T) {
	module, err := policy.New(policy.Config{Replicas: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, OverQuotaWeight: 0.2,
		Tenants: []policy.Tenant{{RequestsPerSecond: 4}, {RequestsPerSecond: 1000}},
		Classes: []policy.Class{{LatencyObjective: 100 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c, w := New(module, Limits{MaxOpen: 1000, MaxBytes: 1 << 20, Tenants: []string{"small", "large"}}), &silentWorkers{}
	c.Use(w)
	c.SetList(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	refused := map[string]int{}
	n := uint64(0)
	for range 40 {
		for _, tenant := range []string{"small", "large", "nobody", ""} {
			n++
			c.Take(time.Second, Request{ID: idOf(n), Key: idOf(7), Function: 7, LoadTime: 200 * time.Millisecond, Tenant: tenant,
				Deadline: 3 * time.Second, Asker: verdicts(func(a Answer) {
					if a.Verdict == Refused {
						refused[tenant]++
					}
				})})
		}
		c.Turn(time.Second)
	}
	if refused["large"] != 0 || refused["small"] < 20 || refused["nobody"] != 40 || refused[""] != 40 {
		t.Errorf("refused %v", refused)
	}
}

type verdicts func(Answer)

func (v verdicts) Answered(a Answer) { v(a) }

// silentWorkers answers nothing.
type silentWorkers struct{}

func (silentWorkers) Run(policy.WorkerID, Attempt, *Request, time.Duration) {}
func (silentWorkers) Stop(policy.WorkerID, Attempt)                         {}
func (silentWorkers) Withdraw(policy.WorkerID, Attempt) bool                { return false }
func (silentWorkers) Hold(policy.WorkerID, policy.FunctionID, int, uint64)  {}
func (silentWorkers) Forget(policy.WorkerID, uint64)                        {}
func (silentWorkers) Free(policy.WorkerID, policy.FunctionID)               {}
func (silentWorkers) Probe(policy.WorkerID, uint64)                         {}
func (silentWorkers) CloseIdle(policy.WorkerID)                             {}

func idOf(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n>>(4*i)&15]
	}
	return string(b[:])
}
