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

	// departed holds the last start times of names that have left the list: their processes have exited.
	departed map[endpoint.NameKey]startTime
	// returned holds departed names that are listed again.
	returned map[endpoint.NameKey]returnedName
}

// returnedName is a name that is listed again after it had left the list.
type returnedName struct {
	at          time.Duration // when it was listed again
	formerStart startTime     // of the process that had it before; zero if unknown
}

func newMembership(loop *eventloop.Loop, core *router.Core, workers *workerclient.Pool, cfg *config.Config,
	logger *slog.Logger) *membership {
	return &membership{
		loop:     loop,
		core:     core,
		workers:  workers,
		config:   cfg,
		logger:   logger,
		starts:   newStartTimes(time.Now, loop.Now()),
		departed: map[endpoint.NameKey]startTime{},
		returned: map[endpoint.NameKey]returnedName{},
		unknown:  unknownGroups{config: cfg, logger: logger},
	}
}

// update replaces the endpoint list by a newer one. An empty list is no evidence that any process has exited.
func (m *membership) update(list []discovery.Worker) {
	if len(list) > 0 {
		m.detectRestarts(list)
		m.starts.update(m.loop.Now(), m.lastConfirmed, list)
	}
	if m.lastConfirmed == 0 { // the list of the configuration, at the start
		m.listConfirmed()
	}
	m.list = list
	m.publish()
}

// listConfirmed records that discovery has confirmed that the list is current.
func (m *membership) listConfirmed() { m.lastConfirmed = m.loop.Now() }

// detectRestarts records which names have left the list and which have returned. A name that returns belongs to a new
// process, which goes through slow start even if discovery reports no start time for it, or an earlier one than before.
func (m *membership) detectRestarts(list []discovery.Worker) {
	if len(m.departed) > maxDepartedNames { // names rarely return: new processes usually have new names
		clear(m.departed)
	}
	listed := map[endpoint.NameKey]bool{}
	for _, worker := range list {
		name := endpoint.KeyOf(worker.Name)
		listed[name] = true
		if formerStart, departed := m.departed[name]; departed {
			delete(m.departed, name)
			m.returned[name] = returnedName{at: m.loop.Now(), formerStart: formerStart}
		}
	}
	for _, worker := range m.list {
		name := endpoint.KeyOf(worker.Name)
		if !listed[name] {
			m.departed[name] = m.starts.byName[name]
			delete(m.returned, name)
		}
	}
}

// startTime returns when a worker's process started, on the event loop's clock. It returns 0 if discovery reports no
// start time and the name has never left the list and returned.
func (m *membership) startTime(worker discovery.Worker) startTime {
	name := endpoint.KeyOf(worker.Name)
	started, reported := m.starts.startedAt(worker.Name)
	returned, hasReturned := m.returned[name]
	switch {
	case !hasReturned || reported && started.unixMillis > returned.formerStart.unixMillis:
		return started
	case reported && started.unixMillis == returned.formerStart.unixMillis:
		return returned.formerStart // the same process
	}
	started.at = max(started.at, returned.at)
	started.earliest = started.at
	return started
}

// publish passes the merged list to the worker client, the core and the routes. It is called for each new list and
// after each reload, because a new routes file may add other addresses and aliases to the same workers.
func (m *membership) publish() {
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	present := map[policy.WorkerID]bool{}
	published := map[policy.WorkerID]mergedWorker{}
	var labels []route.Worker
	merged := m.mergeAliases()
	for _, worker := range merged {
		list.Workers = append(list.Workers, worker.endpoint)
	}
	m.core.SetEndpoints(list) // before the results of attempts that end because of the list
	for _, worker := range merged {
		e := worker.endpoint
		m.workers.SetWorker(e.Worker, worker.addrs, e.State, worker.preferredNetworks...)
		m.workers.SetProcess(e.Worker, worker.startedAfter)
		present[e.Worker] = true
		labels = append(labels, worker.labels...)
		if previous, known := m.published[e.Worker]; !known || !worker.looksLike(previous) {
			m.logUpdated(worker)
		}
		published[e.Worker] = worker
	}
	m.published = published
	m.unknown.update(m.list)
	m.workers.RetainWorkers(present)
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
