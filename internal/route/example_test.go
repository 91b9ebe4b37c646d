package route_test

import (
	"fmt"

	"crankhold/internal/route"
)

// A table has two routes. Requests for functions whose keys start with 7f go to a pool of large workers, all other
// requests go to a pool of all workers.
func Example() {
	lamps, err := route.ParsePattern("7f*")
	if err != nil {
		fmt.Println(err)
		return
	}
	spec := &route.Spec{
		Pools: []route.PoolSpec{
			{Name: "large", Selectors: []route.Selector{{Kinds: []string{"large-worker"}}},
				MaxInFlight: 40, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset},
			{Name: "all", MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset},
		},
		Policies: []route.PolicySpec{
			{Name: "quick", MaxAttempts: 2, RetriesAfterPossibleRun: route.Unset, RetriesAfterProvenNoRun: route.Unset},
		},
		Routes: []route.RouteSpec{
			{Name: "lamps", Functions: []route.Pattern{lamps}, Pool: "large", Policy: "quick"},
			{Name: "rest", Pool: "all"},
		},
	}
	table, err := route.Compile(spec, []string{"dim-level", "repair-order"})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, function := range []uint64{0x7f3a9c21e0b4d655, 0x10} {
		matched := table.Match(route.Request{Front: route.Thrift, Class: 0, Function: function})
		fmt.Printf("%016x takes route %s to pool %s: %v\n", function, matched.Spec.Name, matched.Pool.Spec.Name, matched.Policy)
	}
	// Output:
	// 7f3a9c21e0b4d655 takes route lamps to pool large: attempts 2
	// 0000000000000010 takes route rest to pool all: attempts as the settings allow
}

// Diff reports how a changed table affects requests and pools.
func ExampleDiff() {
	compile := func(maxInFlight int, pool string) *route.Table {
		table, err := route.Compile(&route.Spec{
			Pools: []route.PoolSpec{
				{Name: "a", MaxInFlight: maxInFlight, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset},
				{Name: "b", MaxInFlight: 9, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset},
			},
			Routes: []route.RouteSpec{
				{Name: "orders", Classes: []string{"repair-order"}, Pool: pool},
				{Name: "rest", Pool: "a"},
			},
		}, []string{"dim-level", "repair-order"})
		if err != nil {
			panic(err)
		}
		return table
	}
	for _, change := range route.Diff(compile(4, "a"), compile(5, "b"), []bool{false, true}, false) {
		fmt.Println(change.Subject())
		fmt.Println("  -", change.Before)
		fmt.Println("  +", change.After)
	}
	// Output:
	// calls of class repair-order
	//   - pool a, again-if-ran 0
	//   + pool b, again-if-ran 0
	// pools
	//   - pool a: workers , cap 4, load orders of the rest, no fallback
	//   + pool a: workers , cap 5, load orders of the rest, no fallback
}
