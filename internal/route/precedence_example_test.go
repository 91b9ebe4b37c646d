package route_test

import (
	"fmt"

	"crankhold/internal/route"
)

// docSpec returns the routes of the example in the package documentation.
func docSpec() *route.Spec {
	sevenF := []route.Pattern{{Prefix: 0x7f << 56, Digits: 2}}
	pool := func(name string) route.PoolSpec {
		return route.PoolSpec{
			Name:          name,
			MaxInFlight:   route.Unset,
			LoadShare:     route.Unset,
			OverflowShare: route.Unset,
			OverflowRate:  route.Unset,
		}
	}
	return &route.Spec{
		Pools: []route.PoolSpec{pool("all"), pool("large"), pool("small")},
		Routes: []route.RouteSpec{
			{Name: "rest", Pool: "all"},
			{Name: "audits", Classes: []string{"audit"}},
			{Name: "hooks", Functions: sevenF, Fronts: []route.Front{route.Webhook}, Pool: "large"},
			{Name: "dims", Functions: sevenF, Classes: []string{"dim-level"}, Pool: "small"},
		},
	}
}

// mustCompile compiles a spec for the classes of the example in the package documentation.
func mustCompile(spec *route.Spec) *route.Table {
	table, err := route.Compile(spec, []string{"dim-level", "audit"})
	if err != nil {
		panic(err)
	}
	return table
}

// Of the routes that match a request, the closest one is used: by function, then tenant, class and front.
func ExampleTable_Match() {
	table := mustCompile(docSpec())
	for _, request := range []route.Request{
		{Front: route.Webhook, Class: 0, Function: 0x7f3a9c21e0b4d655},
		{Front: route.Webhook, Class: 1, Function: 0x7f3a9c21e0b4d655},
		{Front: route.Thrift, Class: 1, Function: 0x7f3a9c21e0b4d655},
		{Front: route.Thrift, Class: 0, Function: 0x10},
	} {
		fmt.Println(request.Front, table.Classes()[request.Class], "takes", table.Match(request).Spec.Name)
	}
	// Output:
	// webhook dim-level takes dims
	// webhook audit takes hooks
	// thrift audit takes audits
	// thrift dim-level takes rest
}

// Regions describe the requests that a change affects, here those that the route audits rejected.
func ExampleDiff_regions() {
	updated := docSpec()
	updated.Routes[1].Pool = "all"
	for _, change := range route.Diff(mustCompile(docSpec()), mustCompile(updated), []bool{false, false}, false) {
		for _, region := range change.Regions {
			fmt.Printf("%v, such as %v\n", region, region.Example)
		}
		fmt.Println("  -", change.Before)
		fmt.Println("  +", change.After)
	}
	// Output:
	// calls of class audit for function * (but not 7f*), such as --front=thrift --class=audit --function=0000000000000000
	// calls by thrift of class audit for function 7f*, such as --front=thrift --class=audit --function=7f00000000000000
	//   - refused
	//   + pool all, attempts as the settings allow
}
