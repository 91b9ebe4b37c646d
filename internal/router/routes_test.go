package router

import (
	"testing"
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// tableOf makes a table of two pools with a worker each, to which routes send dim-level calls by front, tenant
// and function; orders have no route.
func tableOf(t *testing.T, limit int) *route.Table {
	t.Helper()
	pool := func(name, id string, limit int) route.PoolSpec {
		return route.PoolSpec{Name: name, Workers: []route.Selector{{IDs: []string{id}}}, MaxInFlight: limit, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset}
	}
	prefix, err := route.ParsePattern("00*")
	if err != nil {
		t.Fatal(err)
	}
	table, err := route.Compile(&route.Spec{Pools: []route.PoolSpec{pool("one", "s-1", limit), pool("two", "s-2", route.Unset)},
		Routes: []route.RouteSpec{{Name: "rest", Classes: []string{"dim-level"}, Pool: "one"},
			{Name: "east", Classes: []string{"dim-level"}, Tenants: []string{"east"}, Pool: "two"},
			{Name: "none", Classes: []string{"dim-level"}, Functions: []route.Pattern{prefix}, Fronts: []route.Front{route.Webhook}}}}, []string{"dim-level", "repair-order"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func routed(t *testing.T) (*Core, *workers) {
	c, w := newCore(t, 1)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready}}})
	c.SetRouteWorkers([]route.Worker{{ID: 1, Name: "s-1"}, {ID: 2, Name: "s-2"}})
	c.Process(time.Hour)
	return c, w
}

// Calls of both fronts go where their routes say; what none matches, and what one refuses, is answered at once
// and no worker hears of it.
func TestRoutesDecideOnBothFronts(t *testing.T) {
	c, w := routed(t)
	c.SetRoutes(tableOf(t, route.Unset))
	for i, x := range []struct {
		front    Front
		class    int
		function policy.FunctionID
		tenant   string
		worker   policy.WorkerID // 0: refused
	}{
		{Thrift, 0, 7, "", 1}, {Thrift, 0, 1 << 60, "", 1}, {Webhook, 0, 1 << 60, "", 1}, {Webhook, 0, 1 << 60, "east", 2}, {Webhook, 0, 1 << 60, "west", 1},
		{Webhook, 0, 7, "", 0}, {Webhook, 0, 7, "east", 0}, {Thrift, 1, 7, "", 0},
		{Thrift, 0, 1 << 60, "east", 1}, // a tenant by Thrift counts for shares alone
	} {
		k := &asker{core: c}
		id := c.Accept(time.Hour, Request{Front: x.front, Asker: k, ID: string(rune('a' + i)), Class: x.class, Function: x.function, Tenant: x.tenant, Deadline: time.Hour + 2*time.Second})
		c.Process(time.Hour)
		switch {
		case x.worker == 0 && (len(k.answers) != 1 || k.answers[0].Status != Rejected || k.answers[0].MayHaveRun || id != 0):
			t.Errorf("%+v: answers %+v, want a refusal at once", x, k.answers)
		case x.worker != 0 && (len(w.runs[id]) != 1 || w.out[w.runs[id][0]] != x.worker):
			t.Errorf("%+v: runs %v of %v", x, w.runs[id], w.out)
		}
	}
	if c.Counters.RejectedUnrouted != [frontCount]uint64{1, 2} || c.OpenRequests() != 6 {
		t.Errorf("unrouted %v, %d open", c.Counters.RejectedUnrouted, c.OpenRequests())
	}
}

// A table is swapped whole: a call that is open ends under the table it began with and stays counted, new ones go
// by the new one, and a list that comes later is sorted into its pools.
func TestOpenCallsEndUnderTheirTable(t *testing.T) {
	c, w := routed(t)
	c.SetRoutes(tableOf(t, 2))
	take := func(id string) (policy.RequestID, *asker) {
		k := &asker{core: c}
		n := c.Accept(time.Hour, Request{Asker: k, ID: id, Function: 7, Deadline: time.Hour + 2*time.Second})
		c.Process(time.Hour)
		return n, k
	}
	first, k := take("a")
	take("b")
	next := tableOf(t, 1)
	c.SetRoutes(next)
	if _, over := take("c"); len(over.answers) != 1 || over.answers[0].Status != Rejected {
		t.Errorf("over the new cap: %+v", over.answers)
	}
	if n := next.Pools()[0].InFlight(); n != 2 {
		t.Errorf("%d in flight go on, want 2", n)
	}
	c.AttemptCompleted(w.runs[first][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte("x")})
	c.Process(time.Hour)
	if len(k.answers) != 1 || k.answers[0].Status != Served || next.Pools()[0].InFlight() != 1 {
		t.Errorf("answers %+v, %d in flight", k.answers, next.Pools()[0].InFlight())
	}
	c.SetRouteWorkers([]route.Worker{{ID: 2, Name: "s-2"}})
	if next.Pools()[0].Size() != 0 || next.Pools()[1].Size() != 1 {
		t.Error("a later list is not sorted into the pools")
	}
	c.SetRoutes(nil)
	if id, _ := take("d"); len(w.runs[id]) != 1 {
		t.Error("without a table a call is not sent")
	}
}
