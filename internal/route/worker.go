package route

import (
	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Worker describes a worker. In a Spec it is a static entry, which adds to the properties that discovery reports for
// the worker of that name.
type Worker struct {
	ID       policy.WorkerID // set for workers of the endpoint list
	Name     string
	Kind     string
	Zone     string
	Cell     policy.Group
	MemoryMB float64
	Labels   map[string]string
	Addrs    []endpoint.Addr    // addresses in addition to those of the endpoint list
	Prefer   []endpoint.Network // networks in order of preference
	AliasOf  string             // name of the worker that this one is an alias of
	At       string             // file:line
}

// withStatic returns w with the properties of its static entry, which take precedence. Labels come only from static
// entries. If the worker has no static entry, static is the zero Worker.
func (w Worker) withStatic(static Worker) Worker {
	if static.Name == "" {
		return w
	}
	if static.Kind != "" {
		w.Kind = static.Kind
	}
	if static.Zone != "" {
		w.Zone = static.Zone
	}
	if static.Cell.IsKnown() {
		w.Cell = static.Cell
	}
	if static.MemoryMB > 0 {
		w.MemoryMB = static.MemoryMB
	}
	w.Labels = static.Labels
	return w
}

// SetWorkers replaces the list of workers, and selects each pool's workers from it. Pools with the same selectors share
// the set of their workers.
func (t *Table) SetWorkers(workers []Worker) {
	listed := make([]Worker, len(workers))
	for i, w := range workers {
		listed[i] = w.withStatic(t.staticWorkers[endpoint.KeyOf(w.Name)])
	}
	index := newWorkerIndex(listed)
	selected := map[string]workerSet{} // by Pool.selectorsKey
	for _, p := range t.pools {
		members, ok := selected[p.selectorsKey]
		if !ok {
			members = index.members(p.Spec.Selectors)
			selected[p.selectorsKey] = members
		}
		p.members = members
	}
}
