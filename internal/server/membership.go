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

// maxDepartedNames is the number of departed names at which all of them are forgotten.
const maxDepartedNames = 4096

// membership combines discovery's endpoint list with what the routes file adds to workers, and publishes the result to
// the core, the routes and the worker client. It belongs to the event loop's goroutine.
type membership struct {
	loop    *eventloop.Loop
	core    *router.Core
	workers *workerclient.Pool
	config  *config.Config
	logger  *slog.Logger

	starts        *startTimes
	lastConfirmed time.Duration // when discovery last confirmed the list; 0: never

	list      []discovery.Worker
	published map[policy.WorkerID]mergedWorker // what publish last passed on
	unknown   unknownGroups

	// departed holds names that have left the list: their processes have exited.
	departed map[endpoint.NameKey]bool
	// returnedAt holds the times at which departed names were listed again, by name.
	returnedAt map[endpoint.NameKey]time.Duration
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
		departed:   map[endpoint.NameKey]bool{},
		returnedAt: map[endpoint.NameKey]time.Duration{},
		unknown:    unknownGroups{config: cfg, logger: logger},
	}
}

// update replaces the endpoint list by a newer one. An empty list is no evidence that any process has exited.
func (m *membership) update(list []discovery.Worker) {
	if len(list) > 0 {
		m.detectRestarts(list)
	}
	m.starts.update(m.loop.Now(), m.lastConfirmed, list)
	if m.lastConfirmed == 0 { // the list of the configuration, at the start
		m.listConfirmed()
	}
	m.list = list
	m.publish()
}

// listConfirmed records that discovery has confirmed that the list is current.
func (m *membership) listConfirmed() { m.lastConfirmed = m.loop.Now() }

// detectRestarts records which names have left the list and which have returned. A name that returns belongs to a new
// process, which goes through slow start even if discovery reports no start time for it.
func (m *membership) detectRestarts(list []discovery.Worker) {
	if len(m.departed) > maxDepartedNames { // names rarely return: new processes usually have new names
		clear(m.departed)
	}
	listed := map[endpoint.NameKey]bool{}
	for _, worker := range list {
		name := endpoint.KeyOf(worker.Name)
		listed[name] = true
		if m.departed[name] {
			delete(m.departed, name)
			m.returnedAt[name] = m.loop.Now()
		}
	}
	for _, worker := range m.list {
		name := endpoint.KeyOf(worker.Name)
		if !listed[name] {
			m.departed[name] = true
			delete(m.returnedAt, name)
		}
	}
}

// startTime returns when a worker's process started, on the event loop's clock. It returns 0 if discovery reports no
// start time and the name has never left the list and returned.
func (m *membership) startTime(worker discovery.Worker) time.Duration {
	at, reported := m.starts.startedAt(worker.Name)
	if !reported {
		return m.returnedAt[endpoint.KeyOf(worker.Name)]
	}
	return at
}

// mergedWorker is one worker process with all the entries of the list that lead to it.
type mergedWorker struct {
	name              string // of all its entries together
	endpoint          policy.Endpoint
	addrs             []endpoint.Addr
	preferredNetworks []endpoint.Network // in the order that the routes file sets
	labels            []route.Worker     // what routes select workers by, one for each entry
	started           int64              // start time of the first entry, in Unix milliseconds
}

// publish passes the merged list to the worker client, the core and the routes. It is called for each new list and
// after each reload, because a new routes file may add other addresses and aliases to the same workers.
func (m *membership) publish() {
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	present := map[policy.WorkerID]bool{}
	published := map[policy.WorkerID]mergedWorker{}
	var labels []route.Worker
	for _, worker := range m.mergeAliases() {
		e := worker.endpoint
		m.workers.SetWorker(e.Worker, worker.addrs, e.State, worker.preferredNetworks...)
		present[e.Worker] = true
		list.Workers = append(list.Workers, e)
		labels = append(labels, worker.labels...)
		if previous, known := m.published[e.Worker]; !known || !worker.looksLike(previous) {
			m.logUpdated(worker)
		}
		published[e.Worker] = worker
	}
	m.published = published
	m.unknown.update(m.list)
	m.workers.RetainWorkers(present)
	m.core.SetEndpoints(list)
	m.core.SetRouteWorkers(labels)
}

// looksLike reports whether the log shows the two workers alike.
func (w mergedWorker) looksLike(other mergedWorker) bool {
	return w.name == other.name &&
		slices.Equal(w.addrs, other.addrs) &&
		w.endpoint.State == other.endpoint.State &&
		w.endpoint.Weight == other.endpoint.Weight &&
		w.started == other.started
}

// logUpdated logs a worker that is new or looks different.
func (m *membership) logUpdated(w mergedWorker) {
	m.logger.Info("worker_updated",
		slog.String("name", w.name),
		slog.String("addrs", fmt.Sprint(w.addrs)),
		slog.Any("state", w.endpoint.State),
		slog.Float64("weight", w.endpoint.Weight),
		slog.Int64("started", w.started))
}

// mergeAliases groups the entries of the list by process. The name of a worker consists of the names of all its
// entries. When one entry leaves the list, its process has exited, and the remaining entries are another worker.
func (m *membership) mergeAliases() []mergedWorker {
	static := m.staticWorkers()
	entries := make([]endpoint.Entry, len(m.list))
	for i, worker := range m.list {
		entries[i] = endpoint.Entry{
			Name:    worker.Name,
			Addrs:   slices.Concat(worker.Addrs, static[i].Addrs),
			AliasOf: static[i].AliasOf,
		}
	}
	var merged []mergedWorker
	for _, group := range endpoint.GroupAliases(entries) {
		merged = append(merged, m.mergeGroup(group, entries, static))
	}
	return merged
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

// mergeGroup merges the entries that lead to one process into one worker. group holds their indexes in the list. The
// worker is draining as soon as one of its entries is. Its zone and its cell are known if all entries agree on them.
func (m *membership) mergeGroup(group []int, entries []endpoint.Entry, static []route.Worker) mergedWorker {
	first := m.list[group[0]]
	merged := mergedWorker{name: endpoint.GroupName(entries, group), started: first.Started}
	merged.endpoint = policy.Endpoint{
		Worker: workerID(merged.name),
		State:  first.State,
		Weight: first.Weight,
		Cell:   first.Cell,
		Zone:   m.config.ZoneGroup(first.Zone),
	}
	e := &merged.endpoint
	for _, i := range group {
		worker := m.list[i]
		if worker.State != policy.Ready {
			e.State = worker.State
		}
		e.Started = max(e.Started, m.startTime(worker))
		e.Weight = max(e.Weight, worker.Weight)
		e.Zone = sameOrUnknown(e.Zone, m.config.ZoneGroup(worker.Zone))
		e.Cell = sameOrUnknown(e.Cell, worker.Cell)
		merged.addrs = append(merged.addrs, entries[i].Addrs...)
		merged.preferredNetworks = append(merged.preferredNetworks, static[i].Prefer...)
		merged.labels = append(merged.labels, route.Worker{
			ID:       e.Worker,
			Name:     worker.Name,
			Kind:     worker.Kind,
			Zone:     worker.Zone,
			Cell:     worker.Cell,
			MemoryMB: m.config.KindMemoryMB(worker.Kind),
		})
	}
	return merged
}

// sameOrUnknown returns the group that both are, or a group that isn't known.
func sameOrUnknown(a, b policy.Group) policy.Group {
	if a.Same(b) {
		return a
	}
	return policy.Group{}
}

// workerID derives the id of a worker from its name, so that it is the same on every router, and for every spelling of
// the name.
func workerID(name string) policy.WorkerID {
	hash := fnv.New64a()
	hash.Write([]byte(endpoint.KeyOf(name)))
	return policy.WorkerID(hash.Sum64())
}
