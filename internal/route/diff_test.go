package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Diff agrees with a reference evaluation of each request under both specs: it reports exactly the requests whose
// outcome changes. It reports no difference for names or order, nor for a table compared with itself. A pool that is
// renamed or has other limits is still the same pool.
func TestDiffReportsExactlyTheChangedRequests(t *testing.T) {
	effective := 0
	rapid.Check(t, func(t *rapid.T) {
		old := drawSpec(t)
		m := drawMutation(t, old)
		oldTable, err := Compile(old, classes)
		if err != nil {
			return
		}
		newTable, err := Compile(m.spec, classes)
		if err != nil {
			return
		}
		diff := Diff(oldTable, newTable, notIdempotent, true)
		changed := false
		forEachRequest(func(r Request, class string) {
			before := referenceOutcome(old, [3]string{"a", "b", "c"}, r, class)
			after := referenceOutcome(m.spec, m.poolNames, r, class)
			reported := slices.ContainsFunc(diff, func(d Change) bool {
				return slices.ContainsFunc(d.Regions, func(region Region) bool { return region.Contains(r, class) })
			})
			if reported != (before != after) {
				t.Fatalf("%+v of class %s: before %s, after %s; reported: %v in %+v", r, class, before, after, reported, diff)
			}
			changed = changed || reported
		})
		if changed {
			effective++
		}
		poolChanges := 0
		for _, d := range diff {
			if len(d.Regions) == 0 {
				poolChanges++
			}
		}
		if (poolChanges > 0) != m.changesPool {
			t.Fatalf("pool limits changed: %v, reported: %+v", m.changesPool, diff)
		}
		if again := Diff(newTable, newTable, notIdempotent, true); len(again) > 0 {
			t.Fatalf("a table differs from itself: %+v", again)
		}
	})
	if effective < 20 {
		t.Errorf("only %d of the drawn mutations change a request, want at least 20", effective)
	}
}

// mutation is a changed copy of a spec.
type mutation struct {
	spec        *Spec
	poolNames   [3]string // the new names of the pools a, b and c
	changesPool bool      // whether the limit of a pool is changed
}

// drawMutation returns a copy of a spec with one change, other route names and another order of routes.
func drawMutation(t *rapid.T, old *Spec) mutation {
	m := mutation{
		spec:      &Spec{Pools: slices.Clone(old.Pools), Policies: slices.Clone(old.Policies), Routes: slices.Clone(old.Routes)},
		poolNames: [3]string{"a", "b", "c"},
	}
	s := m.spec
	drawnRoute := func() *RouteSpec { return &s.Routes[rapid.IntRange(0, len(s.Routes)-1).Draw(t, "route")] }
	switch rapid.IntRange(0, 6).Draw(t, "mutation") {
	case 0:
		m.renamePools([3]string{"x", "a", "y"})
	case 1:
		s.Pools[rapid.IntRange(0, 2).Draw(t, "pool")].MaxInFlight += 20
		m.changesPool = true
	case 2:
		s.Policies[0].MaxAttempts = 3 - s.Policies[0].MaxAttempts
	case 3:
		s.Policies[1].RetriesAfterPossibleRun = rapid.IntRange(Unset, 1).Draw(t, "retries")
	case 4:
		drawnRoute().Pool = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "pool")
	case 5:
		r := drawnRoute()
		r.Classes = classes[:2]
		r.Fronts = []Front{Webhook}
	case 6:
		s.Routes = s.Routes[:len(s.Routes)-1]
	}
	s.Routes = rapid.Permutation(s.Routes).Draw(t, "order")
	for i := range s.Routes {
		s.Routes[i].Name = fmt.Sprint("other", i)
	}
	return m
}

// renamePools renames the pools a, b and c and updates the references to them.
func (m *mutation) renamePools(names [3]string) {
	for i := range m.spec.Pools {
		m.spec.Pools[i].Name = names[i]
		if m.spec.Pools[i].Fallback != "" {
			m.spec.Pools[i].Fallback = names[i-1]
		}
	}
	for i := range m.spec.Routes {
		if j := slices.Index(m.poolNames[:], m.spec.Routes[i].Pool); j >= 0 {
			m.spec.Routes[i].Pool = names[j]
		}
	}
	m.poolNames = names
}

// referenceOutcome describes what a spec does with a request: the index of its pool in poolNames, and its limits on
// attempts.
func referenceOutcome(s *Spec, poolNames [3]string, r Request, class string) string {
	i, _ := referenceMatch(s, r, class)
	if i < 0 || s.Routes[i].Pool == "" {
		return "rejected"
	}
	p := NoPolicy
	if j := slices.IndexFunc(s.Policies, func(p PolicySpec) bool { return p.Name == s.Routes[i].Policy }); j >= 0 {
		p = s.Policies[j]
	}
	retries := p.RetriesAfterPossibleRun
	if retries >= p.MaxAttempts-1 && p.MaxAttempts != Unset {
		retries = Unset
	}
	if class == "repair-order" {
		retries = 0
	}
	return fmt.Sprint(slices.Index(poolNames[:], s.Routes[i].Pool), p.MaxAttempts, retries)
}

// If two pools swap their names, Diff reports that requests go to another pool of the same name.
func TestDiffDistinguishesPoolsOfOneName(t *testing.T) {
	routes := []RouteSpec{{Name: "all", Pool: "a"}}
	old := mustCompile(t, &Spec{Pools: []PoolSpec{cappedPool("a", 1), cappedPool("b", 2)}, Routes: routes})
	swapped := mustCompile(t, &Spec{Pools: []PoolSpec{cappedPool("a", 2), cappedPool("b", 1)}, Routes: routes})
	diff := Diff(old, swapped, notIdempotent, true)
	want := "pool a (another), attempts as the settings allow"
	if len(diff) == 0 || diff[0].After != want {
		t.Errorf("changes %+v, want one with %q", diff, want)
	}
}
