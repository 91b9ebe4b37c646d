// Package policy decides to which worker a request for an on-demand function goes.
//
// A Policy is one dispatcher's decision maker. It is fed events in the order in
// which they happen and answers each with actions. It keeps no clock, starts no
// goroutine and does no I/O, so the same events always give the same actions.
package policy

import "time"

// RequestID names a request; it is never used twice.
type RequestID uint32

// WorkerID names a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID names a function (a model) that workers load on demand.
type FunctionID uint64

// Idempotency says how far a class of requests may be sent again once it may have run.
type Idempotency uint8

// The kinds of Repeat.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within a group of workers, for a time
	NotIdempotent                        // must never run twice
)

// DeduplicationScope says which workers drop the repeats of a Keyed request.
type DeduplicationScope uint8

// The kinds of Group.
const (
	DeduplicatedEverywhere DeduplicationScope = iota // every worker
	DeduplicatedInZone                               // workers of one zone
	DeduplicatedInCell                               // workers of one cell
)

// Class is a class of requests.
type Class struct {
	LatencyObjective    time.Duration // answers within it earn the full worth
	Deadline            time.Duration // what a client waits in all
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // Keyed: how long repeats are remembered
	Streamed            bool
	PriorityWeight      float64
	LatePriorityWeight  float64
	// ObjectiveStretch lengthens Aim by this many times the request's own work; 0 where unused.
	ObjectiveStretch float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	RequestsPerSecond float64 // requests a second within its share, over all dispatchers
}

// Config is what a dispatcher is told when it starts.
type Config struct {
	Routers int // dispatchers, this one included; at least 1
	Zone    int // this dispatcher's zone
	Classes []Class
	Tenants []Tenant
	// WeightByWork says that a request's worth grows with its work.
	WeightByWork bool
	Tick         time.Duration // events come at most this often

	EndpointsByPolling bool     // the worker list comes only after Subscribe or FetchEndpoints
	LoadReportFields   []string // names of the values in a load report
	InlineLoadReports  bool     // reports come with answers as well as with probes

	MaxAttempts          int // per request; 0: no limit
	CancelSupported      bool
	HealthCheckSupported bool
	GossipSupported      bool
	HedgingAllowed       bool // two attempts of a request may be out at once
	RetryAfterSupported  bool // clients are given the advice in Refuse
	MaxRetryAfter        time.Duration
	OverQuotaWeight      float64 // worth of a request beyond its tenant's share; 1 where unused

	PollInterval             time.Duration // EndpointsByPolling: an unasked list counts as told after this
	SlowStartInitialCapacity float64       // a worker starts at this share of its capacity or more
	SlowStartDuration        time.Duration // and is warm after this at the latest
	OverloadMultiple         float64       // sent more than this many times its present capacity
	OverloadWindow           time.Duration // for this long, a cold worker falls over
	DrainGracePeriod         time.Duration

	MissWhenNotLoaded   bool          // a worker without the function answers Missed instead of loading it
	LoadOrdersSupported bool          // Load and Unload are allowed
	LoadStatusReported  bool          // answers tell whether an instance stood loaded
	ConcurrencyReported bool          // answers tell how many requests of the function the worker held
	KeepAlive           time.Duration // an idle instance stays this long at least
	LoadTimeout         time.Duration // an order with no answer by then ends as TimedOut
	LoadBudgetWindow    time.Duration // window of the ration of load orders; 0: none
	LoadBudgetMinimum   float64       // orders free in a window
	LoadBudgetRatio     float64       // and further ones as a share of the calls taken in it

	MemoryPrice    float64 // what all memory costs, if idle instances held it, as a share of all worth
	WorkerMemoryMB float64 // memory of a worker, in the mean of the kinds; 0 where not told
}

// Outcome is how an attempt, a probe or a load order ended.
type Outcome uint8

// The outcomes. Full, Unreachable, Moot and Missed prove that an attempt never ran.
const (
	Served          Outcome = iota
	Failed                  // the worker answered with an error
	Overloaded              // turned away unseen
	TimedOut                // no answer in time
	Unreachable             // no connection could be made
	ConnectionReset         // the connection broke
	Cancelled               // called off
	NotSent                 // not sent
	NotLoaded               // the function is not loaded there
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == Unreachable || o == NotSent || o == NotLoaded
}

// LoadStatus is what an answer tells of the function's instance.
type LoadStatus uint8

// The notes.
const (
	LoadStatusUnknown LoadStatus = iota
	AlreadyLoaded                // an instance stood loaded
	StartedLoad                  // this request began a load
	WaitedForLoad                // it waited for a load begun before
	LoadFailed                   // the load that it waited for failed
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The worker states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// Endpoint is one line of a worker list.
type Endpoint struct {
	Worker  WorkerID
	State   WorkerState
	Zone    int
	Cell    int
	Weight  float64       // size in comparison with other workers; 0 where unknown
	Started time.Duration // clock time of its last start; 0: long ago
}

// EndpointListKind is the kind of a EndpointList.
type EndpointListKind uint8

// The list kinds.
const (
	EndpointDelta          EndpointListKind = iota // changed entries only
	EndpointSnapshot                               // the whole list
	CachedEndpointSnapshot                         // the whole list as last known, maybe old
	EndpointListFailed                             // a call failed or the subscription broke; no entries
)

// Event is something that happened to the dispatcher. Only this package's types are events.
type Event interface{ event() }

// EndpointList tells what is known of the workers.
type EndpointList struct {
	Kind    EndpointListKind
	Workers []Endpoint
}

// NoTenant is the tenant of a request that names none of those that the settings know. Where they know any, it is
// beyond everyone's share.
const NoTenant = -1

// RequestArrived is a new request, to which one final answer is owed.
type RequestArrived struct {
	Request   RequestID
	Class     int
	Tenant    int // NoTenant: none of those in the settings
	Function  FunctionID
	Lanes     float64        // requests that one instance runs at a time
	MemoryMB  float64        // memory of one instance
	LoadTime  time.Duration  // usual time of a load; 0 where not told
	Work      time.Duration  // hint of its work; 0 where not told
	Remaining time.Duration  // until the client gives up
	IsRetry   bool           // the client has tried before
	Policy    *RequestPolicy // what its route tightens; nil: nothing
}

// RequestPolicy tighten for a request what the settings allow. They never widen it.
type RequestPolicy struct {
	Pool                    Pool          // the workers that it may go to
	MaxAttempts             int           // in all; 0: as the settings allow
	RetriesAfterPossibleRun int           // further attempts after one that may have run; below 0: as the settings allow
	RetriesAfterProvenNoRun int           // and after ones that never ran
	AttemptTimeout          time.Duration // of each attempt; 0: until the client gives up
	HedgeDelay              time.Duration // a second copy of a Safe request goes out then; 0: never
	LatencyObjective        time.Duration // the wanted time; 0: the class's
}

// Pool is a set of workers with bounds on what its requests use. It keeps the counts and decides nothing else.
type Pool interface {
	Contains(w WorkerID) bool
	HasCapacity() bool // a further attempt may be out
	AttemptStarted()   // an attempt is out
	AttemptFinished()  // it is no longer
	// MayOrder tells whether a load order is within the pool's share of a ration; Ordered counts one.
	MayLoad(now time.Duration, ration float64) bool
	LoadStarted(now time.Duration)
	// Spill returns the pool that takes a request which this one can't, and counts it, or nil.
	Overflow(now time.Duration) Pool
}

// defaultRequestPolicy are the terms of a request whose route tightens nothing.
var defaultRequestPolicy = RequestPolicy{Pool: allWorkers{}, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}

// allWorkers is the pool of them all, without bounds of its own.
type allWorkers struct{}

func (allWorkers) Contains(WorkerID) bool              { return true }
func (allWorkers) HasCapacity() bool                   { return true }
func (allWorkers) AttemptStarted()                     {}
func (allWorkers) AttemptFinished()                    {}
func (allWorkers) MayLoad(time.Duration, float64) bool { return true }
func (allWorkers) LoadStarted(time.Duration)           {}
func (allWorkers) Overflow(time.Duration) Pool         { return nil }

// RequestCanceled says that the client has left; no answer is owed any more.
type RequestCanceled struct{ Request RequestID }

// TimerFired is a timer set by SetTimer.
type TimerFired struct{ Token uint64 }

// HealthCheckCompleted is the answer to a Probe.
type HealthCheckCompleted struct {
	Worker  WorkerID
	Outcome Outcome
	Took    time.Duration
	Report  []float64 // in the order of Config.LoadReportFields; empty where none came
}

// GossipReceived is a message of another dispatcher.
type GossipReceived struct {
	From int
	Data []byte
}

// LoadCompleted is the answer to an Load.
type LoadCompleted struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Count    int // instances that stand loaded there
}

// ResponseStarted says that the answer of a streamed request has begun.
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
	Closed      bool // the request is over
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

// Action is something that the dispatcher is to do. Only this package's types are actions.
type Action interface{ action() }

// StartAttempt starts an attempt; attempts of a request are numbered from 0 in the order of their sends.
type StartAttempt struct {
	Request RequestID
	Worker  WorkerID
	Limit   time.Duration // time-out of the attempt; 0: until the client gives up
}

// CancelAttempt calls an attempt off.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is the final answer that trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long to stay away; 0: no advice
}

// FailRequest is the final answer that promises nothing.
type FailRequest struct{ Request RequestID }

// Load asks a worker to hold Count instances of a function; with Count 0 it only asks.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Count    int
}

// Unload drops the idle instances of a function at a worker.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// CheckHealth checks a worker; Probed answers it.
type CheckHealth struct{ Worker WorkerID }

// SendGossip sends bytes to another dispatcher, or to all with To below 0.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer asks for a TimerFired after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// ClearTimer drops a timer that no longer matters; hosts may ignore it.
type ClearTimer struct{ Token uint64 }

// Subscribe asks for changes of the worker list from now on, or no longer.
type Subscribe struct{ On bool }

// FetchEndpoints asks for the whole worker list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// Log is a line for the operators.
type Log struct{ Text string }

func (StartAttempt) action()         {}
func (CancelAttempt) action()        {}
func (Reject) action()               {}
func (FailRequest) action()          {}
func (Load) action()                 {}
func (Unload) action()               {}
func (CheckHealth) action()          {}
func (SendGossip) action()           {}
func (SetTimer) action()             {}
func (ClearTimer) action()           {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}
