package policy

import (
	"fmt"
	"time"
)

// RequestID identifies a request. It is never used twice.
type RequestID uint32

// WorkerID identifies a worker. It stays the same when the worker's process restarts.
type WorkerID uint64

// FunctionID identifies a function (a model) that workers load on demand.
type FunctionID uint64

// Outcome is the result of an attempt, a health check or a load command.
type Outcome uint8

// The outcomes. Overloaded, Unreachable, NotSent, NotLoaded and Saturated prove that the attempt never ran.
const (
	Served          Outcome = iota
	Failed                  // the worker responded with an error
	Overloaded              // the worker rejected it without processing it
	TimedOut                // no response in time
	Unreachable             // no connection could be made
	ConnectionReset         // the connection broke
	Canceled                // canceled by the router or its client
	NotSent                 // not sent, or too late for the worker to run it
	NotLoaded               // the worker has no replica of the function
	ProcessReplaced         // the worker's process was replaced by another one; it may have run
	Saturated               // no connection to the worker could take it, because of this router's limits

	OutcomeCount = iota // number of outcomes
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == Unreachable || o == NotSent || o == NotLoaded || o == Saturated
}

// String returns the outcome in lower case. Log attributes that count outcomes use these names.
func (o Outcome) String() string {
	return nameOf("Outcome", o, "served", "failed", "overloaded", "timed_out", "unreachable",
		"connection_reset", "canceled", "not_sent", "not_loaded", "process_replaced", "saturated")
}

// LoadStatus is a response's report on whether a replica was loaded when the request arrived at the worker.
type LoadStatus uint8

// The load statuses.
const (
	LoadStatusUnknown LoadStatus = iota
	AlreadyLoaded                // a replica was loaded
	StartedLoad                  // the request started a load
	WaitedForLoad                // the request waited for a load that had started before
	LoadFailed                   // the load that the request waited for failed
)

// String returns the load status in lower case.
func (s LoadStatus) String() string {
	return nameOf("LoadStatus", s,
		"unknown", "already loaded", "started load", "waited for load", "load failed")
}

// WorkerState is the state of a worker in the endpoint list.
type WorkerState uint8

// The worker states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// String returns the state in lower case.
func (s WorkerState) String() string { return nameOf("WorkerState", s, "gone", "ready", "draining") }

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Worker  WorkerID
	State   WorkerState
	Zone    Group
	Cell    Group
	Weight  float64       // size relative to other workers; 0: unknown
	Started time.Duration // when its process last started, on the clock of Handle; 0: long ago
}

// EndpointListKind is the kind of an EndpointList.
type EndpointListKind uint8

// The kinds of EndpointList.
const (
	EndpointDelta          EndpointListKind = iota // only the entries that changed
	EndpointSnapshot                               // the whole list
	CachedEndpointSnapshot                         // the whole list as last known; it may be out of date
	EndpointListFailed                             // a query failed or the subscription broke; no entries
)

// String returns the kind in lower case.
func (k EndpointListKind) String() string {
	return nameOf("EndpointListKind", k, "delta", "snapshot", "cached snapshot", "failed")
}

// nameOf returns the name at the index value, or the type and the number of a value that has no name.
func nameOf[T ~uint8](kind string, value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", kind, uint8(value))
}

// Event is something that happened at the router. Only types of this package implement it.
type Event interface{ event() }

// EndpointList reports the endpoint list or changes of it.
type EndpointList struct {
	Kind    EndpointListKind
	Workers []Endpoint
}

// NoTenant is the tenant of a request that names no tenant of the settings. If the settings have tenants,
// such a request is always beyond its quota.
const NoTenant = -1

// RequestArrived reports a new request, which must get exactly one final response.
type RequestArrived struct {
	Request   RequestID
	Class     int
	Tenant    int // index in Config.Tenants, or NoTenant
	Function  FunctionID
	Lanes     float64        // number of requests that one replica runs at a time
	MemoryMB  float64        // memory of one replica
	LoadTime  time.Duration  // usual duration of a load; 0: unknown
	Work      time.Duration  // expected run time, as a hint of the client; 0: unknown
	Remaining time.Duration  // time until the request's deadline
	IsRetry   bool           // the client has sent the request before
	Policy    *RequestPolicy // limits that its route adds; nil: none
}

// RequestCanceled reports that the client canceled its request, which needs no response any more.
type RequestCanceled struct{ Request RequestID }

// TimerFired reports that a timer set by SetTimer fired.
type TimerFired struct{ Token uint64 }

// HealthCheckCompleted reports the result of CheckHealth.
type HealthCheckCompleted struct {
	Worker  WorkerID
	Outcome Outcome
	Took    time.Duration
	Report  []float64 // load report, in the order of Config.LoadReportFields; empty: none was received
}

// GossipReceived reports a gossip message from another router.
type GossipReceived struct {
	From int
	Data []byte
}

// LoadCompleted reports the result of a Load.
type LoadCompleted struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Count    int // number of replicas that are loaded at the worker
}

// ResponseStarted reports that the response to a streamed request has started.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// AttemptCompleted reports the result of an attempt.
type AttemptCompleted struct {
	Request       RequestID
	Attempt       int
	Worker        WorkerID
	Outcome       Outcome
	LoadStatus    LoadStatus
	Concurrency   int  // with ConcurrencyReported: the worker's requests of the function in flight
	RequestClosed bool // the request has its final response
	Took          time.Duration
	Report        []float64 // load report, in the order of Config.LoadReportFields; empty: none was received
}

func (EndpointList) event()         {}
func (RequestArrived) event()       {}
func (RequestCanceled) event()      {}
func (TimerFired) event()           {}
func (HealthCheckCompleted) event() {}
func (GossipReceived) event()       {}
func (LoadCompleted) event()        {}
func (ResponseStarted) event()      {}
func (AttemptCompleted) event()     {}
