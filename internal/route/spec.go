package route

import "time"

// Front is the front that a request came by.
type Front uint8

// The fronts, in the order of router.Front.
const (
	Thrift Front = iota
	Webhook
	frontCount // number of fronts; as the front of a rule: any front
)

// anyFront is the front of a rule that fits all fronts.
const anyFront = frontCount

// String returns the front's name as configurations spell it.
func (f Front) String() string { return [...]string{"thrift", "webhook", "any"}[f] }

// Unset is a count or a share that a configuration does not give.
const Unset = -1

// Spec is a configuration in the form that Compile takes. Positions (At) are file:line.
type Spec struct {
	Workers  []Worker
	Pools    []PoolSpec
	Policies []PolicySpec
	Routes   []RouteSpec
	// NotIdempotentClasses must never run twice, in addition to those that the decision module knows of.
	NotIdempotentClasses []string
	// LoadWindow is the span over which the load budget counts; 0: ten seconds.
	LoadWindow time.Duration
}

// PoolSpec says which workers belong to a pool and what the pool may use.
type PoolSpec struct {
	Name        string
	Workers     []Selector // any of them; none: all workers
	MaxInFlight int        // attempts in flight; Unset: no limit
	LoadShare   float64    // of the load budget, as a fraction; Unset: what is left, together with other such pools
	Fallback    string     // pool that takes what this one can't; "": none
	// OverflowShare is how much of its requests of the last ten seconds may go to the fallback, as a fraction; Unset:
	// see OverflowRate.
	OverflowShare float64
	// OverflowRate is how many requests per second may go to the fallback, over the last ten seconds; Unset: see
	// OverflowShare.
	OverflowRate float64
	At           string // file:line
}

// RouteSpec sends the requests that it matches to a pool. An empty list matches all.
type RouteSpec struct {
	Name      string
	Fronts    []Front
	Classes   []string
	Functions []Pattern
	Tenants   []string
	Pool      string // "": such requests are rejected
	Policy    string // "": as the platform's settings allow
	At        string // file:line
}
