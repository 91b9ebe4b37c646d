package server

import (
	"fmt"
	"log/slog"
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

// logUpdated logs a worker that is new or looks different.
func (m *membership) logUpdated(w mergedWorker) {
	m.logger.Info("worker_updated",
		slog.String("name", w.name),
		slog.String("addrs", fmt.Sprint(w.addrs)),
		slog.Any("state", w.endpoint.State),
		slog.Float64("weight", w.endpoint.Weight),
		slog.Int64("started", w.started))
}
