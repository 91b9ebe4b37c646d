package route

import "fmt"

// AmbiguousRoutesError reports two routes that match some requests with the same precedence.
type AmbiguousRoutesError struct {
	First  RouteSpec
	Second RouteSpec
}

// Error names both routes and the position of the first.
func (e *AmbiguousRoutesError) Error() string {
	return fmt.Sprintf("route %q matches the same calls as route %q at %s, and neither is the closer match",
		e.Second.Name, e.First.Name, e.First.At)
}

// DuplicatePoolError reports two pools of one name.
type DuplicatePoolError struct {
	Name string
	At   string // file:line of the second pool
}

// Error names the pool.
func (e *DuplicatePoolError) Error() string { return fmt.Sprintf("pool %q is there twice", e.Name) }

// BlockKind is a kind of block that other blocks refer to by name, as configurations spell it.
type BlockKind string

// The kinds of blocks that refer to each other.
const (
	PoolBlock   BlockKind = "pool"
	PolicyBlock BlockKind = "policy"
	RouteBlock  BlockKind = "route"
)

// UndefinedReferenceError reports a route or a pool that names a pool or a policy that does not exist.
type UndefinedReferenceError struct {
	Kind       BlockKind // of the block that holds the reference
	Name       string
	At         string // file:line of that block
	TargetKind BlockKind
	Target     string // the name that is not defined
}

// Error names the block and what it refers to.
func (e *UndefinedReferenceError) Error() string {
	return fmt.Sprintf("%s %q: no %s %q", e.Kind, e.Name, e.TargetKind, e.Target)
}

// FallbackCycleError reports a pool whose chain of fallbacks never ends.
type FallbackCycleError struct {
	Name string
	At   string // file:line of the pool
}

// Error names the pool.
func (e *FallbackCycleError) Error() string {
	return fmt.Sprintf("pool %q falls back in a circle", e.Name)
}

// LoadShareError reports pools whose shares of the load budget add up to more than the whole.
type LoadShareError struct {
	Total float64 // sum of the shares as a fraction; more than 1
}

// Error gives the sum.
func (e *LoadShareError) Error() string {
	return fmt.Sprintf("the pools' shares of the load orders come to %.4g%%", 100*e.Total)
}
