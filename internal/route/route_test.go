package route

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
	"crankhold/policy"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var (
	classes       = []string{"dim-level", "fault-check", "repair-order"}
	notIdempotent = []bool{false, false, true}
	functions     = []uint64{0, 0x7 << 60, 0x7f << 56, 0x7f3a << 48, 0x7f3a9c21e0b4d655, 0x7f3a9c21e0b4d656, 0x80 << 56, 1}
	tenants       = []string{"", "east", "west", "nobody"}
)

// drawSpec draws up to five routes over three pools, whose caps tell them apart, and two policies.
func drawSpec(t *rapid.T) *Spec {
	s := &Spec{Policies: []PolicySpec{NoPolicy, NoPolicy}}
	for i, name := range []string{"a", "b", "c"} {
		p := PoolSpec{Name: name, MaxInFlight: 10 + i, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}
		if i > 0 && rapid.Bool().Draw(t, "fallback") {
			p.Fallback, p.OverflowShare = s.Pools[i-1].Name, 0.1
		}
		s.Pools = append(s.Pools, p)
	}
	for i := range s.Policies {
		s.Policies[i].Name = fmt.Sprint("p", i)
		s.Policies[i].MaxAttempts = rapid.IntRange(1, 2).Draw(t, "attempts")
		s.Policies[i].RetriesAfterPossibleRun = rapid.IntRange(Unset, 1).Draw(t, "again")
	}
	patterns := []string{"*", "7*", "7f*", "7f3a*", "7f3a9c21e0b4d655", "8*"}
	for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
		r := RouteSpec{Name: fmt.Sprint("r", i), Pool: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "pool"),
			Policy: rapid.SampledFrom([]string{"", "p0", "p1"}).Draw(t, "policy")}
		if rapid.Bool().Draw(t, "by front") {
			r.Fronts = []Front{Front(rapid.IntRange(0, 1).Draw(t, "front"))}
		}
		r.Classes = rapid.SampledFrom([][]string{nil, nil, classes[:1], classes[1:], classes}).Draw(t, "classes")
		r.Tenants = rapid.SampledFrom([][]string{nil, nil, {"east"}, {"east", "west"}}).Draw(t, "tenants")
		for _, p := range rapid.SampledFrom([][]string{nil, {patterns[1]}, {patterns[2]}, {patterns[1], patterns[5]}, {patterns[3]}, {patterns[4]}, {patterns[0]}}).Draw(t, "functions") {
			q, err := ParsePattern(p)
			if err != nil {
				t.Fatal(err)
			}
			r.Functions = append(r.Functions, q)
		}
		s.Routes = append(s.Routes, r)
	}
	return s
}

// matchByRule is the rule of precedence as the pages word it, one route after the other. It returns the route, -1
// for none, and whether another one is as close.
func matchByRule(s *Spec, c Request, class string) (best int, tie bool) {
	best = -1
	var at [4]int
	for i, r := range s.Routes {
		var score [4]int
		if len(r.Fronts) > 0 {
			if !slices.Contains(r.Fronts, c.Front) {
				continue
			}
			score[3] = 1
		}
		if len(r.Classes) > 0 {
			if !slices.Contains(r.Classes, class) {
				continue
			}
			score[2] = 1
		}
		if len(r.Tenants) > 0 {
			if !slices.Contains(r.Tenants, c.Tenant) {
				continue
			}
			score[1] = 1
		}
		if len(r.Functions) > 0 {
			score[0] = -1
			for _, p := range r.Functions {
				if p.Matches(c.Function) {
					score[0] = max(score[0], p.Digits)
				}
			}
			if score[0] < 0 {
				continue
			}
		}
		switch d := slices.Compare(score[:], at[:]); {
		case best < 0 || d > 0:
			best, at, tie = i, score, false
		case d == 0:
			tie = true
		}
	}
	return best, tie
}

// forEachRequest forEachRequest f with each call of the small universe and its class's name.
func forEachRequest(f func(Request, string)) {
	for front := range frontCount {
		for class := range len(classes) + 1 {
			for _, key := range functions {
				for _, tenant := range tenants {
					if front == Thrift && tenant != "" {
						continue
					}
					name := OtherClass
					if class < len(classes) {
						name = classes[class]
					}
					f(Request{front, class, key, tenant}, name)
				}
			}
		}
	}
}

// Guards the table against the rule as it is worded: the same route for every call, a tie where and only where
// two routes are as close, every route that can be reached and every hole.
func TestMatchFollowsThePrecedenceRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSpec(t)
		table, err := Compile(s, classes)
		ties := false
		forEachRequest(func(c Request, class string) {
			_, tie := matchByRule(s, c, class)
			ties = ties || tie
		})
		if err != nil {
			if a := (*AmbiguousRoutesError)(nil); !errors.As(err, &a) {
				t.Fatal(err)
			}
			return
		}
		if ties {
			t.Fatal("two routes are equally close and the table takes one of them")
		}
		reached := table.Reachable()
		seen := make([][]bool, len(s.Routes))
		for i := range seen {
			seen[i] = make([]bool, len(classes)+1)
		}
		holes := table.UnmatchedRegions(true)
		forEachRequest(func(c Request, class string) {
			want, _ := matchByRule(s, c, class)
			got := table.Match(c)
			if want < 0 != (got == nil) || got != nil && got != table.routes[want] {
				t.Fatalf("%+v goes by %+v, want route %d", c, got, want)
			}
			hole := slices.ContainsFunc(holes, func(h Region) bool { return h.Contains(c, class) })
			if hole != (got == nil) {
				t.Fatalf("%+v: hole %v, route %+v", c, hole, got)
			}
			if want >= 0 {
				seen[want][c.Class] = true
			}
		})
		for i := range seen {
			for c := range seen[i] {
				if seen[i][c] && !reached[i][c] {
					t.Fatalf("route %d is reached by class %d and said not to be", i, c)
				}
			}
		}
	})
}

// Guards what Reached says the other way: a route that closer ones cover is not reached, also where it takes all
// sixteen prefixes together to cover it.
func TestCoveredRoutesAreUnreachable(t *testing.T) {
	s := &Spec{Pools: []PoolSpec{{Name: "a", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}}}
	all := RouteSpec{Name: "all", Pool: "a"}
	s.Routes = append(s.Routes, all)
	for d := range 16 {
		s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("r", d), Pool: "a", Functions: []Pattern{{Prefix: uint64(d) << 60, Digits: 1}}})
	}
	table, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	if r := table.Reachable(); slices.Contains(r[0], true) || slices.Contains(r[16], false) {
		t.Errorf("reached: %v and %v", r[0], r[16])
	}
	s.Routes = append(s.Routes[:16:16], RouteSpec{Name: "front", Pool: "a", Fronts: []Front{Thrift}, Functions: []Pattern{{Prefix: 0xf << 60, Digits: 1}}})
	if table, err = Compile(s, classes); err != nil {
		t.Fatal(err)
	}
	if r := table.Reachable(); slices.Contains(r[0], false) {
		t.Errorf("the last sixteenth by webhook is left to the first route: %v", r[0])
	}
}

// Guards the diff against a plain evaluation of each call under both specs: nothing missed, nothing false, and
// no difference for names, order or repetition. Pools keep their identity by their figures or their names.
func TestDiffReportsExactlyTheChangedRequests(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		old := drawSpec(t)
		next := &Spec{Pools: slices.Clone(old.Pools), Policies: slices.Clone(old.Policies), Routes: slices.Clone(old.Routes)}
		name := [3]string{"a", "b", "c"}
		refigured := -1
		switch rapid.IntRange(0, 6).Draw(t, "mutation") {
		case 0: // all pools get other names
			name = [3]string{"x", "a", "y"}
			for i := range next.Pools {
				next.Pools[i].Name = name[i]
				if next.Pools[i].Fallback != "" {
					next.Pools[i].Fallback = name[i-1]
				}
			}
			for i := range next.Routes {
				if j := slices.Index([]string{"a", "b", "c"}, next.Routes[i].Pool); j >= 0 {
					next.Routes[i].Pool = name[j]
				}
			}
		case 1:
			refigured = rapid.IntRange(0, 2).Draw(t, "pool")
			next.Pools[refigured].MaxInFlight += 20
		case 2:
			next.Policies[0].MaxAttempts = 3 - next.Policies[0].MaxAttempts
		case 3:
			next.Policies[1].RetriesAfterPossibleRun = rapid.IntRange(Unset, 1).Draw(t, "again")
		case 4:
			i := rapid.IntRange(0, len(next.Routes)-1).Draw(t, "route")
			next.Routes[i].Pool = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "pool")
		case 5:
			i := rapid.IntRange(0, len(next.Routes)-1).Draw(t, "route")
			next.Routes[i].Classes, next.Routes[i].Fronts = classes[:2], []Front{Webhook}
		case 6:
			next.Routes = next.Routes[:len(next.Routes)-1]
		}
		perm := rapid.Permutation(next.Routes).Draw(t, "order")
		next.Routes = perm
		for i := range next.Routes {
			next.Routes[i].Name = fmt.Sprint("other", i)
		}
		o, err := Compile(old, classes)
		if err != nil {
			return
		}
		n, err := Compile(next, classes)
		if err != nil {
			return
		}
		diff := Diff(o, n, notIdempotent, true)
		policies := func(s *Spec, name string) PolicySpec {
			for _, p := range s.Policies {
				if p.Name == name {
					p.Name = ""
					return p
				}
			}
			return NoPolicy
		}
		outcome := func(s *Spec, names [3]string, c Request, class string) string {
			i, _ := matchByRule(s, c, class)
			if i < 0 || s.Routes[i].Pool == "" {
				return "refused"
			}
			p := policies(s, s.Routes[i].Policy)
			again := p.RetriesAfterPossibleRun
			if again >= p.MaxAttempts-1 && p.MaxAttempts != Unset {
				again = Unset
			}
			if class == "repair-order" {
				again = 0
			}
			return fmt.Sprint(slices.Index(names[:], s.Routes[i].Pool), p.MaxAttempts, again)
		}
		some := false
		forEachRequest(func(c Request, class string) {
			was, is := outcome(old, [3]string{"a", "b", "c"}, c, class), outcome(next, name, c, class)
			told := slices.ContainsFunc(diff, func(d Change) bool {
				return slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Contains(c, class) })
			})
			if told != (was != is) {
				t.Fatalf("%+v %s: %s, then %s; told: %v of %+v", c, class, was, is, told, diff)
			}
			some = some || told
		})
		if some {
			changed++
		}
		pools := 0
		for _, d := range diff {
			if len(d.Regions) == 0 {
				pools++
			}
		}
		if (pools > 0) != (refigured >= 0) {
			t.Fatalf("pools changed: %d, told: %+v", refigured, diff)
		}
		if again := Diff(n, n, notIdempotent, true); len(again) > 0 {
			t.Fatalf("a table differs from itself: %+v", again)
		}
	})
	if changed < 20 {
		t.Errorf("only %d of the drawn changes change a call", changed)
	}
}

func compilePoolSpecs(t testing.TB, specs ...PoolSpec) *Table {
	s := &Spec{Pools: specs}
	for _, p := range specs {
		s.Routes = append(s.Routes, RouteSpec{Name: p.Name, Pool: p.Name, Tenants: []string{p.Name}})
	}
	table, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func (t *Table) pool(name string) *Pool {
	for _, p := range t.pools {
		if p.Spec.Name == name {
			return p
		}
	}
	return nil
}

// Guards the bounds on what spills, over any history: at no instant do more than the share of the last ten
// seconds' calls, or the rate over them, go to the fallback, by exact counts.
func TestOverflowStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		table, err := Compile(&Spec{Pools: []PoolSpec{{Name: "a", MaxInFlight: Unset, LoadShare: Unset, Fallback: "b", OverflowShare: share, OverflowRate: Unset},
			{Name: "b", MaxInFlight: Unset, LoadShare: Unset, Fallback: "c", OverflowShare: Unset, OverflowRate: 2.5},
			{Name: "c", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}}}, classes)
		if err != nil {
			t.Fatal(err)
		}
		a, b, now := table.pool("a"), table.pool("b"), time.Duration(0)
		var came, left, on []time.Duration
		recent := func(list []time.Duration) (n int) {
			for _, at := range list {
				if at > now-overflowWindow {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1000, 30_000, 99_999, 400_000, 15_000_000}).Draw(t, "passes")) * time.Microsecond
			a.RequestRouted(now)
			came = append(came, now)
			if a.Overflow(now) != nil {
				left = append(left, now)
				if b.Overflow(now) != nil {
					on = append(on, now)
				}
			}
			if got, most := recent(left), share*float64(recent(came)); float64(got) > most {
				t.Fatalf("at %v %d spilled, %v may", now, got, most)
			}
			if got := recent(on); got > 25 {
				t.Fatalf("at %v %d went on in ten seconds, 25 may", now, got)
			}
		}
	})
	p := compilePoolSpecs(t, PoolSpec{Name: "a", MaxInFlight: Unset, LoadShare: Unset, Fallback: "b", OverflowShare: 0.5, OverflowRate: Unset},
		PoolSpec{Name: "b", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}).pool("a")
	spilled := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		p.RequestRouted(now)
		if p.Overflow(now) != nil {
			spilled++
		}
	}
	if spilled < 480 || p.Overflows != uint64(spilled) || p.CapacityExceeded != uint64(1000-spilled) {
		t.Errorf("%d of 1000 calls spilled, half may", spilled)
	}
}

// Guards the ration: what pools may order by their shares together is never more than the ration, whatever each
// asks for and when.
func TestLoadSharesStayWithinTheLoadBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := Compile(&Spec{Pools: []PoolSpec{{Name: "a", MaxInFlight: Unset, LoadShare: 0.5, OverflowShare: Unset, OverflowRate: Unset},
			{Name: "b", MaxInFlight: Unset, LoadShare: 0.2, OverflowShare: Unset, OverflowRate: Unset}, {Name: "c", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset},
			{Name: "d", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}}}, classes)
		if err != nil {
			t.Fatal(err)
		}
		var orders []time.Duration
		by := map[string]int{}
		now, ration := time.Duration(0), rapid.Float64Range(0, 60).Draw(t, "ration")
		for range rapid.IntRange(1, 200).Draw(t, "asked") {
			now += time.Duration(rapid.IntRange(0, 500_000).Draw(t, "passes")) * time.Microsecond
			p := table.pools[rapid.IntRange(0, 3).Draw(t, "pool")]
			if p.MayLoad(now, ration) {
				p.LoadStarted(now)
				by[p.Spec.Name]++
				orders = append(orders, now)
			}
			n := 0
			for _, at := range orders {
				if at > now-overflowWindow {
					n++
				}
			}
			if float64(n) > ration {
				t.Fatalf("%d orders in the window, the ration is %v", n, ration)
			}
		}
	})
	table := compilePoolSpecs(t, PoolSpec{Name: "a", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset})
	if !table.pool("a").MayLoad(0, 0) {
		t.Error("a pool without a share, and none beside it, is bounded by the ration alone")
	}
}

// Guards a reload: counts of a pool go on under its name or, renamed, by its figures; a lowered cap holds for what
// is still out; the orders of pools without a share go on being one sum.
func TestCarryOverKeepsPoolCounters(t *testing.T) {
	free := PoolSpec{MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}
	named := func(name string, limit int) PoolSpec {
		p := free
		p.Name, p.MaxInFlight = name, limit
		return p
	}
	old := compilePoolSpecs(t, named("a", 5), named("b", 7), named("c", 9))
	for _, p := range old.pools {
		for range p.Spec.MaxInFlight {
			p.AttemptStarted()
		}
	}
	old.pool("a").LoadStarted(0)
	next := compilePoolSpecs(t, named("a", 2), named("renamed", 7), named("new", 3))
	next.CarryOver(old)
	for name, want := range map[string]int{"a": 5, "renamed": 7, "new": 0} {
		if got := next.pool(name).InFlight(); got != want {
			t.Errorf("pool %s goes on with %d in flight, want %d", name, got, want)
		}
	}
	for range 4 {
		old.pool("a").AttemptFinished() // they began under the old table
		if next.pool("a").HasCapacity() && next.pool("a").InFlight() >= 2 {
			t.Error("room over the lowered cap")
		}
	}
	if !next.pool("a").HasCapacity() || next.pool("renamed").HasCapacity() || !next.pool("new").HasCapacity() {
		t.Error("room is not counted over the reload")
	}
	if got := next.pool("new").loads.upperBound(0); got != 1 {
		t.Errorf("%d orders of the pools without a share, want 1", got)
	}
}

// Guards membership: labels of the files go before the list's, memory counts, and draining is the module's affair.
func TestPoolsSelectWorkers(t *testing.T) {
	s := &Spec{Workers: []Worker{{Name: "s-2", Kind: "large", Cell: -1, Labels: map[string]string{"rack": "r1"}}}}
	for name, l := range map[string]Selector{"large": {Kinds: []string{"lar*"}}, "cell": {Cells: []int{3}}, "rack": {Labels: []Label{{"rack", []string{"r1", "r2"}}}},
		"big": {MemoryMB: 9000}, "id": {IDs: []string{"s-1", "t-*"}}, "both": {Kinds: []string{"small"}, Cells: []int{3}}, "zone": {Zones: []string{"east"}}} {
		s.Pools = append(s.Pools, PoolSpec{Name: name, Workers: []Selector{l}, MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset})
	}
	table, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	table.SetWorkers([]Worker{{ID: 1, Name: "s-1", Kind: "large", Cell: 3, MemoryMB: 10240}, {ID: 2, Name: "s-2", Kind: "small", Cell: 3, Zone: "east"},
		{ID: 3, Name: "t-9", Kind: "small", Cell: 3}})
	for name, want := range map[string][]policy.WorkerID{"large": {1, 2}, "cell": {1, 2, 3}, "rack": {2}, "big": {1}, "id": {1, 3}, "both": {3}, "zone": {2}} {
		for id := range policy.WorkerID(4) {
			if table.pool(name).Contains(id) != slices.Contains(want, id) {
				t.Errorf("pool %s: worker %d", name, id)
			}
		}
	}
}

func TestCompileRejectsInvalidSpecs(t *testing.T) {
	p := func(name, fallback string, orders float64) PoolSpec {
		return PoolSpec{Name: name, MaxInFlight: Unset, LoadShare: orders, Fallback: fallback, OverflowShare: 0.1, OverflowRate: Unset}
	}
	for want, s := range map[string]*Spec{
		`pool "a" is there twice`:                           {Pools: []PoolSpec{p("a", "", Unset), p("a", "", Unset)}},
		`pool "a": no pool "z"`:                             {Pools: []PoolSpec{p("a", "z", Unset)}},
		`pool "a" falls back in a circle`:                   {Pools: []PoolSpec{p("a", "a", Unset)}},
		"the pools' shares of the load orders come to 120%": {Pools: []PoolSpec{p("a", "", 0.6), p("b", "", 0.6)}},
		`route "r": no pool "z"`:                            {Routes: []RouteSpec{{Name: "r", Pool: "z"}}},
		`route "r": no policy "z"`:                          {Routes: []RouteSpec{{Name: "r", Policy: "z"}}},
		`route "r" matches the same calls as route "q" at f:1, and neither is the closer match`: {Routes: []RouteSpec{{Name: "q", At: "f:1"}, {Name: "r"}}},
	} {
		if _, err := Compile(s, classes); err == nil || err.Error() != want {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}

// tableOfSize has n routes: exact functions, prefixes of all lengths, tenants and classes.
func tableOfSize(t testing.TB, n int) *Table {
	s := &Spec{Pools: []PoolSpec{{Name: "a", MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}}}
	for i := range n {
		r := RouteSpec{Name: fmt.Sprint(i), Pool: "a"}
		key := uint64(i+1) * 0x9e3779b97f4a7c15
		switch digits := i % 17; {
		case i == 0:
		default:
			p := Pattern{Prefix: key, Digits: max(digits, 4)}
			p.Prefix &= prefixMask(p.Digits)
			r.Functions = []Pattern{p}
			if i%3 == 0 {
				r.Tenants = []string{fmt.Sprint("t", i%50)}
			}
			if i%5 == 0 {
				r.Classes = classes[:2]
			}
		}
		s.Routes = append(s.Routes, r)
	}
	table, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards the hot path: a look-up among a thousand routes allocates nothing.
func TestMatchAllocatesNothing(t *testing.T) {
	table, i := tableOfSize(t, 1000), uint64(0)
	if n := testing.AllocsPerRun(1000, func() {
		i += 0x9e3779b97f4a7c15
		if table.Match(Request{Webhook, int(i % 3), i, "t7"}) == nil {
			t.Fatal("no route")
		}
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000} {
		table := tableOfSize(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range uint64(b.N) {
				table.Match(Request{Webhook, int(i % 3), i * 0x9e3779b97f4a7c15, "t7"})
			}
		})
	}
}
