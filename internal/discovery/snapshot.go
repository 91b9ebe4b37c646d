package discovery

import (
	"fmt"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Snapshot is the endpoint list in the platform's configuration: changes that are applied in their order.
type Snapshot struct {
	Serial  uint32  `json:"offset"` // of the list after all changes
	Changes []event `json:"batch"`
}

// event is a change of the list, or the whole list where it is complete.
type event struct {
	Serial uint32 `json:"offset"`
	List   struct {
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	} `json:"topology"`
}

// member is a worker in the configuration.
type member struct {
	Name    string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	State   string  `json:"phase"` // a key of workerStates
	Weight  float64 `json:"size"`
	Started int64   `json:"up_since_ms"` // in Unix milliseconds
}

// workerStates are the states of workers by the configuration's words for them.
var workerStates = map[string]policy.WorkerState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Gone,
}

// SnapshotError says why a worker of the configuration's endpoint list can't be used.
type SnapshotError struct {
	Worker string // its id
	Field  string // the JSON key of what is wrong
	Err    error
}

// Error names the worker; the cause says which value is wrong.
func (e *SnapshotError) Error() string { return fmt.Sprintf("known: worker %q: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// unknownPhaseError is a phase that the protocol does not have.
type unknownPhaseError string

func (e unknownPhaseError) Error() string { return fmt.Sprintf("unknown phase %q", string(e)) }

// applySnapshot applies the lists and changes of a snapshot in their order. Its error is a SnapshotError.
func (l *endpointList) applySnapshot(snapshot Snapshot) error {
	for _, change := range snapshot.Changes {
		if change.List.Complete {
			clear(l.workers)
		}
		for _, m := range change.List.Members {
			if err := l.applyMember(m); err != nil {
				return err
			}
		}
		l.serial = max(l.serial, change.Serial)
	}
	l.serial = max(l.serial, snapshot.Serial)
	return nil
}

// applyMember adds, replaces or removes a worker.
func (l *endpointList) applyMember(m member) error {
	addr, err := endpoint.ParseHost(m.Addr)
	if err != nil {
		return &SnapshotError{Worker: m.Name, Field: "host_port", Err: err}
	}
	state, known := workerStates[m.State]
	if !known {
		return &SnapshotError{Worker: m.Name, Field: "phase", Err: unknownPhaseError(m.State)}
	}
	if state == policy.Gone {
		delete(l.workers, m.Name)
		return nil
	}
	l.workers[m.Name] = Worker{
		Name:    m.Name,
		Addrs:   []endpoint.Addr{addr},
		Zone:    m.Zone,
		Kind:    m.Kind,
		State:   state,
		Weight:  m.Weight,
		Cell:    m.Cell,
		Started: m.Started,
	}
	return nil
}
