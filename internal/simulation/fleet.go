package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"crankhold/internal/timerheap"
	"crankhold/policy"
)

// networkDelay is how long a message takes from a router to a worker, or from a worker to a router.
const networkDelay = time.Millisecond / 2

// Fleet is a set of routers and workers that share a virtual clock.
type Fleet struct {
	Routers  []*Router
	Workers  map[policy.WorkerID]*Worker
	Requests []*Request // in the order in which clients sent them

	cfg    Config
	now    time.Duration
	events timerheap.Heap[func()]
	random *rand.Rand
	// endpoints holds the endpoints of discovery that were changed or added since the start of the run.
	endpoints map[policy.WorkerID]policy.Endpoint
	// versions maps a function to the new version that clients request after Release.
	versions map[policy.FunctionID]policy.FunctionID
}

// New returns a fleet. Its clock starts at one hour, so that all its workers have completed their slow start.
func New(cfg Config) (*Fleet, error) {
	cfg.Settings.Routers = cfg.Routers
	f := &Fleet{
		Workers:   map[policy.WorkerID]*Worker{},
		cfg:       cfg,
		now:       time.Hour,
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		endpoints: map[policy.WorkerID]policy.Endpoint{},
		versions:  map[policy.FunctionID]policy.FunctionID{},
	}
	for range cfg.Workers {
		f.addWorker()
	}
	for range cfg.Routers {
		if err := f.addRouter(); err != nil {
			return nil, fmt.Errorf("simulated fleet: %w", err)
		}
	}
	return f, nil
}

func (f *Fleet) addWorker() *Worker {
	id := policy.WorkerID(len(f.Workers) + 1)
	w := newWorker(f, id)
	f.Workers[id] = w
	return w
}

func (f *Fleet) addRouter() error {
	r := &Router{fleet: f, index: len(f.Routers), trafficWeight: 1}
	if f.cfg.UnevenTraffic {
		r.trafficWeight += 4 * math.Pow(f.random.Float64(), 4)
	}
	f.Routers = append(f.Routers, r)
	return r.start()
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// After calls do after d of virtual time. Calls that are due at the same time are made in the order in which they were
// scheduled.
func (f *Fleet) After(d time.Duration, do func()) {
	f.events.Add(f.now+max(d, 0), do)
}

// Run advances virtual time by d and makes every call that becomes due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now + d
	for {
		event, ok := f.events.PopDue(end)
		if !ok {
			f.now = end
			return
		}
		f.now = event.Due()
		event.Value()
	}
}

// Notify changes an endpoint in discovery. Each router is notified of the change after a random delay of at most
// within.
func (f *Fleet) Notify(within time.Duration, endpoint policy.Endpoint) {
	f.endpoints[endpoint.Worker] = endpoint
	for _, r := range f.Routers {
		delay := time.Duration(f.random.Int64N(int64(within) + 1))
		f.After(delay, func() { r.endpointChanged(endpoint) })
	}
}

// StartWorker adds a worker that has just started and has no replicas. Routers are notified of it only by Notify.
func (f *Fleet) StartWorker() *Worker {
	w := f.addWorker()
	w.Started = f.now
	return w
}

// newVersionOffset is added to a function's id to get the id of its new version after Release.
const newVersionOffset = 1 << 20

// Release makes clients request a new version of the given number of every ten functions. The new versions have no
// replicas, and replicas of the old versions stay loaded.
func (f *Fleet) Release(inTen int) {
	for function := 1; function <= f.cfg.Functions; function++ {
		if function%10 < inTen {
			f.versions[policy.FunctionID(function)] = policy.FunctionID(function + newVersionOffset)
		}
	}
}
