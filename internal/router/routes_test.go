package router

import (
	"testing"
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// newTestRoutes compiles a table of two pools with one worker each: s-1 in "one" and s-2 in "two". Requests of class
// dim-level go to "one", except that requests of the tenant "east" go to "two", and webhook requests for functions
// whose keys start with 00 are rejected. Requests of class repair-order have no route.
func newTestRoutes(t *testing.T, maxInFlightOfOne int) *route.Table {
	t.Helper()
	pool := func(name, worker string, maxInFlight int) route.PoolSpec {
		return route.PoolSpec{
			Name:          name,
			Selectors:     []route.Selector{{IDs: []string{worker}}},
			MaxInFlight:   maxInFlight,
			LoadShare:     route.Unset,
			OverflowShare: route.Unset,
			OverflowRate:  route.Unset,
		}
	}
	prefix, err := route.ParsePattern("00*")
	if err != nil {
		t.Fatal(err)
	}
	dimLevel := []string{"dim-level"}
	spec := &route.Spec{
		Pools: []route.PoolSpec{pool("one", "s-1", maxInFlightOfOne), pool("two", "s-2", route.Unset)},
		Routes: []route.RouteSpec{
			{Name: "rest", Classes: dimLevel, Pool: "one"},
			{Name: "east", Classes: dimLevel, Tenants: []string{"east"}, Pool: "two"},
			{Name: "none", Classes: dimLevel, Functions: []route.Pattern{prefix}, Fronts: []route.Front{route.Webhook}},
		},
	}
	table, err := route.Compile(spec, []string{"dim-level", "repair-order"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newRoutedCore returns a core with the ready workers s-1 and s-2, and its fake worker client.
func newRoutedCore(t *testing.T) (*Core, *fakeWorkerClient) {
	t.Helper()
	core, workers := newTestCore(t, 1)
	core.SetEndpoints(readyWorkers(1, 2))
	core.SetRouteWorkers([]route.Worker{{ID: 1, Name: "s-1"}, {ID: 2, Name: "s-2"}})
	core.Process(start)
	return core, workers
}

// Requests of both fronts go to the pools of their routes. A request is rejected at once and reaches no worker if no
// route matches it, or if the route that matches rejects it.
func TestRoutesApplyToBothFronts(t *testing.T) {
	core, workers := newRoutedCore(t)
	core.SetRoutes(newTestRoutes(t, route.Unset))
	const (
		dimLevel    = 0
		repairOrder = 1
		key00       = policy.FunctionID(7)       // its key starts with 00
		key10       = policy.FunctionID(1 << 60) // its key starts with 10
		rejected    = policy.WorkerID(0)
	)
	for _, test := range []struct {
		name     string
		front    Front
		class    int
		function policy.FunctionID
		tenant   string
		want     policy.WorkerID
	}{
		{"thrift, key 00", Thrift, dimLevel, key00, "", 1},
		{"thrift, key 10", Thrift, dimLevel, key10, "", 1},
		{"webhook, key 10", Webhook, dimLevel, key10, "", 1},
		{"webhook, key 10, tenant with a route", Webhook, dimLevel, key10, "east", 2},
		{"webhook, key 10, other tenant", Webhook, dimLevel, key10, "west", 1},
		{"webhook, key 00", Webhook, dimLevel, key00, "", rejected},
		{"webhook, key 00, tenant with a route", Webhook, dimLevel, key00, "east", rejected},
		{"class without a route", Thrift, repairOrder, key00, "", rejected},
		{"thrift, tenant not matched by routes", Thrift, dimLevel, key10, "east", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			responder := &recordingResponder{}
			id := core.Accept(start, Request{Front: test.front, Responder: responder, ID: test.name, Class: test.class,
				Function: Function{ID: test.function}, Tenant: test.tenant, Deadline: start + 2*time.Second})
			core.Process(start)
			if test.want == rejected {
				wantResponses(t, responder, 1)
				response := responder.responses[0]
				if response.Status != Rejected || response.MayHaveRun || id != 0 {
					t.Errorf("request %d, response %+v, want an immediate rejection", id, response)
				}
				return
			}
			started := workers.started[id]
			if len(started) != 1 || workers.inFlight[started[0]] != test.want {
				t.Errorf("attempts %v, in flight %v", started, workers.inFlight)
			}
		})
	}
	if core.Counters.RejectedUnrouted != [frontCount]uint64{1, 2} || core.OpenRequests() != 6 {
		t.Errorf("unrouted %v, %d open", core.Counters.RejectedUnrouted, core.OpenRequests())
	}
}

// SetRoutes replaces the whole table. Open requests keep their old table and are counted in the new one too. New
// requests are routed by the new table. Workers that are set later are assigned to the pools of the new table.
func TestOpenRequestsKeepTheirRouteTable(t *testing.T) {
	core, workers := newRoutedCore(t)
	core.SetRoutes(newTestRoutes(t, 2))
	send := func(clientID string) (policy.RequestID, *recordingResponder) {
		responder := &recordingResponder{}
		id := core.Accept(start, Request{Responder: responder, ID: clientID, Function: Function{ID: 7}, Deadline: start + 2*time.Second})
		core.Process(start)
		return id, responder
	}
	first, firstResponder := send("a")
	send("b")
	newTable := newTestRoutes(t, 1)
	poolOne, poolTwo := newTable.Pools()[0], newTable.Pools()[1]

	core.SetRoutes(newTable)
	if poolOne.InFlight() != 2 {
		t.Errorf("%d requests in flight under the new table, want 2", poolOne.InFlight())
	}
	_, overLimit := send("c")
	wantResponses(t, overLimit, 1)
	if overLimit.responses[0].Status != Rejected {
		t.Errorf("over the new limit: %+v", overLimit.responses[0])
	}
	if poolOne.InFlight() != 2 {
		t.Errorf("%d requests in flight after a rejection, want 2", poolOne.InFlight())
	}

	core.AttemptCompleted(workers.started[first][0],
		AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte("x")})
	core.Process(start)
	wantResponses(t, firstResponder, 1)
	if firstResponder.responses[0].Status != Served || poolOne.InFlight() != 1 {
		t.Errorf("response %+v, %d in flight", firstResponder.responses[0], poolOne.InFlight())
	}

	core.SetRouteWorkers([]route.Worker{{ID: 2, Name: "s-2"}})
	if poolOne.Size() != 0 || poolTwo.Size() != 1 {
		t.Error("workers that are set later are not assigned to the pools")
	}

	core.SetRoutes(nil)
	if id, _ := send("d"); len(workers.started[id]) != 1 {
		t.Error("without a table a request is not sent")
	}
}
