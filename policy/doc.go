// Package policy decides to which worker a request for an on-demand function goes.
//
// A Policy makes the decisions of one router. Its caller passes it events in the order in which they happen,
// and it returns the actions that the router is to carry out. It reads no clock, starts no goroutine and does
// no I/O, so the same events always give the same actions.
//
// # Files
//
// The types of the interface are in config.go, request_policy.go, events.go, actions.go and errors.go. All
// other files make decisions; the key policy of deploy/balancer.toml lists them. Each type owns its state: no
// other type changes it.
//
// Events and requests:
//
//   - policy.go, requests.go: Policy dispatches events and follows each request until its one final response.
//   - turn.go, rule_guard.go: every action passes a guard, which drops those that would break a rule.
//   - timer_token.go: the purposes of timers, and their encoding as tokens.
//   - endpoint_tracker.go: applies endpoint lists.
//   - housekeeping.go: the work that is done every 50 ms, and the sweep once a second.
//   - assembly.go: creates the components and connects them.
//
// Scheduling:
//
//   - scheduler.go: candidates, predicted latency, and whether a request is sent, rejected or deferred.
//   - rendezvous.go: at which worker a function is loaded; all routers choose the same one.
//   - latency_estimator.go, latency_observations.go: predicts latency, and updates its estimates from
//     responses.
//   - capacity_estimator.go: the capacity of large and small workers.
//   - slow_start.go: how much may be sent to a worker that has just started.
//   - retry_rules.go, attempt_starter.go: which attempts a request may have, and how they are counted.
//   - load_shedder.go, tenant_quotas.go: overload and quotas.
//   - loader.go, load_budget.go, load_breaker.go: load commands, their budget, and the circuit breaker.
//   - health_checker.go, outlier_detector.go: health checks and ejection.
//   - outcome_recorder.go: which components are updated when an attempt or a load completes.
//   - gossiper.go: replicas that are reported to other routers.
//
// Tables: worker_table.go, request_table.go, function_table.go, class_state.go, replica_table.go.
//
// # Scheduling
//
// A request goes to the candidate with the lowest predicted latency, which is the sum of the queueing delay,
// the run itself, the load if no replica is known, and the expected loss from failures. Ties are broken at
// random. The request is rejected if even that prediction is too late, or if load is shed. Once a second, one
// such request is sent anyway as a trial request, which corrects a wrong estimate. If there is no candidate,
// the request is deferred to the next housekeeping, provided that waiting may help.
//
// A load starts at the first worker in rendezvous rank that has no replica. All routers agree on that rank,
// so other routers may keep a replica there, and a part of the load time is subtracted from the worker's
// score. A function has several ranks, called slots, if it needs more than one replica: because of its share
// of this router's work, or because of its congestion (late or rejected responses although a replica was
// loaded). Each router uses only one of the slots. The requests of other routers keep replicas loaded at the
// other slots.
//
// # Estimation
//
// The queueing delay at a worker is modeled as a line over this router's attempts in flight. The slope is a
// regression through the origin, with the slope over all workers as a prior. The intercept is a decaying mean
// of the delay that requests of other routers add. A load report counts as one response with the delay that a
// queue of that length caused before. An attempt that was canceled or timed out counts as a response that
// took at least as long, unless later attempts were served. A response counts as at most three times its
// estimate, so that one outlier does no harm. The run time of a function is a mean that is weighted with that
// of its class while there are few responses.
//
// # Slow start
//
// All routers together must stay below the overload multiple of a worker that warms up. Each router gives the
// worker a token bucket of work, which refills at the rate at which warm workers serve this router, times the
// worker's present share of its capacity. The bucket starts with a debt of a random part of a request, so
// that routers take turns. Tokens expire: if they were saved up while there are few requests, all routers
// could spend theirs at the same time. A worker that responds after an ejection may be a new process; it
// counts as just started until discovery would have reported a start. Capacity is the size in the endpoint
// list raised to an exponent from 1 to 3, which is learned from the run times at large and small workers.
//
// # Load shedding
//
// A standing delay, one that even fast responses show, helps no request. Beyond a threshold, which is a part
// of the latency objective, a growing part of the requests that never ran is rejected: first those beyond
// their tenant's quota and those that would be late, then those of classes of lower priority, then all. The
// delay is compared with the shortest objective among the classes that have priority. A rejected request does
// not count toward the quota, because the client's retries are the same request.
//
// # Loads
//
// A worker that responds that a function is not loaded is sent a load command, within the budget, and then
// the request again. While loads fail, the store that all workers load from may be down: a circuit breaker
// lets loads start one at a time, with delays that double to at most 1.6 s, until one succeeds. Meanwhile
// requests that need a load are deferred. If memory has a price and workers load functions by themselves, an
// idle replica is unloaded once its memory has cost as much as the loss of a request that finds no replica. A
// router that is one of several sees only its own requests, so it keeps replicas for longer than the price
// alone would justify.
//
// # Health
//
// A worker is ejected if a connection to it can't be made, or if the health check after a broken connection
// fails. One broken connection counts as one failure, however many attempts were in flight on it. A first
// attempt whose connection broke may be retried at the same worker, because that worker has the replica. An
// ejection lasts for 1 s at first and for at most 8 s, and ends when a health check succeeds. Without health
// checks, one attempt at a time is sent to the worker after the ejection.
package policy
