package server

import (
	"hash/fnv"
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/route"
	"crankhold/policy"
)

// mergedWorker is one worker process with all the entries of the list that lead to it.
type mergedWorker struct {
	name              string // of all its entries together
	endpoint          policy.Endpoint
	addrs             []endpoint.Addr
	preferredNetworks []endpoint.Network // in the order that the routes file sets
	labels            []route.Worker     // what routes select workers by, one for each entry
	started           int64              // start time of the first entry, in Unix milliseconds
	startedAfter      time.Duration      // its process did not start before; on the event loop's clock, 0 if unknown
}

// looksLike reports whether the log shows the two workers alike.
func (w mergedWorker) looksLike(other mergedWorker) bool {
	return w.name == other.name &&
		slices.Equal(w.addrs, other.addrs) &&
		w.endpoint.State == other.endpoint.State &&
		w.endpoint.Weight == other.endpoint.Weight &&
		w.started == other.started
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
		started := m.startTime(worker)
		e.Started = max(e.Started, started.at)
		merged.startedAfter = max(merged.startedAfter, started.earliest)
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
