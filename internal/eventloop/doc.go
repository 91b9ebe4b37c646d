// Package eventloop joins nbio's pollers to the one goroutine that owns all state.
//
// # Goroutines
//
// nbio runs one goroutine that polls all connections for readiness, and one for each listener. Their callbacks copy
// what happened into a queue and do nothing else. The goroutine in [Loop.Run] takes what is queued, turn by turn: it
// hands each event to the handler of its connection, calls the turn function once, and then writes what came of it,
// with one gathered write for each connection.
//
// A dial has a goroutine of its own, for the time of its timeout at the most.
//
// # Ownership
//
// All methods of handlers run on the loop's goroutine, and so must all methods of [Conn]. Of [Loop], these may be
// called from any goroutine: [Loop.Post], which is how other goroutines reach the state, and [Loop.CloseIdleClients].
// Bytes that are handed to a handler are its to keep; buffers that are written belong to the connection until the end
// of the turn.
//
// # Backpressure
//
// Everything that a peer can make grow has a bound:
//
//   - Bytes queued for the loop. Beyond the limit the poller waits for the next turn, and the kernel's windows slow the
//     peers down.
//   - Connections that were accepted and not yet seen by the loop. Beyond a few of them accepting waits.
//   - Accepted connections. Beyond the limit one that is idle makes room, and where there is none the new one is
//     closed.
//   - Bytes that a peer leaves unread, and those that all peers together leave unread. A peer beyond the limit is
//     closed.
//
// # Shutdown
//
// [Loop.Stop] has [Loop.Run] return after the present turn. [Loop.Close] then ends every goroutine that the loop
// started: dials are cancelled, listeners and connections are closed, and pollers that wait for the queue are
// released. Handlers hear nothing of that, and what is posted later is dropped.
package eventloop
