package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// The tests use requests of these classes and of one that is not listed, for these functions and of these tenants.
// Routes name some of the functions and tenants.
var (
	classes       = []string{"dim-level", "fault-check", "repair-order"}
	notIdempotent = []bool{false, false, true}
	functions     = []uint64{0, 0x7 << 60, 0x7f << 56, 0x7f3a << 48, 0x7f3a9c21e0b4d655, 0x7f3a9c21e0b4d656, 0x80 << 56, 1}
	tenants       = []string{"", "east", "west", "nobody"}
)

// unlimitedPool returns a pool of all workers without any limit.
func unlimitedPool(name string) PoolSpec {
	return PoolSpec{Name: name, MaxInFlight: Unset, LoadShare: Unset, OverflowShare: Unset, OverflowRate: Unset}
}

// cappedPool returns a pool of all workers whose only limit is that on attempts in flight.
func cappedPool(name string, maxInFlight int) PoolSpec {
	p := unlimitedPool(name)
	p.MaxInFlight = maxInFlight
	return p
}

// mustCompile compiles a spec, and fails the test if the spec is invalid.
func mustCompile(t rapid.TB, s *Spec) *Table {
	t.Helper()
	table, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// pool returns the pool of that name, or nil.
func (t *Table) pool(name string) *Pool {
	for _, p := range t.pools {
		if p.Spec.Name == name {
			return p
		}
	}
	return nil
}

// drawSpec draws a spec of at most five routes, three pools with different limits, and two policies.
func drawSpec(t *rapid.T) *Spec {
	s := &Spec{Policies: []PolicySpec{NoPolicy, NoPolicy}}
	for i, name := range []string{"a", "b", "c"} {
		p := cappedPool(name, 10+i)
		if i > 0 && rapid.Bool().Draw(t, "fallback") {
			p.Fallback = s.Pools[i-1].Name
			p.OverflowShare = 0.1
		}
		s.Pools = append(s.Pools, p)
	}
	for i := range s.Policies {
		s.Policies[i].Name = fmt.Sprint("p", i)
		s.Policies[i].MaxAttempts = rapid.IntRange(1, 2).Draw(t, "attempts")
		s.Policies[i].RetriesAfterPossibleRun = rapid.IntRange(Unset, 1).Draw(t, "retries")
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
		s.Routes = append(s.Routes, drawRoute(t, fmt.Sprint("r", i)))
	}
	return s
}

func drawRoute(t *rapid.T, name string) RouteSpec {
	r := RouteSpec{
		Name:   name,
		Pool:   rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "pool"),
		Policy: rapid.SampledFrom([]string{"", "p0", "p1"}).Draw(t, "policy"),
	}
	if rapid.Bool().Draw(t, "by front") {
		r.Fronts = []Front{Front(rapid.IntRange(0, 1).Draw(t, "front"))}
	}
	r.Classes = rapid.SampledFrom([][]string{nil, nil, classes[:1], classes[1:], classes}).Draw(t, "classes")
	r.Tenants = rapid.SampledFrom([][]string{nil, nil, {"east"}, {"east", "west"}}).Draw(t, "tenants")
	patterns := rapid.SampledFrom([][]string{nil, {"7*"}, {"7f*"}, {"7*", "8*"}, {"7f3a*"}, {"7f3a9c21e0b4d655"}, {"*"}}).Draw(t, "functions")
	for _, text := range patterns {
		p, err := ParsePattern(text)
		if err != nil {
			t.Fatal(err)
		}
		r.Functions = append(r.Functions, p)
	}
	return r
}

// referenceMatch is the reference implementation of the precedence that docs/language.md defines: it compares all routes
// in turn. It returns the index of the closest route, or -1 for none, and whether another route is equally close.
func referenceMatch(s *Spec, request Request, class string) (best int, tie bool) {
	best = -1
	var bestScore [4]int
	for i, r := range s.Routes {
		score, ok := referenceScore(r, request, class)
		if !ok {
			continue
		}
		switch d := slices.Compare(score[:], bestScore[:]); {
		case best < 0 || d > 0:
			best, bestScore, tie = i, score, false
		case d == 0:
			tie = true
		}
	}
	return best, tie
}

// referenceScore returns how closely a route matches a request, by function, tenant, class and front in this order. It
// returns false if the route does not match.
func referenceScore(r RouteSpec, request Request, class string) (score [4]int, ok bool) {
	if len(r.Functions) > 0 {
		score[0] = -1
		for _, p := range r.Functions {
			if p.Matches(request.Function) {
				score[0] = max(score[0], p.Digits)
			}
		}
		if score[0] < 0 {
			return score, false
		}
	}
	if len(r.Tenants) > 0 {
		if !slices.Contains(r.Tenants, request.Tenant) {
			return score, false
		}
		score[1] = 1
	}
	if len(r.Classes) > 0 {
		if !slices.Contains(r.Classes, class) {
			return score, false
		}
		score[2] = 1
	}
	if len(r.Fronts) > 0 {
		if !slices.Contains(r.Fronts, request.Front) {
			return score, false
		}
		score[3] = 1
	}
	return score, true
}

// forEachRequest calls f with each request of the tests and the name of its class.
func forEachRequest(f func(request Request, class string)) {
	for front := range frontCount {
		for class := range len(classes) + 1 {
			name := OtherClass
			if class < len(classes) {
				name = classes[class]
			}
			for _, function := range functions {
				for _, tenant := range tenants {
					if front == Thrift && tenant != "" {
						continue
					}
					f(Request{front, class, function, tenant}, name)
				}
			}
		}
	}
}
