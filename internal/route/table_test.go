package route

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The table agrees with the reference implementation of the precedence in docs/language.md: on the route of each
// request, on ambiguous routes, on reachable routes, and on the requests that no route matches.
func TestMatchFollowsThePrecedenceRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		table, err := Compile(spec, classes)
		ties := false
		forEachRequest(func(r Request, class string) {
			_, tie := referenceMatch(spec, r, class)
			ties = ties || tie
		})
		if err != nil {
			var ambiguous *AmbiguousRoutesError
			if !errors.As(err, &ambiguous) {
				t.Fatal(err)
			}
			return
		}
		if ties {
			t.Fatal("two routes are equally close, and Compile returned no error")
		}
		reachable, _ := table.Reachable()
		reached := make([][]bool, len(spec.Routes))
		for i := range reached {
			reached[i] = make([]bool, len(classes)+1)
		}
		unmatched, _ := table.UnmatchedRegions(true)
		forEachRequest(func(r Request, class string) {
			want, _ := referenceMatch(spec, r, class)
			got := table.Match(r)
			if want < 0 != (got == nil) || got != nil && got != table.routes[want] {
				t.Fatalf("request %+v takes %+v, want route %d", r, got, want)
			}
			reported := slices.ContainsFunc(unmatched, func(region Region) bool { return region.Contains(r, class) })
			if reported != (got == nil) {
				t.Fatalf("request %+v: reported as unmatched: %v, route %+v", r, reported, got)
			}
			if want >= 0 {
				reached[want][r.Class] = true
			}
		})
		for i := range reached {
			for c := range reached[i] {
				if reached[i][c] && !reachable[i][c] {
					t.Fatalf("route %d is taken by class %d and reported as unreachable", i, c)
				}
			}
		}
	})
}

// A route is unreachable if closer routes match all of its requests, even if only all sixteen prefixes together do.
func TestCoveredRoutesAreUnreachable(t *testing.T) {
	s := &Spec{Pools: []PoolSpec{unlimitedPool("a")}}
	s.Routes = append(s.Routes, RouteSpec{Name: "all", Pool: "a"})
	for d := range 16 {
		s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("r", d), Pool: "a", Functions: []Pattern{{Prefix: uint64(d) << 60, Digits: 1}}})
	}
	if r, _ := mustCompile(t, s).Reachable(); slices.Contains(r[0], true) || slices.Contains(r[16], false) {
		t.Errorf("classes that reach the first and the last route: %v and %v", r[0], r[16])
	}
	byThrift := RouteSpec{Name: "front", Pool: "a", Fronts: []Front{Thrift}, Functions: []Pattern{{Prefix: 0xf << 60, Digits: 1}}}
	s.Routes = append(s.Routes[:16:16], byThrift)
	if r, _ := mustCompile(t, s).Reachable(); slices.Contains(r[0], false) {
		t.Errorf("the first route is unreachable, but takes the webhook requests for the last sixteenth of the functions: %v", r[0])
	}
}

// Requests by Thrift name no tenant, so a route that names both Thrift and a tenant is unreachable.
func TestTenantRouteByThriftIsUnreachable(t *testing.T) {
	s := &Spec{Pools: []PoolSpec{unlimitedPool("a")}}
	s.Routes = []RouteSpec{
		{Name: "thrift", Pool: "a", Fronts: []Front{Thrift}, Tenants: []string{"east"}},
		{Name: "any", Pool: "a", Tenants: []string{"west"}},
	}
	r, _ := mustCompile(t, s).Reachable()
	if slices.Contains(r[0], true) || slices.Contains(r[1], false) {
		t.Errorf("classes that reach each route: %v", r)
	}
}

func TestCompileRejectsInvalidSpecs(t *testing.T) {
	pool := func(name, fallback string, loadShare float64) PoolSpec {
		return PoolSpec{Name: name, At: "f:2", MaxInFlight: Unset, LoadShare: loadShare, Fallback: fallback, OverflowShare: 0.1, OverflowRate: Unset}
	}
	ambiguous := &Spec{Routes: []RouteSpec{{Name: "q", At: "f:1"}, {Name: "r"}}}
	for _, c := range []struct {
		text string
		err  error // the value of the error, for those that can be compared
		spec *Spec
	}{
		{`pool "a" is defined twice`, &DuplicatePoolError{"a", "f:2"},
			&Spec{Pools: []PoolSpec{pool("a", "", Unset), pool("a", "", Unset)}}},
		{`pool "a": no pool "z"`, &UndefinedReferenceError{PoolBlock, "a", "f:2", PoolBlock, "z"},
			&Spec{Pools: []PoolSpec{pool("a", "z", Unset)}}},
		{`the fallback chain of pool "a" contains a cycle`, &FallbackCycleError{"a", "f:2"},
			&Spec{Pools: []PoolSpec{pool("a", "a", Unset)}}},
		{"the pools' shares of the load budget add up to 120%", nil,
			&Spec{Pools: []PoolSpec{pool("a", "", 0.6), pool("b", "", 0.6)}}},
		{`route "r": no pool "z"`, &UndefinedReferenceError{RouteBlock, "r", "f:3", PoolBlock, "z"},
			&Spec{Routes: []RouteSpec{{Name: "r", At: "f:3", Pool: "z"}}}},
		{`route "r": no policy "z"`, &UndefinedReferenceError{RouteBlock, "r", "f:3", PolicyBlock, "z"},
			&Spec{Routes: []RouteSpec{{Name: "r", At: "f:3", Policy: "z"}}}},
		{`route "r" matches the same calls as route "q" at f:1, and neither is the closer match`, nil, ambiguous},
	} {
		_, err := Compile(c.spec, classes)
		if err == nil || err.Error() != c.text {
			t.Errorf("error %v, want %s", err, c.text)
		}
		if c.err != nil && fmt.Sprintf("%#v", err) != fmt.Sprintf("%#v", c.err) {
			t.Errorf("error %#v, want %#v", err, c.err)
		}
	}
	_, err := Compile(ambiguous, classes)
	var routes *AmbiguousRoutesError
	if !errors.As(err, &routes) || routes.First.Name != "q" || routes.Second.Name != "r" {
		t.Errorf("error %#v, want ambiguous routes q and r", err)
	}
}

// tableOfSize returns a table of that many routes, with exact functions, prefixes of 4 to 15 digits, tenants and
// classes.
func tableOfSize(t testing.TB, size int) *Table {
	t.Helper()
	s := &Spec{Pools: []PoolSpec{unlimitedPool("a")}}
	for i := range size {
		r := RouteSpec{Name: fmt.Sprint(i), Pool: "a"}
		if i > 0 {
			digits := max(i%17, 4)
			function := uint64(i+1) * 0x9e3779b97f4a7c15
			r.Functions = []Pattern{{Prefix: function & prefixMask(digits), Digits: digits}}
			if i%3 == 0 {
				r.Tenants = []string{fmt.Sprint("t", i%50)}
			}
			if i%5 == 0 {
				r.Classes = classes[:2]
			}
		}
		s.Routes = append(s.Routes, r)
	}
	return mustCompile(t, s)
}

// Matching a request among a thousand routes allocates nothing, because every request is matched.
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
	for _, size := range []int{10, 1000} {
		table := tableOfSize(b, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for i := range uint64(b.N) {
				table.Match(Request{Webhook, int(i % 3), i * 0x9e3779b97f4a7c15, "t7"})
			}
		})
	}
}
