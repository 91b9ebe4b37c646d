package route

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/policy"
)

// compilePoolSpecs compiles a table of these pools, each with its own route.
func compilePoolSpecs(t testing.TB, specs ...PoolSpec) *Table {
	t.Helper()
	s := &Spec{Pools: specs}
	for _, p := range specs {
		s.Routes = append(s.Routes, RouteSpec{Name: p.Name, Pool: p.Name, Tenants: []string{p.Name}})
	}
	return mustCompile(t, s)
}

// countWithin returns how many of the times are within the window that ends now.
func countWithin(window, now time.Duration, times []time.Duration) (count int) {
	for _, at := range times {
		if at > now-window {
			count++
		}
	}
	return count
}

// At every instant of a random history, the exact number of overflows of the last ten seconds is at most the configured
// share of the requests of that time, or the configured rate times ten seconds.
func TestOverflowStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		first, second := unlimitedPool("a"), unlimitedPool("b")
		first.Fallback, first.OverflowShare = "b", share
		second.Fallback, second.OverflowRate = "c", 2.5
		table := mustCompile(t, &Spec{Pools: []PoolSpec{first, second, unlimitedPool("c")}})
		a, b, now := table.pool("a"), table.pool("b"), time.Duration(0)
		var requests, overflowsOfA, overflowsOfB []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1000, 30_000, 99_999, 400_000, 15_000_000}).Draw(t, "passes")) * time.Microsecond
			a.RequestRouted(now)
			requests = append(requests, now)
			if a.Overflow(now) != nil {
				overflowsOfA = append(overflowsOfA, now)
				if b.Overflow(now) != nil {
					overflowsOfB = append(overflowsOfB, now)
				}
			}
			limit := share * float64(countWithin(overflowWindow, now, requests))
			if got := countWithin(overflowWindow, now, overflowsOfA); float64(got) > limit {
				t.Fatalf("at %v: %d requests overflowed in ten seconds, the limit is %v", now, got, limit)
			}
			if got := countWithin(overflowWindow, now, overflowsOfB); got > 25 {
				t.Fatalf("at %v: %d requests overflowed in ten seconds, the limit is 25", now, got)
			}
		}
	})
}

// The overflow limit is not too strict: nearly the whole share can overflow.
func TestOverflowUsesItsShare(t *testing.T) {
	first := unlimitedPool("a")
	first.Fallback, first.OverflowShare = "b", 0.5
	p := compilePoolSpecs(t, first, unlimitedPool("b")).pool("a")
	overflowed := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		p.RequestRouted(now)
		if p.Overflow(now) != nil {
			overflowed++
		}
	}
	if overflowed < 480 || p.Overflows != uint64(overflowed) || p.OverflowsDenied != uint64(1000-overflowed) {
		t.Errorf("%d of 1000 requests overflowed, want nearly 500", overflowed)
	}
}

// The loads of all pools together never exceed the load budget, whichever pools load and when.
func TestLoadSharesStayWithinTheLoadBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		half, fifth := unlimitedPool("a"), unlimitedPool("b")
		half.LoadShare, fifth.LoadShare = 0.5, 0.2
		table := mustCompile(t, &Spec{Pools: []PoolSpec{half, fifth, unlimitedPool("c"), unlimitedPool("d")}})
		var loads []time.Duration
		now, budget := time.Duration(0), rapid.Float64Range(0, 60).Draw(t, "budget")
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 500_000).Draw(t, "passes")) * time.Microsecond
			p := table.pools[rapid.IntRange(0, 3).Draw(t, "pool")]
			if p.MayLoad(now, budget) {
				p.LoadStarted(now)
				loads = append(loads, now)
			}
			if n := countWithin(defaultLoadWindow, now, loads); float64(n) > budget {
				t.Fatalf("%d loads in the window, the budget is %v", n, budget)
			}
		}
	})
}

func TestSinglePoolWithoutLoadShareAddsNoLoadLimit(t *testing.T) {
	table := compilePoolSpecs(t, unlimitedPool("a"))
	if !table.pool("a").MayLoad(0, 0) {
		t.Error("the only pool has no load share, and still limits loads by itself")
	}
}

// After a reload, a pool continues with the counters of the old pool of the same name, or of the same limits if it is
// renamed. A lowered limit also counts the attempts that are already in flight. The pools without a load share still
// count their loads in one window.
func TestCarryOverKeepsPoolCounters(t *testing.T) {
	old := compilePoolSpecs(t, cappedPool("a", 5), cappedPool("b", 7), cappedPool("c", 9))
	for _, p := range old.pools {
		for range p.Spec.MaxInFlight {
			p.AttemptStarted()
		}
	}
	old.pool("a").LoadStarted(0)
	next := compilePoolSpecs(t, cappedPool("a", 2), cappedPool("renamed", 7), cappedPool("new", 3))
	next.CarryOver(old)
	for name, want := range map[string]int{"a": 5, "renamed": 7, "new": 0} {
		if got := next.pool(name).InFlight(); got != want {
			t.Errorf("pool %s has %d attempts in flight after the reload, want %d", name, got, want)
		}
	}
	for range 4 {
		old.pool("a").AttemptCompleted() // these attempts started under the old table
		if next.pool("a").HasCapacity() && next.pool("a").InFlight() >= 2 {
			t.Error("the pool has capacity beyond the lowered limit")
		}
	}
	if !next.pool("a").HasCapacity() || next.pool("renamed").HasCapacity() || !next.pool("new").HasCapacity() {
		t.Error("attempts in flight are not counted correctly after the reload")
	}
	if got := next.pool("new").loads.upperBound(0); got != 1 {
		t.Errorf("%d loads of the pools without a load share, want 1", got)
	}
}

// Each condition of a selector selects the right workers. The static entry of a worker takes precedence over the
// endpoint list.
func TestPoolsSelectWorkers(t *testing.T) {
	s := &Spec{Workers: []Worker{{Name: "s-2", Kind: "large", Labels: map[string]string{"rack": "r1"}}}}
	cases := []struct {
		name     string
		selector Selector
		want     []policy.WorkerID
	}{
		{"large", Selector{Kinds: []string{"lar*"}}, []policy.WorkerID{1, 2}},
		{"cell", Selector{Cells: []int{3}}, []policy.WorkerID{1, 2, 3}},
		{"rack", Selector{Labels: []Label{{"rack", []string{"r1", "r2"}}}}, []policy.WorkerID{2}},
		{"big", Selector{MemoryMB: 9000}, []policy.WorkerID{1}},
		{"id", Selector{IDs: []string{"s-1", "t-*"}}, []policy.WorkerID{1, 3}},
		{"both", Selector{Kinds: []string{"small"}, Cells: []int{3}}, []policy.WorkerID{3}},
		{"zone", Selector{Zones: []string{"east"}}, []policy.WorkerID{2}},
	}
	for _, c := range cases {
		p := unlimitedPool(c.name)
		p.Selectors = []Selector{c.selector}
		s.Pools = append(s.Pools, p)
	}
	table := mustCompile(t, s)
	table.SetWorkers([]Worker{
		{ID: 1, Name: "s-1", Kind: "large", Cell: policy.KnownGroup(3), MemoryMB: 10240},
		{ID: 2, Name: "s-2", Kind: "small", Cell: policy.KnownGroup(3), Zone: "east"},
		{ID: 3, Name: "t-9", Kind: "small", Cell: policy.KnownGroup(3)},
	})
	for _, c := range cases {
		for id := range policy.WorkerID(4) {
			if table.pool(c.name).Contains(id) != slices.Contains(c.want, id) {
				t.Errorf("pool %s: membership of worker %d is wrong", c.name, id)
			}
		}
	}
}
