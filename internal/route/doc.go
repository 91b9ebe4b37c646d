// Package route decides which route a request takes, which pool of workers serves it, and under which request
// policy. Compile turns a Spec into a Table; Table.Match looks requests up in it without allocating; a Pool counts
// what is in flight, what overflowed and what was loaded; Diff reports how two tables differ in behaviour.
//
// The package does no I/O, reads no clock and knows no wire; it imports packages policy and endpoint alone. The
// decision module, package policy, still chooses the worker, retries and rejects: it asks a request's Pool which
// workers are eligible. The router's core looks requests up, and package lang makes Specs out of files.
//
// Where to find what:
//
//   - spec.go, worker.go, selector.go, policy.go, pattern.go: what a configuration says
//   - compile.go, precedence.go, table.go: the table and the look-up
//   - pool.go, overflow.go, loads.go, window.go, carryover.go: the state of the pools
//   - space.go, region.go, merge.go, diff.go, pooldiff.go, unmatched.go, reachable.go: what is said of tables
package route
