// Package router is the core of the function router: it accepts requests, forwards attempts to workers, and gives each
// request exactly one final response. It knows no wire format, opens no socket and reads no clock.
//
// # Parts around the core
//
//   - Fronts (internal/thrift, internal/webhook) hand in requests with Core.Accept and withdraw them with
//     Core.CancelRequest. A front sets Request.Deadline to the client's deadline less ResponseMargin. The core calls
//     the request's Responder once, unless the request was canceled, possibly before Accept returns.
//   - The worker client (internal/workerclient) implements WorkerClient. It answers each StartAttempt with
//     Core.AttemptCompleted, each Load with Core.LoadCompleted and each CheckHealth with Core.HealthCheckCompleted, at
//     once or later. The core time-limits all three, and ignores what arrives for an attempt or command that has ended.
//   - The decision module (package policy) takes all decisions. The core hands it events in the order in which they
//     happened, and carries out the actions that it returns. The module keeps no request table, no timers and no
//     sockets; the core decides nothing that the module can decide.
//   - The route table (internal/route), where one is set, chooses the pool of workers that a request may go to before
//     the module sees the request.
//
// # Parts of the core
//
// Core is what the parts around it call, and the loop of Process. Each part of its state is owned by one type:
//
//   - requestTracker carries requests from their arrival through their attempts to their completion. Its requestTable
//     has the tracked requests, and counts what they take of the Limits.
//   - commandTracker has the loads and health checks that await an answer.
//   - timerQueue has the clock, and the timers of the core and of the decision module.
//   - routing has the route table in force.
//   - eventQueue has what the decision module has not seen yet.
//
// # Ownership and time
//
// A Core belongs to one goroutine, that of the event loop, and has no locks. All its methods, and all calls that it
// makes to responders, worker client, decision module and Config.OnCompleted, run on that goroutine. Time is a
// time.Duration on the owner's monotonic clock; the owner moves it forward with SetNow and Process. Process hands
// over what has gathered, fires the timers that are due, and returns when it has to be called again.
//
// # Life of a request
//
//  1. Accept admits it, or rejects it for want of capacity, fails it for a duplicate ID, or rejects it because no
//     route matches. An admitted request enters the request table, gets a deadline timer, and a policy.RequestArrived
//     event waits for the next Process.
//  2. Process hands the event to the module, which answers with actions: attempts to start or cancel, replicas to
//     load, timers to set, or a rejection.
//  3. Attempts complete through AttemptCompleted. The first served one gives the request its response. The others go
//     to the module, which may start further attempts.
//  4. A request completes as served, rejected, failed or canceled; Config.OnCompleted is called once. Attempts that no
//     byte has been sent for are withdrawn. The module ends requests before their deadline; should it not, the deadline
//     timer does.
//  5. A completed request leaves the table when its last attempt has ended. Until then its ID stays reserved, since
//     workers tell requests apart by ID.
package router
