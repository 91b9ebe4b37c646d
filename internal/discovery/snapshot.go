package discovery

import (
	"fmt"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Snapshot is the endpoint list in the platform's configuration. It consists of changes that are applied in order.
type Snapshot struct {
	Serial  uint32  `json:"offset"` // serial number of the list after all changes
	Changes []event `json:"batch"`
}

// event is a change of the list. If List.Complete is set, it replaces the whole list.
type event struct {
	Serial uint32 `json:"offset"`
	List   struct {
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	} `json:"topology"`
}

// member describes a worker in the configuration.
type member struct {
	Name    string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    *int    `json:"cell"`
	State   string  `json:"phase"` // a key of workerStates
	Weight  float64 `json:"size"`
	Started int64   `json:"up_since_ms"` // in Unix milliseconds
}

// workerStates holds the states of workers by their names in the configuration.
var workerStates = map[string]policy.WorkerState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Gone,
}

// SnapshotError reports why a worker in the configuration's endpoint list is invalid.
type SnapshotError struct {
	Worker string // the worker's id
	Field  string // the JSON key of the invalid value
	Err    error
}

// Error names the worker; the cause describes the invalid value.
func (e *SnapshotError) Error() string { return fmt.Sprintf("known: worker %q: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// unknownPhaseError reports a phase that is no key of workerStates.
type unknownPhaseError string

func (e unknownPhaseError) Error() string { return fmt.Sprintf("unknown phase %q", string(e)) }

// applySnapshot applies the changes of a snapshot in order. Its error is a SnapshotError.
func (l *endpointList) applySnapshot(snapshot Snapshot) error {
	for _, change := range snapshot.Changes {
		if change.List.Complete {
			clear(l.workers)
		}
		if err := l.applyMembers(change.List.Members); err != nil {
			return err
		}
		l.serial = max(l.serial, change.Serial)
	}
	l.serial = max(l.serial, snapshot.Serial)
	return nil
}

// applyMembers applies the members of one change. Members of one name that disagree on their zone or cell leave it
// unknown, as they do in a response of discovery.
func (l *endpointList) applyMembers(members []member) error {
	applied := map[endpoint.NameKey]Worker{}
	for _, m := range members {
		worker, err := m.worker()
		if err != nil {
			return err
		}
		key := endpoint.KeyOf(m.Name)
		if worker.State == policy.Gone {
			delete(l.workers, key)
			delete(applied, key)
			continue
		}
		if other, repeated := applied[key]; repeated {
			worker.forgetDifferences(other)
		}
		applied[key] = worker
		l.workers[key] = worker
	}
	return nil
}

// worker returns the worker that a member describes. Its error is a SnapshotError.
func (m member) worker() (Worker, error) {
	addr, err := endpoint.ParseHost(m.Addr)
	if err != nil {
		return Worker{}, &SnapshotError{Worker: m.Name, Field: "host_port", Err: err}
	}
	state, known := workerStates[m.State]
	if !known {
		return Worker{}, &SnapshotError{Worker: m.Name, Field: "phase", Err: unknownPhaseError(m.State)}
	}
	worker := Worker{
		Name:    m.Name,
		Addrs:   []endpoint.Addr{addr},
		Zone:    m.Zone,
		Kind:    m.Kind,
		State:   state,
		Weight:  m.Weight,
		Started: m.Started,
	}
	if m.Cell != nil {
		worker.setCell(int64(*m.Cell))
	}
	return worker, nil
}
