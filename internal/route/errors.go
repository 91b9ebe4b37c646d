package route

import "fmt"

// AmbiguousRoutesError reports two routes that match some requests with the same precedence.
type AmbiguousRoutesError struct {
	First  RouteSpec
	Second RouteSpec
}

// Error returns a message with the names of both routes and the position of the first.
func (e *AmbiguousRoutesError) Error() string {
	return fmt.Sprintf("route %q matches the same calls as route %q at %s, and neither is the closer match",
		e.Second.Name, e.First.Name, e.First.At)
}

// DuplicatePoolError reports two pools with the same name.
type DuplicatePoolError struct {
	Name string
	At   string // file:line of the second pool
}

// Error returns a message with the name of the pool.
func (e *DuplicatePoolError) Error() string { return fmt.Sprintf("pool %q is defined twice", e.Name) }

// BlockKind is a kind of named block, written as its keyword in the routes language.
type BlockKind string

// The kinds of blocks that refer to each other: a route refers to a pool and a policy, and a pool to its fallback.
const (
	PoolBlock   BlockKind = "pool"
	PolicyBlock BlockKind = "policy"
	RouteBlock  BlockKind = "route"
)

// UndefinedReferenceError reports a route or a pool that names a pool or a policy that does not exist.
type UndefinedReferenceError struct {
	Kind       BlockKind // kind of the block that contains the reference
	Name       string    // name of that block
	At         string    // file:line of that block
	TargetKind BlockKind // kind of the missing block
	Target     string    // name of the missing block
}

// Error returns a message with the names of the block and of the missing block.
func (e *UndefinedReferenceError) Error() string {
	return fmt.Sprintf("%s %q: no %s %q", e.Kind, e.Name, e.TargetKind, e.Target)
}

// FallbackCycleError reports a pool whose fallback chain contains a cycle.
type FallbackCycleError struct {
	Name string
	At   string // file:line of the pool
}

// Error returns a message with the name of the pool.
func (e *FallbackCycleError) Error() string {
	return fmt.Sprintf("the fallback chain of pool %q contains a cycle", e.Name)
}

// LoadShareError reports that the pools' shares of the load budget add up to more than 1.
type LoadShareError struct {
	Total float64 // sum of the shares as a fraction; more than 1
}

// Error returns a message with the sum of the shares in percent.
func (e *LoadShareError) Error() string {
	return fmt.Sprintf("the pools' shares of the load budget add up to %.4g%%", 100*e.Total)
}

// TableSizeError reports that a table would take more memory than Spec.MaxBytes.
type TableSizeError struct {
	Route    string // name of the route that exceeds the limit
	At       string // file:line of that route
	Rules    int    // combinations of function, tenant, class and front that this route names
	MaxBytes int
}

// Error returns a message with the name of the route and the limit.
func (e *TableSizeError) Error() string {
	return fmt.Sprintf("route %q, with %d combinations of function, tenant, class and front, takes the routes over "+
		"the %d KB of memory that they may use", e.Route, e.Rules, e.MaxBytes>>10)
}
