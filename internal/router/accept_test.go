package router

import (
	"slices"
	"testing"
	"time"

	"crankhold/policy"
)

// A core that rejects new requests responds to each of them at once. Otherwise clients that keep sending requests would
// delay the exit of the process.
func TestDrainingCoreRejectsNewRequests(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.SetEndpoints(readyWorkers(1))
	core.RejectNewRequests()
	responder := &recordingResponder{}
	core.Accept(start, Request{Responder: responder, Class: 1, Function: Function{ID: 7}, Deadline: start + 3*time.Second})
	core.Process(start)
	wantResponses(t, responder, 1)
	if responder.responses[0].Status != Rejected || responder.responses[0].MayHaveRun {
		t.Errorf("response %+v", responder.responses[0])
	}
	if core.OpenRequests() != 0 || len(workers.inFlight) != 0 {
		t.Errorf("%d requests open, %d attempts in flight, want none", core.OpenRequests(), len(workers.inFlight))
	}
}

// A request with the ID of an open request fails and reaches no worker, also if another front received it. The ID may
// be used again after the first request has completed.
func TestDuplicateOfAnOpenRequestFails(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.SetEndpoints(readyWorkers(1))
	send := func(front Front, body string) (policy.RequestID, *recordingResponder) {
		responder := &recordingResponder{}
		id := core.Accept(start, Request{Front: front, Responder: responder, ID: "00000000000000aa", Function: Function{ID: 7}, Body: []byte(body),
			Deadline: start + 2*time.Second})
		return id, responder
	}
	first, firstResponder := send(Thrift, "one")
	core.Process(start)
	for _, front := range []Front{Thrift, Webhook} {
		duplicate, responder := send(front, "other")
		core.Process(start)
		wantResponses(t, responder, 1)
		if duplicate != 0 || responder.responses[0].Status != Failed || core.OpenRequests() != 1 {
			t.Fatalf("duplicate by %v: request %d, response %+v, %d open", front, duplicate, responder.responses[0], core.OpenRequests())
		}
	}

	core.AttemptCompleted(workers.started[first][0],
		AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte("done")})
	core.Process(start + ms)
	wantResponses(t, firstResponder, 1)
	if body := string(firstResponder.responses[0].Body); body != "done" {
		t.Fatalf("the first request got the body %q", body)
	}
	if len(workers.started) != 1 || len(core.requests.table.clientIDs) != 0 || len(core.requests.table.requests) != 0 {
		t.Fatalf("%d requests sent, %d IDs reserved, %d requests tracked", len(workers.started), len(core.requests.table.clientIDs), len(core.requests.table.requests))
	}
	if again, _ := send(Thrift, "again"); again == 0 {
		t.Error("the ID of a completed request is still reserved")
	}
}

// The module does not see requests that are canceled before the next Process. Otherwise a client that sends hundreds of
// requests and cancels each at once would enlarge the load budget and cause scheduling work.
func TestRequestCanceledAtOnceNeverReachesTheModule(t *testing.T) {
	core, workers := newTestCore(t, 1)
	now := start
	core.SetEndpoints(readyWorkers(1))
	core.Process(now)
	send := func(n uint64) policy.RequestID {
		return core.Accept(now, Request{Responder: &recordingResponder{}, ID: hexID(n), Function: Function{Key: "00000000000000aa", ID: 0xaa},
			Deadline: now + time.Second})
	}
	send(1) // not canceled
	for n := range uint64(200) {
		core.CancelRequest(now, send(2+n))
	}
	waiting := 0
	for _, event := range core.events.pending {
		if event != nil {
			waiting++
		}
	}
	if waiting != 1 {
		t.Fatalf("%d events wait for the module, want only the arrival of the first request", waiting)
	}
	core.Process(now)
	if core.Counters.AttemptsStarted != 1 || len(workers.started) != 1 {
		t.Fatalf("%d attempts for %d requests, want 1 for 1", core.Counters.AttemptsStarted, len(workers.started))
	}
	if core.OpenRequests() != 1 || core.Counters.Canceled[Thrift] != 200 {
		t.Fatalf("%d requests open, %d canceled, want 1 and 200", core.OpenRequests(), core.Counters.Canceled[Thrift])
	}

	now += ms // a request that is canceled later is sent, and its attempt is canceled
	late := send(300)
	core.Process(now)
	core.CancelRequest(now, late)
	core.Process(now)
	if core.Counters.AttemptsStarted != 2 || len(workers.inFlight) != 1 || core.OpenRequests() != 1 {
		t.Fatalf("%d attempts started, %d in flight, %d requests open",
			core.Counters.AttemptsStarted, len(workers.inFlight), core.OpenRequests())
	}
}

// Tenants are identified by name. Requests of one tenant above its quota are rejected while those of another are
// served. Requests that name no configured tenant count as above quota and are rejected.
func TestTenantsAreIdentifiedByName(t *testing.T) {
	module, err := policy.New(policy.Config{Routers: 1, Tick: 4 * ms, MaxAttempts: 3, OverQuotaWeight: 0.2,
		Tenants: []policy.Tenant{{RequestsPerSecond: 4}, {RequestsPerSecond: 1000}},
		Classes: []policy.Class{{LatencyObjective: 100 * ms, Deadline: 2 * time.Second, PriorityWeight: 3}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	core := New(module, Config{
		Limits:          Limits{MaxConcurrentRequests: 1000, MaxBytes: 1 << 20},
		Tenants:         []string{"small", "large"},
		NewWorkerClient: newFakeWorkerClient().attachTo,
	})
	core.SetEndpoints(readyWorkers(1))
	now := time.Second
	rejected := map[string]int{}
	sent := uint64(0)
	for range 40 {
		for _, tenant := range []string{"small", "large", "nobody", ""} {
			sent++
			countRejected := responderFunc(func(response Response) {
				if response.Status == Rejected {
					rejected[tenant]++
				}
			})
			core.Accept(now, Request{ID: hexID(sent), Function: Function{Key: hexID(7), ID: 7, LoadTime: 200 * ms}, Tenant: tenant,
				Deadline: 3 * time.Second, Responder: countRejected})
		}
		core.Process(now)
	}
	if rejected["large"] != 0 || rejected["small"] < 20 || rejected["nobody"] != 40 || rejected[""] != 40 {
		t.Errorf("rejected %v", rejected)
	}
}

// The total size of the bodies of all open requests is limited. The body of a completed request no longer counts.
func TestBodiesOfOpenRequestsAreBounded(t *testing.T) {
	core, _ := newTestCore(t, 1)
	send := func(clientID string, bodySize int) (policy.RequestID, *recordingResponder) {
		responder := &recordingResponder{}
		id := core.Accept(start, Request{Responder: responder, ID: clientID, Body: make([]byte, bodySize), Deadline: start + time.Second})
		return id, responder
	}
	large, _ := send("large", core.requests.limits.MaxBytes)
	if large == 0 {
		t.Fatal("a body of exactly the allowed size is not accepted")
	}
	small, responder := send("small", 1)
	wantResponses(t, responder, 1)
	if small != 0 || responder.responses[0].Status != Rejected || core.Counters.RejectedAtCapacity[Thrift] != 1 {
		t.Fatalf("one byte more: request %d, response %+v", small, responder.responses[0])
	}
	core.CancelRequest(start, large)
	if again, _ := send("again", core.requests.limits.MaxBytes); again == 0 {
		t.Error("a completed request's body still counts")
	}
}

// After the highest identifier, numbering restarts at the lowest. It skips 0 and the identifiers of tracked requests.
func TestRequestIDsInUseAreSkipped(t *testing.T) {
	core, _ := newTestCore(t, 1)
	send := func(clientID string) policy.RequestID {
		return core.Accept(start, Request{Responder: &recordingResponder{}, ID: clientID, Deadline: start + time.Second})
	}
	if first := send("a"); first != 1 {
		t.Fatalf("the first request is %d, want 1", first)
	}
	core.requests.table.lastID = ^policy.RequestID(0)
	if next := send("b"); next != 2 {
		t.Errorf("the request after the highest identifier is %d, want 2: 0 stands for no request and 1 is tracked", next)
	}
}

// OnCompleted is called once for each request that was passed to the core, with the completion text that is documented
// for operators.
func TestOnCompletedIsCalledOnceForEachRequest(t *testing.T) {
	for _, test := range []struct {
		name     string
		complete func(core *Core, workers *fakeWorkerClient, id policy.RequestID)
		want     string
	}{
		{"served", func(core *Core, workers *fakeWorkerClient, id policy.RequestID) {
			core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
		}, "served"},
		{"rejected", func(core *Core, _ *fakeWorkerClient, id policy.RequestID) {
			core.execute(policy.Reject{Request: id})
		}, "refused"},
		{"failed", func(core *Core, _ *fakeWorkerClient, id policy.RequestID) {
			core.execute(policy.FailRequest{Request: id})
		}, "failed"},
		{"canceled", func(core *Core, _ *fakeWorkerClient, id policy.RequestID) {
			core.CancelRequest(start, id)
		}, "abandoned"},
	} {
		t.Run(test.name, func(t *testing.T) {
			module, err := policy.New(testPolicyConfig(), 1)
			if err != nil {
				t.Fatal(err)
			}
			workers := newFakeWorkerClient()
			var completions []string
			core := New(module, Config{
				Limits:          testLimits(),
				NewWorkerClient: workers.attachTo,
				OnCompleted: func(_ time.Duration, r *Request, completion Completion) {
					completions = append(completions, r.ID+" "+string(completion))
				},
			})
			id, _ := sendTestRequest(t, core, workers)
			core.Accept(start, Request{Responder: &recordingResponder{}, ID: "a", Deadline: start + time.Second}) // a duplicate fails
			test.complete(core, workers, id)
			for _, attempt := range workers.started[id] {
				core.AttemptCompleted(attempt, AttemptResult{Outcome: policy.Failed})
			}
			core.RejectAtCapacity(start, Request{Responder: &recordingResponder{}, ID: "b"})
			want := []string{"a failed", "a " + test.want, "b refused"}
			if !slices.Equal(completions, want) {
				t.Errorf("completions %q, want %q", completions, want)
			}
		})
	}
}
