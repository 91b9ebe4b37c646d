// Package router is the core of the function router: it accepts requests, forwards attempts to workers, and gives each
// request exactly one final response, unless its client cancels it. It depends on no wire format, opens no sockets and
// reads no clock.
//
// # Components around the core
//
//   - Fronts (internal/thrift, internal/webhook) pass requests to Core.Accept and cancel them with Core.CancelRequest.
//     A front sets Request.Deadline to the client's deadline minus ResponseMargin. The core calls the request's
//     Responder once, unless the request is canceled. This call may happen before Accept returns.
//   - The worker client (internal/workerclient) implements WorkerClient. It reports the result of each StartAttempt
//     with Core.AttemptCompleted, of each Load with Core.LoadCompleted and of each CheckHealth with
//     Core.HealthCheckCompleted, immediately or later. The core limits the time of all three, and ignores results of
//     attempts and commands that have already completed.
//   - The decision module (package policy) makes all decisions. The core passes events to it in the order in which they
//     happened, and executes the actions that it returns. The module keeps no request table, no timers and no sockets.
//     The core makes no decision that the module can make.
//   - The route table (internal/route), if one is set, chooses the pool of workers that may run a request. It does so
//     before the module sees the request.
//
// # Components of the core
//
// Core has the methods that the components around it call, and the main loop, Process. Each part of its state is owned
// by one type:
//
//   - requestTracker takes each request from its arrival through its attempts to its completion. Its requestTable
//     stores the tracked requests, and counts how much of the Limits they use.
//   - commandTracker stores the load commands and health checks that have not completed.
//   - timerQueue keeps the current time, and the timers of the core and of the decision module.
//   - routing keeps the route table in force.
//   - eventQueue stores the events that the decision module has not handled yet.
//
// # Ownership and time
//
// A Core belongs to one goroutine, that of the event loop, and has no locks. All its methods run on that goroutine, and
// so do all calls that it makes to responders, to the worker client, to the decision module and to Config.OnCompleted.
// Time is a time.Duration on the owner's monotonic clock. The owner advances it with SetNow and Process. Process passes
// the queued events to the module, fires the timers that are due, and returns the time of its next call.
//
// # Life of a request
//
//  1. Accept admits the request or responds at once: it rejects the request if the core has no capacity or no route
//     matches, and fails it if its ID is in use. An admitted request enters the request table and gets a deadline
//     timer. Its policy.RequestArrived event waits for the next Process.
//  2. Process passes the event to the module, which returns actions: attempts to start or cancel, replicas to load,
//     timers to set, or a rejection.
//  3. Attempts complete through AttemptCompleted. The first served attempt gives the request its response. All results
//     go to the module, which may start further attempts.
//  4. A request completes as served, rejected, failed or canceled, and Config.OnCompleted is called once. Attempts of
//     which no byte has been sent are withdrawn. The module completes requests before their deadlines; if it does not,
//     the deadline timer completes them.
//  5. A completed request leaves the table when its last attempt has completed. Until then its ID stays reserved,
//     because workers distinguish requests by ID.
package router
