package route

import "time"

// Front is the interface that a request arrives by: Thrift or webhook.
type Front uint8

// The fronts, in the order of router.Front.
const (
	Thrift Front = iota
	Webhook
	frontCount // number of fronts
)

// anyFront is the front of a rule that matches all fronts.
const anyFront = frontCount

// String returns the front's name as configurations write it.
func (f Front) String() string { return [...]string{"thrift", "webhook", "any"}[f] }

// Unset is the value of a count, share or rate that the configuration does not set.
const Unset = -1

// Spec is a parsed configuration, the input of Compile. Each field At is a position as file:line.
type Spec struct {
	Workers  []Worker
	Pools    []PoolSpec
	Policies []PolicySpec
	Routes   []RouteSpec
	// NotIdempotentClasses names classes whose requests must never run twice, in addition to those that the decision
	// module knows.
	NotIdempotentClasses []string
	// LoadWindow is the length of the sliding window of the load budget; 0: ten seconds.
	LoadWindow time.Duration
	// MaxBytes limits the memory of the compiled table, as tableSize estimates it; 0: no limit.
	MaxBytes int
}

// PoolSpec defines which workers belong to a pool, and the pool's limits.
type PoolSpec struct {
	Name        string
	Selectors   []Selector // a worker belongs if any of them matches; none: all workers
	MaxInFlight int        // attempts in flight; Unset: no limit
	LoadShare   float64    // fraction of the load budget; Unset: what the others leave, shared by all such pools
	Fallback    string     // pool that takes the requests that this one can't; "": none
	// OverflowShare is the fraction of the pool's requests of the last ten seconds that may go to the fallback; Unset:
	// no such limit.
	OverflowShare float64
	// OverflowRate is how many requests per second may go to the fallback, on average over the last ten seconds;
	// Unset: no such limit.
	OverflowRate float64
	At           string // file:line
}

// RouteSpec sends the requests that it matches to a pool. An empty list matches all values.
type RouteSpec struct {
	Name      string
	Fronts    []Front
	Classes   []string
	Functions []Pattern
	Tenants   []string
	Pool      string // "": the route rejects its requests
	Policy    string // "": the platform's settings apply unchanged
	At        string // file:line
}
