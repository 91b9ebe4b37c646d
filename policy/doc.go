// Package policy decides to which worker a request for an on-demand function goes.
//
// A Policy takes the decisions of one router. It is fed events in the order in which they happen and answers
// each with actions. It keeps no clock, starts no goroutine and does no I/O, so the same events always give
// the same actions.
//
// # Files
//
// The types of the interface are in config.go, request_policy.go, events.go and actions.go. What decides is
// in the files that the key policy of deploy/balancer.toml names, and nowhere else:
//
//   - policy.go: New, Handle, and emit, the one place where actions leave, which withholds those that would
//     break a rule.
//   - requests.go: the life of a request, from its arrival to its final response.
//   - workers.go: the endpoint list. A worker that started anew is known nothing of.
//   - scheduling.go: the choice of a worker.
//   - estimation.go: the latency that is predicted for it, and what is learned from responses.
//   - slowstart.go: how much may go to a worker that has just started.
//   - retries.go: attempts, retries and hedged requests.
//   - shedding.go: overload and tenants' quotas.
//   - loads.go: where functions are loaded, the load budget and the circuit breaker.
//   - health.go: outlier ejection and health checks.
//   - housekeeping.go: what is done every 50 ms: gossip, deferred requests, unloads, and forgetting.
//
// # Scheduling
//
// A request goes to the candidate with the lowest predicted latency: queueing, its own run, a load where no
// replica is known, and the time that is lost if it fails. Ties are broken at random. It is rejected where
// even that comes too late or load is shed, save for one request a second, a trial, by which a wrong estimate
// is corrected. Without a candidate it is deferred to the next housekeeping if waiting may help.
//
// A load begins at the first worker in rendezvous rank that has no replica, which all routers agree on:
// others may keep a replica there, so part of the load time is taken off its score. A function has several
// such ranks, called slots, where it needs more than one replica, by its share of our work or by its
// congestion: late or rejected responses where a replica was loaded. Each router keeps to one slot, and what
// others send to the rest keeps replicas loaded there.
//
// # Estimation
//
// Queueing delay at a worker is a line: its slope, over our attempts in flight, is a regression through the
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
// workers are seen to take work. The bucket begins with a debt of a random part of a request, so that the
// routers take turns, and its tokens expire: saved up in thin traffic, those of all routers would meet. A
// worker that responds after an ejection may be another process; it counts as just started until a start
// would have been reported. Capacity is the size in the endpoint list to a power from 1 to 3, which is
// learned from the runs at large and small workers.
//
// # Load shedding
//
// A standing delay, one that even fast responses show, serves nobody. From a part of the latency objective
// on, a growing part of the requests that never ran is rejected: first those beyond their tenant's quota and
// those that come late at best, then those of classes that are worth less than another, then all. The
// yardstick is the shortest objective among the classes that are worth more. A rejected request does not
// count towards the quota: its client's repeats are the same request.
//
// # Loads
//
// A worker that answers that a function is not loaded is ordered to load it, within the budget, and the
// request follows. While loads fail, the store that all workers load from may be down: a circuit breaker lets
// them begin one at a time, at pauses that double up to 1.6 s, until one succeeds, and requests that need one
// are deferred. Where memory has a price and workers load by themselves, an idle replica is unloaded once its
// memory has cost what a request loses that finds none. A router among several sees only its own requests, so
// it keeps replicas for longer than the price alone would say.
//
// # Health
//
// A worker is ejected when a connection to it can't be made, or when a health check after one that broke
// fails. One broken connection counts as one failure, whatever was in flight on it, and a first attempt that
// broke may go to the same worker again, which has the replica. An ejection lasts for 1 s at first and up to
// 8 s, and ends when a health check succeeds; without health checks one attempt at a time is sent after it.
package policy
