package route

import (
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Front is the front that a call came by.
type Front uint8

// The fronts, in the order of router.Front.
const (
	Thrift Front = iota
	Webhook
	frontCount // how many there are
)

// String returns the front's name as configurations word it.
func (f Front) String() string { return [...]string{"thrift", "webhook", "any"}[f] }

// Spec is what a checked configuration says. Places (At) are file:line, for those who ask why.
type Spec struct {
	Workers              []Worker
	Pools                []PoolSpec
	Policies             []PolicySpec
	Routes               []RouteSpec
	NotIdempotentClasses []string // classes that must never run twice, beside those that the decision module knows of
	// LoadBudgetWindow is the window of the ration of load orders; 0: ten seconds.
	LoadWindow time.Duration
}

// Worker is a worker with what is known of it. In a Spec it adds labels to a worker of the list.
type Worker struct {
	ID       policy.WorkerID // of a listed worker
	Name     string
	Kind     string
	Zone     string
	Cell     int // -1: not told
	MemoryMB float64
	Labels   map[string]string
	// Addrs are further addresses of it, Prefer orders their networks, and Same names a worker that it is an alias of.
	Addrs  []endpoint.Addr
	Prefer []endpoint.Network
	Same   string
	At     string
}

// Selector picks workers: all that it names must hold. A name that ends in * is a prefix.
type Selector struct {
	IDs, Kinds, Zones []string
	Cells             []int
	MemoryMB          float64 // at least
	Labels            []Label
}

// Label is a label and the values that fit.
type Label struct {
	Name   string
	Values []string
}

// Unset is a count or a share that a configuration does not give.
const Unset = -1

// PoolSpec says which workers are a pool's and what it may use.
type PoolSpec struct {
	Name          string
	Workers       []Selector // any of them; none: all workers
	MaxInFlight   int        // attempts in flight; Unset: no cap
	LoadShare     float64    // share of the ration of load orders; Unset: with the others, what is left
	Fallback      string     // pool that takes what this one can't; "": none
	OverflowShare float64    // of its calls of the last ten seconds that may go there; Unset: see OverflowRate
	OverflowRate  float64    // calls a second that may go there; Unset: see OverflowShare
	At            string
}

// PolicySpec tightens what the platform's settings allow.
type PolicySpec struct {
	Name                    string
	MaxAttempts             int           // in all; Unset: as the settings allow
	RetriesAfterPossibleRun int           // further ones after one that may have run
	RetriesAfterProvenNoRun int           // further ones after one that provably never ran
	AttemptTimeout          time.Duration // 0: until the client gives up
	HedgeDelay              time.Duration // a second copy goes out then; 0: none
	LatencyObjective        time.Duration // 0: the class's
	At                      string
}

// RouteSpec sends the calls that it matches to a pool. What it leaves empty matches all.
type RouteSpec struct {
	Name      string
	Fronts    []Front
	Classes   []string
	Functions []Pattern
	Tenants   []string
	Pool      string // "": such calls are refused
	Policy    string // "": as the settings allow
	At        string
}

// NoPolicy is the policy of a route that names none.
var NoPolicy = PolicySpec{MaxAttempts: Unset, RetriesAfterPossibleRun: Unset, RetriesAfterProvenNoRun: Unset}
