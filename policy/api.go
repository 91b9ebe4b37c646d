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

// Repeat says how far a class of requests may be sent again once it may have run.
type Repeat uint8

// The kinds of Repeat.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // repeats are dropped within a group of workers, for a time
	Unsafe               // must never run twice
)

// Group says which workers drop the repeats of a Keyed request.
type Group uint8

// The kinds of Group.
const (
	GroupAll  Group = iota // every worker
	GroupZone              // workers of one zone
	GroupCell              // workers of one cell
)

// Class is a class of requests.
type Class struct {
	Aim       time.Duration // answers within it earn the full worth
	Deadline  time.Duration // what a client waits in all
	Repeat    Repeat
	Group     Group
	Window    time.Duration // Keyed: how long repeats are remembered
	Streamed  bool
	Worth     float64
	LateWorth float64
	// AimStretch lengthens Aim by this many times the request's own work; 0 where unused.
	AimStretch float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	PerSecond float64 // requests a second within its share, over all dispatchers
}

// Config is what a dispatcher is told when it starts.
type Config struct {
	Peers   int // dispatchers, this one included; at least 1
	Zone    int // this dispatcher's zone
	Classes []Class
	Tenants []Tenant
	// WorthByWork says that a request's worth grows with its work.
	WorthByWork bool
	Tick        time.Duration // events come at most this often

	ListByAsking bool     // the worker list comes only after Subscribe or FetchList
	ReportFields []string // names of the values in a load report
	ReportInline bool     // reports come with answers as well as with probes

	MaxAttempts    int // per request; 0: no limit
	MayCancel      bool
	MayProbe       bool
	MayTell        bool
	SecondAttempts bool // two attempts of a request may be out at once
	RetryAfter     bool // clients are given the advice in Refuse
	MaxRetryAfter  time.Duration
	OverShareWorth float64 // worth of a request beyond its tenant's share; 1 where unused

	AskWithin    time.Duration // ListByAsking: an unasked list counts as told after this
	ColdFrom     float64       // a worker starts at this share of its capacity or more
	ColdFor      time.Duration // and is warm after this at the latest
	FallMultiple float64       // sent more than this many times its present capacity
	FallFor      time.Duration // for this long, a cold worker falls over
	DrainGrace   time.Duration

	MissWhenCold bool          // a worker without the function answers Missed instead of loading it
	MayOrder     bool          // OrderLoad and Unload are allowed
	WarmNotes    bool          // answers tell whether an instance stood loaded
	CrowdNotes   bool          // answers tell how many requests of the function the worker held
	KeepAlive    time.Duration // an idle instance stays this long at least
	OrderTimeout time.Duration // an order with no answer by then ends as TimedOut
	LoadWindow   time.Duration // window of the ration of load orders; 0: none
	LoadFree     float64       // orders free in a window
	LoadShare    float64       // and further ones as a share of the calls taken in it

	MemoryPrice    float64 // what all memory costs, if idle instances held it, as a share of all worth
	WorkerMemoryMB float64 // memory of a worker, in the mean of the kinds; 0 where not told
}

// Outcome is how an attempt, a probe or a load order ended.
type Outcome uint8

// The outcomes. Full, Unreachable, Moot and Missed prove that an attempt never ran.
const (
	Served      Outcome = iota
	Errored             // the worker answered with an error
	Full                // turned away unseen
	TimedOut            // no answer in time
	Unreachable         // no connection could be made
	Reset               // the connection broke
	Cancelled           // called off
	Moot                // not sent
	Missed              // the function is not loaded there
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Full || o == Unreachable || o == Moot || o == Missed
}

// Note is what an answer tells of the function's instance.
type Note uint8

// The notes.
const (
	NoNote     Note = iota
	WasWarm         // an instance stood loaded
	BeganLoad       // this request began a load
	AwaitedOne      // it waited for a load begun before
	LoadFailed      // the load that it waited for failed
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The worker states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// WorkerEntry is one line of a worker list.
type WorkerEntry struct {
	Worker  WorkerID
	State   WorkerState
	Zone    int
	Cell    int
	Weight  float64       // size in comparison with other workers; 0 where unknown
	Started time.Duration // clock time of its last start; 0: long ago
}

// ListKind is the kind of a WorkerList.
type ListKind uint8

// The list kinds.
const (
	ListChanges ListKind = iota // changed entries only
	ListWhole                   // the whole list
	ListCached                  // the whole list as last known, maybe old
	ListFailed                  // a call failed or the subscription broke; no entries
)

// Event is something that happened to the dispatcher. Only this package's types are events.
type Event interface{ event() }

// WorkerList tells what is known of the workers.
type WorkerList struct {
	Kind    ListKind
	Workers []WorkerEntry
}

// NoTenant is the tenant of a request that names none of those that the settings know. Where they know any, it is
// beyond everyone's share.
const NoTenant = -1

// Arrived is a new request, to which one final answer is owed.
type Arrived struct {
	Request  RequestID
	Class    int
	Tenant   int // NoTenant: none of those in the settings
	Function FunctionID
	Lanes    float64       // requests that one instance runs at a time
	MemoryMB float64       // memory of one instance
	LoadTime time.Duration // usual time of a load; 0 where not told
	Work     time.Duration // hint of its work; 0 where not told
	Left     time.Duration // until the client gives up
	Repeated bool          // the client has tried before
	Terms    *Terms        // what its route tightens; nil: nothing
}

// Terms tighten for a request what the settings allow. They never widen it.
type Terms struct {
	Pool         Pool          // the workers that it may go to
	Attempts     int           // in all; 0: as the settings allow
	AgainIfRan   int           // further attempts after one that may have run; below 0: as the settings allow
	AgainIfUnrun int           // and after ones that never ran
	Limit        time.Duration // of each attempt; 0: until the client gives up
	SecondAfter  time.Duration // a second copy of a Safe request goes out then; 0: never
	Aim          time.Duration // the wanted time; 0: the class's
}

// Pool is a set of workers with bounds on what its requests use. It keeps the counts and decides nothing else.
type Pool interface {
	Has(w WorkerID) bool
	Room() bool // a further attempt may be out
	Sent()      // an attempt is out
	Ended()     // it is no longer
	// MayOrder tells whether a load order is within the pool's share of a ration; Ordered counts one.
	MayOrder(now time.Duration, ration float64) bool
	Ordered(now time.Duration)
	// Spill returns the pool that takes a request which this one can't, and counts it, or nil.
	Spill(now time.Duration) Pool
}

// settingsAlone are the terms of a request whose route tightens nothing.
var settingsAlone = Terms{Pool: allWorkers{}, AgainIfRan: -1, AgainIfUnrun: -1}

// allWorkers is the pool of them all, without bounds of its own.
type allWorkers struct{}

func (allWorkers) Has(WorkerID) bool                    { return true }
func (allWorkers) Room() bool                           { return true }
func (allWorkers) Sent()                                {}
func (allWorkers) Ended()                               {}
func (allWorkers) MayOrder(time.Duration, float64) bool { return true }
func (allWorkers) Ordered(time.Duration)                {}
func (allWorkers) Spill(time.Duration) Pool             { return nil }

// Abandoned says that the client has left; no answer is owed any more.
type Abandoned struct{ Request RequestID }

// TimerFired is a timer set by SetTimer.
type TimerFired struct{ Token uint64 }

// Probed is the answer to a Probe.
type Probed struct {
	Worker  WorkerID
	Outcome Outcome
	Took    time.Duration
	Report  []float64 // in the order of Config.ReportFields; empty where none came
}

// Told is a message of another dispatcher.
type Told struct {
	From int
	Data []byte
}

// LoadEnded is the answer to an OrderLoad.
type LoadEnded struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Count    int // instances that stand loaded there
}

// StreamBegan says that the answer of a streamed request has begun.
type StreamBegan struct {
	Request RequestID
	Attempt int
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Outcome Outcome
	Note    Note
	Crowd   int  // requests of the function that the worker held, with CrowdNotes
	Closed  bool // the request is over
	Took    time.Duration
	Report  []float64
}

func (WorkerList) event()   {}
func (Arrived) event()      {}
func (Abandoned) event()    {}
func (TimerFired) event()   {}
func (Probed) event()       {}
func (Told) event()         {}
func (LoadEnded) event()    {}
func (StreamBegan) event()  {}
func (AttemptEnded) event() {}

// Action is something that the dispatcher is to do. Only this package's types are actions.
type Action interface{ action() }

// Send starts an attempt; attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Limit   time.Duration // time-out of the attempt; 0: until the client gives up
}

// Cancel calls an attempt off.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Refuse is the final answer that trying again is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter time.Duration // how long to stay away; 0: no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ Request RequestID }

// OrderLoad asks a worker to hold Count instances of a function; with Count 0 it only asks.
type OrderLoad struct {
	Worker   WorkerID
	Function FunctionID
	Count    int
}

// Unload drops the idle instances of a function at a worker.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// Probe checks a worker; Probed answers it.
type Probe struct{ Worker WorkerID }

// Tell sends bytes to another dispatcher, or to all with To below 0.
type Tell struct {
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

// FetchList asks for the whole worker list once.
type FetchList struct{}

// CloseIdle closes the idle connections to a worker.
type CloseIdle struct{ Worker WorkerID }

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()       {}
func (Cancel) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (OrderLoad) action()  {}
func (Unload) action()     {}
func (Probe) action()      {}
func (Tell) action()       {}
func (SetTimer) action()   {}
func (ClearTimer) action() {}
func (Subscribe) action()  {}
func (FetchList) action()  {}
func (CloseIdle) action()  {}
func (Log) action()        {}
