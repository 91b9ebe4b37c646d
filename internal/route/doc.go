// Package route decides which route a request takes, which pool of workers serves it, and which request policy applies.
// Compile turns a Spec into a Table. Table.Match finds the route of a request without allocating. A Pool counts its
// attempts in flight, overflows and loads. Diff reports how the behavior of two tables differs.
//
// The package does no I/O, reads no clock and knows no wire format; within the module it imports only packages policy
// and endpoint. The decision module, package policy, chooses the worker and decides on retries and rejections. It asks
// the Pool of a request which workers are eligible. The router's core matches requests, and package lang builds Specs
// from files. A Table in use belongs to the event loop, because its pools hold counters. A table that is only compared
// or explained belongs to the code that compiled it.
//
// # Precedence
//
// A RouteSpec may name functions (by patterns), tenants, classes and fronts. A property that it does not name matches
// any value. Compile expands each route into one matchRule for each combination of the values that it names. Of the
// rules that match a request, the closest (most specific) one is used. These properties are compared in turn, and the
// first one that differs decides:
//
//  1. function: a pattern with more digits is closer; all 16 digits, an exact function, are the closest
//  2. tenant: a rule that names the tenant is closer than a rule that names none
//  3. class: a rule that names the class is closer than a rule that names none
//  4. front: a rule that names the front is closer than a rule that names none
//
// Two rules that name the same values are equally close. If they belong to different routes, Compile returns an
// AmbiguousRoutesError. The order of the routes therefore has no effect.
//
// For example, with the classes dim-level and audit, and four routes
//
//	route    function  class      front    destination
//	rest                                   pool all
//	audits             audit               rejected
//	hooks    7f*                  webhook  pool large
//	dims     7f*       dim-level           pool small
//
// a webhook request for function 7f3a9c21e0b4d655 of class dim-level matches rest, hooks and dims. The pattern of hooks
// and dims is longer than that of rest, which has no digits. Of hooks and dims, dims names the class, which is compared
// before the front, so the request goes to pool small. A webhook request for the same function of class audit goes to
// pool large, because the function is compared before the class. A Thrift request of class audit for it is rejected by
// audits, because neither hooks nor dims matches it. ExampleTable_Match shows these requests.
//
// The matcher finds the route without testing every rule. It looks the function up by each pattern length that occurs,
// longest first. The entry of a pattern (patternRoutes) holds the routes of each tenant, and the routes for any tenant.
// Each of them stores, for every class and front, the route that wins by the last two properties; this is resolved when
// the table is compiled. The first entry that has a route decides.
//
// # Sets of requests
//
// What Diff and UnmatchedRegions report must be true of all requests, and there are too many to match each one. Nor
// may the work grow with the number of functions times that of tenants. Four steps reduce it:
//
//  1. A requestSpace has one index for all values of a property that the compared tables can't tell apart: for each
//     front, class, longest matching pattern, and tenant. Tenants that no route names share an index, and so do classes
//     that the tables don't list. In the example above there are 2 fronts, 2 classes, 2 patterns (7f*, and * for all
//     other functions) and 1 tenant.
//  2. For each pattern, class and front, a column holds what the requests of each tenant lead to. It lists only the
//     tenants that differ from the others. A pattern without routes of its own for a class and a front shares the
//     column of the pattern around it. tableColumns computes these columns for a table, and effectColumns combines
//     those of two tables. Equal columns are stored once.
//  3. Patterns with equal columns share a row of a rowTable. rowCover covers the requests of a row with few boxes. A
//     requestBox is a set of classes, fronts, tenants and patterns, and represents all of their combinations, which
//     lead to the same. Classes are merged first, then fronts, then tenants; a boxTable merges the boxes of different
//     rows that differ in their patterns alone. For Diff, a box has the pair of effects that the two tables have.
//  4. A Region is a box described in the words of the configuration, such as "calls by webhook of class audit for
//     function 7f*". Its Example is one request of the region, written as arguments of the command explain.
//
// In the example, the requests that audits rejects are those of class audit for functions other than 7f*, and those by
// Thrift for 7f*. These are two boxes, and so two regions: "calls of class audit for function * (but not 7f*)" and
// "calls by thrift of class audit for function 7f*". ExampleDiff_regions shows them.
//
// A workLimit counts the steps, and stops the work for tables whose differences are themselves as many as products.
//
// Reachable needs no regions. For each rule of a route, it tests one function for each longest pattern within the
// rule's pattern, with each class and front that the rule accepts.
//
// # Files
//
//   - spec.go, selector.go, policy.go, pattern.go: the content of a configuration
//   - compile.go, compilepools.go, errors.go: compiling a Spec into a Table, and the errors
//   - table.go, matchrule.go, matcher.go, precedence.go: finding the route of a request
//   - pool.go, overflow.go, loads.go, window.go, carryover.go: counters and limits of pools
//   - worker.go, workerindex.go, valueindex.go, workerset.go, bitset.go, possibleworkers.go: the workers of pools
//   - space.go, column.go, tablecolumns.go, effectcolumns.go, rows.go, box.go, spaceregion.go, tenants.go,
//     patternset.go: sets of requests that the tables can tell apart
//   - tablesize.go, worklimit.go, limitedtext.go: limits on memory, work and texts
//   - region.go, functionset.go, tenantset.go, shellquote.go: descriptions of sets of requests
//   - diff.go, pooldiff.go, describe.go, unmatched.go, reachable.go: reports about tables
package route
