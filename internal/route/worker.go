package route

import (
	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// UnknownCell is the cell of a worker whose cell is not known.
const UnknownCell = -1

// Worker is a worker with what is known of it. In a Spec it adds to what discovery says of the worker of that name.
type Worker struct {
	ID       policy.WorkerID // of a listed worker
	Name     string
	Kind     string
	Zone     string
	Cell     int // UnknownCell: not known
	MemoryMB float64
	Labels   map[string]string
	Addrs    []endpoint.Addr    // further addresses
	Prefer   []endpoint.Network // the order of its networks
	Same     string             // name of the worker that this one is an alias of
	At       string
}

// withStatic returns w with what a static entry says of it, which takes precedence. Labels come from static entries
// alone.
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
	if static.Cell >= 0 {
		w.Cell = static.Cell
	}
	if static.MemoryMB > 0 {
		w.MemoryMB = static.MemoryMB
	}
	w.Labels = static.Labels
	return w
}

// SetWorkers replaces the workers from which the pools select theirs.
func (t *Table) SetWorkers(workers []Worker) {
	for _, p := range t.pools {
		p.members = map[policy.WorkerID]bool{}
	}
	for _, w := range workers {
		w = w.withStatic(t.staticWorkers[w.Name])
		for _, p := range t.pools {
			if p.Spec.selects(w) {
				p.members[w.ID] = true
			}
		}
	}
}
