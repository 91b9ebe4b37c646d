package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/router"
	"crankhold/internal/timerheap"
	"crankhold/policy"
)

// Times of the simulated workers and clients, in virtual time.
const (
	coreServiceTime   = 80 * time.Millisecond
	coreRejectionTime = time.Millisecond
	coreLoadTime      = 300 * time.Millisecond
	coreKeepAlive     = 10 * time.Second // after which an idle replica is unloaded
	coreTimeout       = 2 * time.Second  // of a request
)

// functionsPerWorker times the number of workers is the number of functions that are requested.
const functionsPerWorker = 3

// replicaID identifies the replica of a function at a worker.
type replicaID struct {
	worker   policy.WorkerID
	function policy.FunctionID
}

// coreFleet runs a router's core together with simulated workers and clients, in virtual time. It implements
// router.WorkerClient in place of the workers and router.Responder in place of the clients.
type coreFleet struct {
	core      *router.Core
	workers   int
	now       time.Duration
	responses timerheap.Heap[func()]      // responses of workers that have not reached the core yet
	replicas  map[replicaID]time.Duration // when each replica is unloaded
	random    *rand.Rand
	nextTurn  time.Duration // when the core asked to be called again
	responded int           // requests that have a response
}

func newCoreFleet(workers int) (*coreFleet, error) {
	module, err := policy.New(corePolicyConfig(), 1)
	if err != nil {
		return nil, err
	}
	f := &coreFleet{
		workers:  workers,
		now:      time.Hour,
		replicas: map[replicaID]time.Duration{},
		random:   rand.New(rand.NewPCG(1, 2)),
	}
	f.core = router.New(module, router.Config{
		Limits: router.Limits{
			MaxConcurrentRequests: 1 << 20,
			MaxBytes:              1 << 30,
			MaxAttempts:           3,
			LoadTimeout:           10 * time.Second,
			HealthCheckTimeout:    250 * time.Millisecond,
		},
		NewWorkerClient: func(*router.Core) router.WorkerClient { return f },
	})
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for n := range workers {
		endpoint := policy.Endpoint{
			Worker: policy.WorkerID(n + 1),
			State:  policy.Ready,
			Weight: 1,
			Zone:   policy.KnownGroup(0),
			Cell:   policy.KnownGroup(0),
		}
		list.Workers = append(list.Workers, endpoint)
	}
	f.core.SetEndpoints(list)
	f.nextTurn = f.core.Process(f.now)
	return f, nil
}

func corePolicyConfig() policy.Config {
	return policy.Config{
		Routers:               1,
		Tick:                  4 * time.Millisecond,
		MaxAttempts:           3,
		CancelSupported:       true,
		HealthCheckSupported:  true,
		HedgingAllowed:        true,
		LoadCommandsSupported: true,
		MissWhenNotLoaded:     true,
		LoadStatusReported:    true,
		RetryAfterSupported:   true,
		MaxRetryAfter:         time.Second,
		OverQuotaWeight:       1,
		KeepAlive:             coreKeepAlive,
		LoadTimeout:           10 * time.Second,
		LoadBudgetWindow:      loadBudgetWindow,
		LoadBudgetMinimum:     loadBudgetMinimum,
		LoadBudgetRatio:       loadBudgetRatio,
		DrainGracePeriod:      time.Second,
		LoadReportFields:      []string{"inflight"},
		InlineLoadReports:     true,
		Classes: []policy.Class{{
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         coreTimeout,
			PriorityWeight:   3,
		}},
	}
}

// run sends the given number of requests at a constant rate.
func (f *coreFleet) run(requests int) {
	interval := time.Second / time.Duration(requestsPerWorker*f.workers)
	for n := range requests {
		f.advance(f.now + interval)
		f.send(n)
	}
}

// advance moves virtual time forward. It delivers responses that are due, and calls the core at the times that the core
// asked for.
func (f *coreFleet) advance(to time.Duration) {
	for {
		due := f.nextTurn
		if response, ok := f.responses.NextDue(); ok {
			due = min(due, response)
		}
		if due > to {
			break
		}
		f.now = max(f.now, due)
		f.core.SetNow(f.now)
		for {
			response, ok := f.responses.PopDue(f.now)
			if !ok {
				break
			}
			response.Value()
		}
		f.nextTurn = f.core.Process(f.now)
	}
	f.now = to
}

// send sends the n-th request for a random function. Functions with low numbers are requested more often.
func (f *coreFleet) send(n int) {
	functions := float64(functionsPerWorker * f.workers)
	function := 1 + int(functions*f.random.Float64()*f.random.Float64())
	f.core.Accept(f.now, router.Request{
		Responder: f,
		ID:        fmt.Sprint(n, f.now),
		Function:  router.Function{ID: policy.FunctionID(function), Lanes: 2, LoadTime: coreLoadTime},
		Deadline:  f.now + coreTimeout,
	})
	f.nextTurn = f.core.Process(f.now)
}

// respondAfter schedules a response that reaches the core after d.
func (f *coreFleet) respondAfter(d time.Duration, respond func()) { f.responses.Add(f.now+d, respond) }

// StartAttempt implements router.WorkerClient.
func (f *coreFleet) StartAttempt(
	worker policy.WorkerID, attempt router.Attempt, request *router.Request, _ time.Duration,
) {
	id := replicaID{worker, request.Function.ID}
	if f.replicas[id] < f.now {
		f.respondAfter(coreRejectionTime, func() {
			f.core.AttemptCompleted(attempt, router.AttemptResult{Outcome: policy.NotLoaded})
		})
		return
	}
	f.replicas[id] = f.now + coreKeepAlive
	f.respondAfter(coreServiceTime, func() {
		f.core.AttemptCompleted(attempt, router.AttemptResult{
			Outcome:    policy.Served,
			LoadStatus: policy.AlreadyLoaded,
			LoadReport: []float64{1},
		})
	})
}

// Load implements router.WorkerClient.
func (f *coreFleet) Load(worker policy.WorkerID, function policy.FunctionID, _ int, tag uint64) {
	f.respondAfter(coreLoadTime, func() {
		f.replicas[replicaID{worker, function}] = f.now + coreKeepAlive
		f.core.LoadCompleted(tag, policy.Served, 1)
	})
}

// CheckHealth implements router.WorkerClient.
func (f *coreFleet) CheckHealth(_ policy.WorkerID, tag uint64) {
	f.respondAfter(time.Millisecond, func() { f.core.HealthCheckCompleted(tag, policy.Served, []float64{1}) })
}

// CancelAttempt implements router.WorkerClient. The worker completes what it has started.
func (f *coreFleet) CancelAttempt(policy.WorkerID, router.Attempt) {}

// WithdrawUnsent implements router.WorkerClient. There is never anything to withdraw because messages leave at once.
func (f *coreFleet) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }

// CancelCommand implements router.WorkerClient. It does nothing because no state is kept for a command.
func (f *coreFleet) CancelCommand(policy.WorkerID, uint64) {}

// Unload implements router.WorkerClient. It does nothing: replicas stay loaded until they were idle for coreKeepAlive.
func (f *coreFleet) Unload(policy.WorkerID, policy.FunctionID) {}

// CloseIdle implements router.WorkerClient. It does nothing because there are no connections.
func (f *coreFleet) CloseIdle(policy.WorkerID) {}

// Respond implements router.Responder.
func (f *coreFleet) Respond(router.Response) { f.responded++ }
