// Package route decides which route a request takes, which pool of workers serves it, and under which request
// policy. Compile turns a Spec into a Table; Table.Match finds the route of a request without allocating; a Pool counts
// what is in flight, what overflowed and what was loaded; Diff reports how two tables differ in behaviour.
//
// The package does no I/O, reads no clock and knows no wire; it imports packages policy and endpoint alone. The
// decision module, package policy, still chooses the worker, retries and rejects: it asks a request's Pool which
// workers are eligible. The router's core matches requests, and package lang makes Specs out of files. A Table belongs
// to the event loop, since its pools count; tables that are only compared or explained belong to whoever compiled them.
//
// # Precedence
//
// A RouteSpec may name functions (by patterns), tenants, classes and fronts. What it does not name it matches whatever
// the value. Compile expands each route into one matchRule for each combination of the values that it names. Of the
// rules that match a request the closest one is used. These properties are compared in turn, and the first that differs
// decides:
//
//  1. function: more digits of the pattern are closer, and all 16 digits, an exact function, are the closest
//  2. tenant: a rule that names the tenant is closer than one that names none
//  3. class: likewise
//  4. front: likewise
//
// Two rules that name the same values are equally close. If they are of different routes, Compile returns an
// AmbiguousRoutesError; so the order of the routes has no effect.
//
// For example, with the classes dim-level and audit, and four routes
//
//	route    function  class      front    destination
//	rest                                   pool all
//	audits             audit               rejected
//	hooks    7f*                  webhook  pool large
//	dims     7f*       dim-level           pool small
//
// a request for function 7f3a9c21e0b4d655 of class dim-level by webhook matches rest, hooks and dims. The pattern of
// hooks and dims is longer than that of rest, which has no digits. Of the two, dims names the class, which is compared
// before the front: the request goes to pool small. A request for the same function of class audit by webhook goes to
// pool large, since the function is compared before the class. By Thrift it is rejected by audits: neither hooks nor
// dims matches it. ExampleTable_Match shows these requests.
//
// The matcher finds this without going through all rules. It looks the function up by each pattern length that occurs,
// longest first. A pattern's entry (patternRoutes) has the routes by tenant, and those for any tenant. Both have, for
// each class and front, the route that wins by the last two properties; that was resolved when the table was compiled.
// The first entry that has a route decides.
//
// # Sets of requests
//
// What Diff and UnmatchedRegions report must hold for all requests, of which there are too many to try each one. Three
// steps reduce them:
//
//  1. A requestSpace has one requestPoint for all requests that the tables in question can't tell apart. A point has an
//     index on four axes: front, class, longest matching pattern, and tenant. Tenants that no route names share an
//     index, and so do classes that the tables don't list. In the example above the axes have 2 fronts, 2 classes, 2
//     patterns (7f* and, for all other functions, *) and 1 tenant: 8 points stand for all requests. One request is
//     matched for each point.
//  2. groupRequests groups the points by the result, such as "pool all, then pool small" for Diff. To describe a group
//     in few words, coverPoints merges its points into boxes. A requestBox is a set of indexes on each axis and stands
//     for all of their combinations. Two boxes that differ along one axis alone are merged into one.
//  3. A Region is a box in the words of the configuration: "calls by webhook of class audit for function 7f*". Its
//     Example is one request of it, in the form of the arguments of the command explain.
//
// In the example, the requests that audits rejects are those of class audit for functions other than 7f*, and those by
// Thrift for 7f*. These are three points: by both fronts for the other functions, and by Thrift for 7f*. Merged along
// the front they are two boxes, and two regions: "calls of class audit for function * (but not 7f*)" and "calls by
// thrift of class audit for function 7f*". ExampleDiff_regions shows them.
//
// Reachable needs no regions. It tries each rule of a route with one function of each longest pattern within the rule's
// pattern, and with each class and front that fit the rule.
//
// # Where to find what
//
//   - spec.go, worker.go, selector.go, policy.go, pattern.go: what a configuration says
//   - compile.go, compilepools.go, errors.go: from a Spec to a Table, and why that fails
//   - table.go, matchrule.go, matcher.go, precedence.go: the route of a request
//   - pool.go, overflow.go, loads.go, window.go, carryover.go: the counters and limits of the pools
//   - space.go, box.go, spaceregion.go, patternset.go: sets of requests, as the tables tell them apart
//   - region.go, functionset.go, tenantset.go, shellquote.go: sets of requests in words
//   - diff.go, pooldiff.go, describe.go, unmatched.go, reachable.go: what is reported on tables
package route
