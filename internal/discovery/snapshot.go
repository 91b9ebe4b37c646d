package discovery

import (
	"fmt"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Snapshot is the endpoint list in the platform's configuration.
type Snapshot struct {
	Offset uint32  `json:"offset"`
	Batch  []event `json:"batch"`
}

// event is a change of the list, or the whole list where it is complete.
type event struct {
	Offset   uint32 `json:"offset"`
	Topology struct {
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	} `json:"topology"`
}

// member is a worker as the configuration words it.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// phases are the states of workers by the configuration's words for them.
var phases = map[string]policy.WorkerState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Gone,
}

// SnapshotError says which worker of the configuration's endpoint list can't be used, and why.
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
	for _, e := range snapshot.Batch {
		if e.Topology.Complete {
			clear(l.workers)
		}
		for _, m := range e.Topology.Members {
			if err := l.applyMember(m); err != nil {
				return err
			}
		}
		l.serial = max(l.serial, e.Offset)
	}
	l.serial = max(l.serial, snapshot.Offset)
	return nil
}

// applyMember adds, replaces or removes a worker.
func (l *endpointList) applyMember(m member) error {
	addr, err := endpoint.ParseHost(m.HostPort)
	if err != nil {
		return &SnapshotError{Worker: m.ID, Field: "host_port", Err: err}
	}
	state, known := phases[m.Phase]
	if !known {
		return &SnapshotError{Worker: m.ID, Field: "phase", Err: unknownPhaseError(m.Phase)}
	}
	if state == policy.Gone {
		delete(l.workers, m.ID)
		return nil
	}
	l.workers[m.ID] = Worker{
		Name:    m.ID,
		Addrs:   []endpoint.Addr{addr},
		Zone:    m.Locality,
		Kind:    m.Flavor,
		State:   state,
		Weight:  m.Size,
		Cell:    m.Cell,
		Started: m.UpSince,
	}
	return nil
}
