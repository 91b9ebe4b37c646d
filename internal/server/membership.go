package server

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// maxDepartedNames bounds the names that are remembered after they left the endpoint list.
const maxDepartedNames = 4096

// membership joins discovery's endpoint list with what the routes file adds to workers, and publishes the result to
// the core, the routes and the worker client. It belongs to the event loop's goroutine.
type membership struct {
	loop    *eventloop.Loop
	core    *router.Core
	workers *workerclient.Pool
	config  *config.Config
	logger  *slog.Logger

	starts   *startTimes
	lastList time.Duration // when the list was last confirmed before the present one; 0: never

	list []discovery.Worker
	// departed are names that were listed and then were not: their processes have ended.
	departed map[string]bool
	// returnedAt is when a departed name was listed again, by name.
	returnedAt map[string]time.Duration
}

func newMembership(loop *eventloop.Loop, core *router.Core, workers *workerclient.Pool, cfg *config.Config,
	logger *slog.Logger) *membership {
	return &membership{
		loop:       loop,
		core:       core,
		workers:    workers,
		config:     cfg,
		logger:     logger,
		starts:     newStartTimes(time.Now, loop.Now()),
		departed:   map[string]bool{},
		returnedAt: map[string]time.Duration{},
	}
}

// update replaces the endpoint list by a newer one. An empty list is no evidence that any process ended.
func (m *membership) update(list []discovery.Worker) {
	if len(list) > 0 {
		m.detectRestarts(list)
	}
	m.starts.update(m.loop.Now(), m.lastList, list)
	if m.lastList == 0 { // the platform's, as of the start
		m.listConfirmed()
	}
	m.list = list
	m.publish()
}

// listConfirmed records that discovery has confirmed the list as the present one.
func (m *membership) listConfirmed() { m.lastList = m.loop.Now() }

// detectRestarts records which names left the list and which came back. A name that comes back belongs to a new
// process, which goes through slow start like any other although discovery reports no start time for it.
func (m *membership) detectRestarts(list []discovery.Worker) {
	if len(m.departed) > maxDepartedNames { // as a rule they don't come back: new processes have new names
		clear(m.departed)
	}
	listed := map[string]bool{}
	for _, worker := range list {
		listed[worker.Name] = true
		if m.departed[worker.Name] {
			delete(m.departed, worker.Name)
			m.returnedAt[worker.Name] = m.loop.Now()
		}
	}
	for _, worker := range m.list {
		if !listed[worker.Name] {
			m.departed[worker.Name] = true
			delete(m.returnedAt, worker.Name)
		}
	}
}

// startTime returns when a worker's process started on the event loop's clock, or 0 where discovery reports no start
// and the worker has been listed all along.
func (m *membership) startTime(worker discovery.Worker) time.Duration {
	at, reported := m.starts.startOf(worker.Name)
	if !reported {
		return m.returnedAt[worker.Name]
	}
	return at
}

// joinedWorker is one worker process: all the entries of the list that lead to it.
type joinedWorker struct {
	name     string // all its names together
	endpoint policy.Endpoint
	addrs    []endpoint.Addr
	prefer   []endpoint.Network // order of networks that the routes file asks for
	labels   []route.Worker     // what routes select workers by, one for each entry
	started  int64              // of its first entry, in Unix milliseconds
}

// publish hands the joined list to the worker client, the core and the routes. It is called for each new list and
// after each reload, since the routes may say something else of the same workers.
func (m *membership) publish() {
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	present := map[policy.WorkerID]bool{}
	var labels []route.Worker
	for _, worker := range m.join() {
		e := worker.endpoint
		m.workers.SetWorker(e.Worker, worker.addrs, e.State, worker.prefer...)
		present[e.Worker] = true
		list.Workers = append(list.Workers, e)
		labels = append(labels, worker.labels...)
		m.logger.Info("worker_updated",
			slog.String("name", worker.name),
			slog.String("addrs", fmt.Sprint(worker.addrs)),
			slog.Any("state", e.State),
			slog.Float64("weight", e.Weight),
			slog.Int64("started", worker.started))
	}
	m.workers.RetainWorkers(present)
	m.core.SetEndpoints(list)
	m.core.SetRouteWorkers(labels)
}

// join groups the entries of the list by process. A worker is known by the names of all its entries together, so that
// when one of them leaves the list, the process that it named has ended and what is left is another worker.
func (m *membership) join() []joinedWorker {
	static := m.staticWorkers()
	entries := make([]endpoint.Entry, len(m.list))
	for i, worker := range m.list {
		entries[i] = endpoint.Entry{
			Name:   worker.Name,
			Addrs:  slices.Concat(worker.Addrs, static[i].Addrs),
			SameAs: static[i].Same,
		}
	}
	var joined []joinedWorker
	for _, group := range endpoint.GroupAliases(entries) {
		joined = append(joined, m.joinGroup(group, entries, static))
	}
	return joined
}

// staticWorkers returns what the routes file adds to each worker of the list.
func (m *membership) staticWorkers() []route.Worker {
	static := make([]route.Worker, len(m.list))
	table := m.core.Routes()
	if table == nil {
		return static
	}
	for i, worker := range m.list {
		static[i], _ = table.StaticWorker(worker.Name)
	}
	return static
}

// joinGroup makes one worker of the entries that lead to one process; group holds their positions in the list. The
// worker drains as soon as one of its entries does.
func (m *membership) joinGroup(group []int, entries []endpoint.Entry, static []route.Worker) joinedWorker {
	first := m.list[group[0]]
	joined := joinedWorker{name: endpoint.GroupName(entries, group), started: first.Started}
	joined.endpoint = policy.Endpoint{
		Worker: workerID(joined.name),
		State:  first.State,
		Weight: first.Weight,
		Cell:   first.Cell,
		Zone:   max(slices.Index(m.config.Network.Zones, first.Zone), 0),
	}
	e := &joined.endpoint
	for _, i := range group {
		worker := m.list[i]
		if worker.State != policy.Ready {
			e.State = worker.State
		}
		e.Started = max(e.Started, m.startTime(worker))
		e.Weight = max(e.Weight, worker.Weight)
		joined.addrs = append(joined.addrs, entries[i].Addrs...)
		joined.prefer = append(joined.prefer, static[i].Prefer...)
		joined.labels = append(joined.labels, route.Worker{
			ID:       e.Worker,
			Name:     worker.Name,
			Kind:     worker.Kind,
			Zone:     worker.Zone,
			Cell:     worker.Cell,
			MemoryMB: m.config.KindMemoryMB(worker.Kind),
		})
	}
	return joined
}

// workerID returns the id of a worker of that name, which is the same at every router.
func workerID(name string) policy.WorkerID {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return policy.WorkerID(hash.Sum64())
}
