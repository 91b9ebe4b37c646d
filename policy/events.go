package policy

import (
	"fmt"
	"time"
)

// RequestID names a request; it is never used twice.
type RequestID uint32

// WorkerID names a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID names a function (a model) that workers load on demand.
type FunctionID uint64

// Outcome is how an attempt, a health check or a load command ended.
type Outcome uint8

// The outcomes. Overloaded, Unreachable, NotSent and NotLoaded prove that an attempt never ran.
const (
	Served          Outcome = iota
	Failed                  // the worker responded with an error
	Overloaded              // the worker rejected it unseen
	TimedOut                // no response in time
	Unreachable             // no connection could be made
	ConnectionReset         // the connection broke
	Canceled                // canceled by the router or its client
	NotSent                 // there was no time left to send it
	NotLoaded               // the function is not loaded there
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == Unreachable || o == NotSent || o == NotLoaded
}

// String returns the outcome in lower case. Log attributes that count outcomes have these names.
func (o Outcome) String() string {
	return nameOf("Outcome", o, "served", "failed", "overloaded", "timed_out", "unreachable", "connection_reset",
		"canceled", "not_sent", "not_loaded")
}

// LoadStatus is what a response reports of the function's replica.
type LoadStatus uint8

// The kinds of LoadStatus.
const (
	LoadStatusUnknown LoadStatus = iota
	AlreadyLoaded                // a replica was loaded
	StartedLoad                  // this request began a load
	WaitedForLoad                // it waited for a load begun before
	LoadFailed                   // the load that it waited for failed
)

// String returns the load status in lower-case words.
func (s LoadStatus) String() string {
	return nameOf("LoadStatus", s,
		"unknown", "already loaded", "started load", "waited for load", "load failed")
}

// WorkerState is what the endpoint list says of a worker.
type WorkerState uint8

// The worker states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// String returns the state in lower case.
func (s WorkerState) String() string { return nameOf("WorkerState", s, "gone", "ready", "draining") }

// Endpoint is one line of an endpoint list.
type Endpoint struct {
	Worker  WorkerID
	State   WorkerState
	Zone    int
	Cell    int
	Weight  float64       // size in comparison with other workers; 0 where unknown
	Started time.Duration // clock time of its last start; 0: long ago
}

// EndpointListKind is the kind of an EndpointList.
type EndpointListKind uint8

// The kinds of EndpointList.
const (
	EndpointDelta          EndpointListKind = iota // changed entries only
	EndpointSnapshot                               // the whole list
	CachedEndpointSnapshot                         // the whole list as last known, maybe old
	EndpointListFailed                             // a query failed or the subscription broke; no entries
)

// String returns the kind in lower-case words.
func (k EndpointListKind) String() string {
	return nameOf("EndpointListKind", k, "delta", "snapshot", "cached snapshot", "failed")
}

// nameOf returns the name of a constant that counts from 0, or its type and number where it has none.
func nameOf[T ~uint8](kind string, value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", kind, uint8(value))
}

// Event is something that happened to the router. Only this package's types are events.
type Event interface{ event() }

// EndpointList is the endpoint list, or a change of it.
type EndpointList struct {
	Kind    EndpointListKind
	Workers []Endpoint
}

// NoTenant is the tenant of a request that names none of those that the settings know. Where they know any,
// it is beyond everyone's quota.
const NoTenant = -1

// RequestArrived is a new request, to which one final response is owed.
type RequestArrived struct {
	Request   RequestID
	Class     int
	Tenant    int // NoTenant: none of those in the settings
	Function  FunctionID
	Lanes     float64        // requests that one replica runs at a time
	MemoryMB  float64        // memory of one replica
	LoadTime  time.Duration  // usual time of a load; 0 where unknown
	Work      time.Duration  // hint of its work; 0 where unknown
	Remaining time.Duration  // until the client gives up
	IsRetry   bool           // the client has tried before
	Policy    *RequestPolicy // what its route tightens; nil: nothing
}

// RequestCanceled says that the client has left; no response is owed any more.
type RequestCanceled struct{ Request RequestID }

// TimerFired is a timer set by SetTimer.
type TimerFired struct{ Token uint64 }

// HealthCheckCompleted is the result of CheckHealth.
type HealthCheckCompleted struct {
	Worker  WorkerID
	Outcome Outcome
	Took    time.Duration
	Report  []float64 // in the order of Config.LoadReportFields; empty where none came
}

// GossipReceived is a message of another router.
type GossipReceived struct {
	From int
	Data []byte
}

// LoadCompleted is the result of a Load.
type LoadCompleted struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Count    int // replicas that are loaded there
}

// ResponseStarted says that the response to a streamed request has begun.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// AttemptCompleted says how an attempt ended.
type AttemptCompleted struct {
	Request     RequestID
	Attempt     int
	Worker      WorkerID
	Outcome     Outcome
	LoadStatus  LoadStatus
	Concurrency int  // requests of the function that the worker held, with ConcurrencyReported
	Closed      bool // the request has its final response
	Took        time.Duration
	Report      []float64
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
