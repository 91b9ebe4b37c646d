// Package policy decides to which worker a request for an on-demand function goes.
//
// A Policy takes the decisions of one router. It is fed events in the order in which they happen and answers
// each with actions. It keeps no clock, starts no goroutine and does no I/O, so the same events always give
// the same actions.
//
// # Files
//
// The types of the interface are in config.go, request_policy.go, events.go, actions.go and errors.go. All
// other files decide; the key policy of deploy/balancer.toml names them. Each type owns its state: no other
// type changes it.
//
// Events and requests:
//
//   - policy.go, requests.go: Policy dispatches events and follows each request to its one final response.
//   - turn.go, rule_guard.go: all actions leave through a guard, which withholds those that would break a
//     rule.
//   - timer_token.go: what a timer is for, and how its token carries that.
//   - endpoint_tracker.go: applies endpoint lists.
//   - housekeeping.go: what is done every 50 ms, and the sweep once a second.
//   - assembly.go: makes the parts and connects them.
//
// What is scheduled by:
//
//   - scheduler.go: candidates, predicted latency, and whether a request is sent, rejected or deferred.
//   - rendezvous.go: where a function is loaded, alike at all routers.
//   - latency_estimator.go, latency_observations.go: the latency that is predicted, and what responses teach.
//   - capacity_estimator.go: what large and small workers can do.
//   - slow_start.go: how much may go to a worker that has just started.
//   - retry_rules.go, attempt_starter.go: which attempts a request may have, and how they are counted.
//   - load_shedder.go, tenant_quotas.go: overload and quotas.
//   - loader.go, load_budget.go, load_breaker.go: load commands, their budget, and the circuit breaker.
//   - health_checker.go, outlier_detector.go: health checks and ejection.
//   - outcome_recorder.go: which parts learn from the end of an attempt.
//   - gossiper.go: replicas that other routers should know of.
//
// Tables: worker_table.go, request_table.go, function_table.go, class_state.go, replica_table.go.
//
// # Scheduling
//
// A request goes to the candidate with the lowest predicted latency if it is added there: queueing, its own
// run, a load where no replica is known, and the expected loss from failures. Ties are broken at random. It
// is rejected where even that comes too late, or where load is shed. One such request a second is sent all
// the same, a trial by which a wrong estimate is corrected. Without a candidate a request is deferred to the
// next housekeeping if waiting may help.
//
// A load begins at the first worker in rendezvous rank that has no replica. All routers agree on that rank,
// so others may keep a replica there, and a part of the load time is taken off the worker's score. A function
// has several ranks, called slots, where it needs more than one replica: by its share of our work, or by its
// congestion (late or rejected responses where a replica was loaded). Each router keeps to one slot. What
// other routers send to the other slots keeps replicas loaded there.
//
// # Estimation
//
// Queueing delay at a worker is a line over our attempts in flight. Its slope is a regression through the
// origin, with the fleet's slope as a prior; its intercept is a decaying mean of what other routers' requests
// add. A load report counts as one response with the delay that such a queue meant before. An attempt that
// was canceled or timed out counts as at least so late, unless later ones were served. A response counts as
// at most three times its estimate, so that one outlier does no harm. The run of a function is a mean that is
// drawn towards that of its class while there are few responses.
//
// # Slow start
//
// All routers together must stay under the overload multiple of a worker that warms up. Each gives it a token
// bucket of work, which refills by the share of its capacity that is there now, at the rate at which warm
// workers serve this router. The bucket begins with a debt of a random part of a request, so that routers
// take turns. Its tokens expire: saved up in thin traffic, those of all routers would be spent at the same
// time. A worker that responds after an ejection may be another process; it counts as just started until a
// start would have been reported. Capacity is the size in the endpoint list to a power from 1 to 3, which is
// learned from the runs at large and small workers.
//
// # Load shedding
//
// A standing delay, one that even fast responses show, serves nobody. From a part of the latency objective
// on, a growing part of the requests that never ran is rejected: first those beyond their tenant's quota and
// those that would be late, then those of classes of lower priority, then all. The yardstick is the shortest
// objective among the classes that have priority. A rejected request does not count towards the quota: its
// client's repeats are the same request.
//
// # Loads
//
// A worker that answers that a function is not loaded is sent a load command, within the budget, and the
// request follows. While loads fail, the store that all workers load from may be down: a circuit breaker lets
// loads begin one at a time, with delays that double up to 1.6 s, until one succeeds, and requests that need
// a load are deferred. Where memory has a price and workers load by themselves, an idle replica is unloaded
// once its memory has cost what a request loses that finds none. A router among several sees only its own
// requests, so it keeps replicas for longer than the price alone would say.
//
// # Health
//
// A worker is ejected when a connection to it can't be made, or when a health check after one that broke
// fails. One broken connection counts as one failure, whatever was in flight on it, and a first attempt that
// broke may go to the same worker again, which has the replica. An ejection lasts for 1 s at first and up to
// 8 s, and ends when a health check succeeds. Without health checks one attempt at a time is sent after it.
package policy
