package simulation

import (
	"fmt"
	"testing"
	"time"
)

// idleReplicas says whether idle replicas are kept, or unloaded when other replicas need the memory.
type idleReplicas bool

const (
	idleUnloaded idleReplicas = false
	idleKept     idleReplicas = true
)

// runRelease runs a fleet under low load whose workers' memory is full. After four seconds, clients request a new
// version of four in ten functions.
func runRelease(t *testing.T, routers int, idle idleReplicas) *story {
	t.Helper()
	s := &story{}
	if err := s.givenFleet(routers, 20, rejectNotLoaded); err != nil {
		t.Fatal(err)
	}
	s.cfg.Functions = 100
	s.cfg.ReplicasPerWorker = 6
	s.cfg.KeepIdleReplicas = bool(idle)
	if err := s.build(); err != nil {
		t.Fatal(err)
	}
	s.fleet.Traffic("", 0, 600, 12*time.Second)
	s.fleet.After(4*time.Second, func() { s.fleet.Release(4) })
	s.fleet.Run(16 * time.Second)
	return s
}

// newVersionsServed returns the percentage of requests for new versions that were served in time, among those sent in
// the first four seconds after the release, and the number of those requests.
func (s *story) newVersionsServed() (percent, n int) {
	early := func(r *Request) bool { return r.NewVersion && r.SentAt < time.Hour+8*time.Second }
	return percentOf(s.fleet.Requests, early, servedWithin(time.Second))
}

// New versions are served soon after their release: idle replicas of old versions are unloaded to free memory, and the
// load commands stay within each router's load budget, which the fleet counts independently of the decision module.
func TestNewVersionsAreServedSoonAfterRelease(t *testing.T) {
	for _, routers := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := runRelease(t, routers, idleUnloaded)
			percent, n := s.newVersionsServed()
			t.Logf("%d in 100 of %d early requests for new versions were served in time", percent, n)
			if percent < 70 || n < 100 {
				t.Errorf("%d in 100 of %d early requests for new versions were served in time", percent, n)
			}
			for i, r := range s.fleet.Routers {
				commands := len(r.budget.loadCommands)
				if r.Violations.LoadsOverBudget > 0 || commands == 0 && routers < 100 {
					t.Errorf("router %d sent %d load commands, %d over its budget", i, commands, r.Violations.LoadsOverBudget)
				}
			}
			if err := s.thenEachRequestHasOneResponse(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Verifies the check above: if idle replicas are not unloaded, new versions are not served.
func TestNewVersionsWithoutCapacityAreNotServed(t *testing.T) {
	s := runRelease(t, 30, idleKept)
	if percent, n := s.newVersionsServed(); percent >= 70 {
		t.Errorf("%d in 100 of %d early requests were served although no replica was unloaded", percent, n)
	}
}
