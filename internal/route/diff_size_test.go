package route

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// functionsAndTenants returns a table of routes that name a function each and routes that name a tenant each. Requests
// of all routes are attempted as often as attempts says.
func functionsAndTenants(t testing.TB, functions, tenants, attempts int) *Table {
	t.Helper()
	p := NoPolicy
	p.Name = "quick"
	p.MaxAttempts = attempts
	s := &Spec{Pools: []PoolSpec{unlimitedPool("all")}, Policies: []PolicySpec{p}}
	add := func(r RouteSpec) {
		r.Pool = "all"
		r.Policy = p.Name
		s.Routes = append(s.Routes, r)
	}
	for i := range functions {
		function := Pattern{Prefix: 0x1000000000000000 + uint64(i)*7919, Digits: functionDigits}
		add(RouteSpec{Name: fmt.Sprint("f", i), Functions: []Pattern{function}})
	}
	for i := range tenants {
		add(RouteSpec{Name: fmt.Sprint("t", i), Tenants: []string{fmt.Sprint("council-", i)}})
	}
	add(RouteSpec{Name: "rest"})
	return mustCompile(t, s)
}

// The work of comparing two tables grows with the number of routes, not with that of functions times tenants. Guards
// against a reload that takes seconds, and more memory than the router has, for a file of a few thousand routes.
func TestDiffAllocatesInProportionToTheRoutes(t *testing.T) {
	allocations := func(functions, tenants int) float64 {
		old := functionsAndTenants(t, functions, tenants, 2)
		updated := functionsAndTenants(t, functions, tenants, 3)
		total := testing.AllocsPerRun(1, func() {
			if changes := Diff(old, updated, notIdempotent, false); len(changes) != 2 {
				t.Errorf("%d changes, want one for each kind of class", len(changes))
			}
		})
		return total / float64(functions+tenants)
	}
	few := allocations(100, 10)
	if many := allocations(1600, 160); many > 2*few {
		t.Errorf("%.1f allocations a route with 1,760 routes, and %.1f with 110", many, few)
	}
}

// Finding the requests that no route matches takes work in proportion to the routes too: a check runs beside the event
// loop at each reload.
func TestUnmatchedRegionsAllocateInProportionToTheRoutes(t *testing.T) {
	allocations := func(functions, tenants int) float64 {
		s := &Spec{Pools: []PoolSpec{unlimitedPool("all")}}
		for i := range functions {
			function := Pattern{Prefix: uint64(i), Digits: functionDigits}
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("f", i), Pool: "all", Classes: classes[:1], Functions: []Pattern{function}})
		}
		for i := range tenants {
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("t", i), Pool: "all", Classes: classes[1:2], Tenants: []string{fmt.Sprint(i)}})
		}
		table := mustCompile(t, s)
		total := testing.AllocsPerRun(1, func() { table.UnmatchedRegions(true) })
		return total / float64(functions+tenants)
	}
	few := allocations(100, 10)
	if many := allocations(1600, 160); many > 2*few {
		t.Errorf("%.1f allocations a route with 1,760 routes, and %.1f with 110", many, few)
	}
}

// Finding the routes that no request can reach takes work in proportion to the routes, also where longer patterns take
// all functions of a shorter one, and it stops at a limit. Guards against a check of a reload that tests each function
// for each tenant.
func TestReachableTakesWorkInProportionToTheRoutes(t *testing.T) {
	covered := func(digits, tenants int) *Table {
		s := &Spec{Pools: []PoolSpec{unlimitedPool("all")}}
		for i := range 1 << (bitsPerDigit * digits) {
			pattern := Pattern{Prefix: uint64(i) << (functionBits - bitsPerDigit*digits), Digits: digits}
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("f", i), Pool: "all", Functions: []Pattern{pattern}})
		}
		for i := range tenants {
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("t", i), Pool: "all", Tenants: []string{fmt.Sprint(i)}})
		}
		return mustCompile(t, s)
	}
	steps := func(digits, tenants int) int {
		table := covered(digits, tenants)
		r := newReachability(table)
		for i, classes := range r.ofRoutes() {
			isTenant := table.routes[i].Spec.Tenants != nil
			if slices.Contains(classes, true) == isTenant {
				t.Fatalf("route %s: reached by %v", table.routes[i].Spec.Name, classes)
			}
		}
		return r.work.steps / len(table.routes)
	}
	few := steps(1, 25)
	if many := steps(3, 6400); many > 2*few {
		t.Errorf("%d steps a route with 10,496 routes, and %d with 41", many, few)
	}
	table := covered(2, 10)
	table.maxBytes = 100 * bytesPerStep
	reached, complete := table.Reachable()
	for i, classes := range reached[:256] {
		if complete || !slices.Contains(classes, true) {
			t.Errorf("at the limit: complete: %v, route %d is reached by %v", complete, i, classes)
		}
	}
}

// A comparison that would take more work than its limit stops, and says so. What it reports up to there is true.
func TestDiffStopsAtItsLimit(t *testing.T) {
	old := functionsAndTenants(t, 300, 30, 2)
	updated := functionsAndTenants(t, 300, 30, 3)
	for _, maxBytes := range []int{0, 1 << 20, 8 << 10} {
		updated.maxBytes = maxBytes
		comparison := DiffWithinLimit(old, updated, notIdempotent, false)
		if want := maxBytes != 8<<10; comparison.Complete != want {
			t.Errorf("limit of %d bytes: complete: %v, want %v", maxBytes, comparison.Complete, want)
		}
		for _, change := range comparison.Changes {
			for _, region := range change.Regions {
				r := region.Example.Request
				if old.Match(r).Policy.MaxAttempts == updated.Match(r).Policy.MaxAttempts || !region.Contains(r, region.Example.Class) {
					t.Errorf("limit of %d bytes: %v does not change", maxBytes, region.Example)
				}
				if region.AnyFunction && !comparison.Complete {
					t.Errorf("limit of %d bytes: a comparison that stopped reports all functions", maxBytes)
				}
			}
		}
	}
}

// A comparison that stops while it goes through the routes reports the changes that it has found up to there. Guards
// against a reload that says that nothing has changed because too much has.
func TestDiffThatStopsReportsWhatItHasFound(t *testing.T) {
	const tenants, functions = 100, 300
	products := func(attempts int) *Table {
		s := &Spec{Pools: []PoolSpec{unlimitedPool("all")}}
		for i := range tenants {
			p := NoPolicy
			p.Name = fmt.Sprint("p", i)
			p.MaxAttempts = attempts
			p.AttemptTimeout = time.Duration(i+1) * time.Second
			s.Policies = append(s.Policies, p)
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("t", i), Pool: "all", Policy: p.Name, Tenants: []string{fmt.Sprint(i)}})
		}
		for i := range functions {
			function := Pattern{Prefix: uint64(i), Digits: functionDigits}
			s.Routes = append(s.Routes, RouteSpec{Name: fmt.Sprint("f", i), Pool: "all", Functions: []Pattern{function}, Tenants: []string{fmt.Sprint(i % tenants)}})
		}
		s.Routes = append(s.Routes, RouteSpec{Name: "rest", Pool: "all"})
		return mustCompile(t, s)
	}
	old, updated := products(2), products(3)
	const columns = 20 // of how many functions the comparison may go through
	updated.maxBytes = columns * tenants * bytesPerStep * groupingStages
	comparison := DiffWithinLimit(old, updated, notIdempotent, false)
	if comparison.Complete || len(comparison.Changes) == 0 {
		t.Errorf("complete: %v, %d changes", comparison.Complete, len(comparison.Changes))
	}
	for _, change := range comparison.Changes {
		r := change.Regions[0].Example.Request
		if old.Match(r).Policy == updated.Match(r).Policy {
			t.Errorf("%v does not change", change.Regions[0].Example)
		}
	}
}

// A spec whose table would take too much memory is refused before it is compiled, with the route that is too much.
func TestCompileRefusesATableThatTakesTooMuchMemory(t *testing.T) {
	s := &Spec{Pools: []PoolSpec{unlimitedPool("all")}, MaxBytes: 1 << 20}
	product := RouteSpec{Name: "product", Pool: "all", At: "f:7"}
	for i := range 100_000 {
		product.Functions = append(product.Functions, Pattern{Prefix: uint64(i), Digits: functionDigits})
		product.Tenants = append(product.Tenants, fmt.Sprint(i))
	}
	s.Routes = []RouteSpec{{Name: "rest", Pool: "all"}, product}
	_, err := Compile(s, classes)
	want := TableSizeError{Route: "product", At: "f:7", Rules: 10_000_000_000, MaxBytes: 1 << 20}
	if size, ok := err.(*TableSizeError); !ok || *size != want {
		t.Errorf("error %v, want %v", err, &want)
	}
	s.Routes = s.Routes[:1]
	if _, err := Compile(s, classes); err != nil {
		t.Error(err)
	}
}

// The text of a change can be cut, so that a line of the log does not grow with the routes file.
func TestSubjectIsCutToItsLimit(t *testing.T) {
	old := functionsAndTenants(t, 0, 300, 2)
	updated := functionsAndTenants(t, 0, 299, 3)
	for _, change := range Diff(old, updated, notIdempotent, false) {
		whole := change.Subject()
		if got := change.SubjectWithin(100); len(got) != 103 || got[:100] != whole[:100] {
			t.Errorf("%d bytes %q, want the first 100 of %q", len(got), got, whole)
		}
		if got := change.SubjectWithin(len(whole)); got != whole {
			t.Errorf("%q, want %q", got, whole)
		}
	}
}

// What two tables that differ in one value cost to compare.
func BenchmarkDiff(b *testing.B) {
	for _, functions := range []int{500, 1000, 2000, 4000} {
		for _, tenants := range []int{32, 200} {
			old := functionsAndTenants(b, functions, tenants, 2)
			updated := functionsAndTenants(b, functions, tenants, 3)
			b.Run(fmt.Sprintf("functions=%d/tenants=%d", functions, tenants), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Diff(old, updated, notIdempotent, false)
				}
			})
		}
	}
}
