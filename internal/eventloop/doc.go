// Package eventloop connects nbio's pollers to the one goroutine that owns all state.
//
// # Goroutines
//
// nbio runs one goroutine that polls all connections for readiness, and one for each listener. Their callbacks copy
// what happened into a queue and do nothing else. The goroutine in [Loop.Run] handles what is queued, turn by turn: it
// passes each event to the handler of its connection and calls the turn function once. Then it writes what these have
// queued, with one gathered write for each connection.
//
// Each dial has a goroutine of its own, which lives at most as long as the dial's timeout.
//
// nbio finds the connection of an event by its descriptor. So that an event of a connection that the loop has closed is
// not applied to a new one, dials and listeners hand a connection to the poller only once that holds no such event.
//
// # Ownership
//
// All methods of handlers run on the loop's goroutine, and all methods of [Conn] must be called on it. Of a running
// [Loop], any goroutine may call [Loop.Post], which is how other goroutines reach the state, [Loop.AcceptedCount] and
// [Loop.Addrs]. Any goroutine except the loop's may call [Loop.CloseIdleClients], which blocks. Bytes that a handler
// receives are its to keep. Buffers that are written belong to the connection until the end of the turn.
//
// The state is divided by concern, and each type names its owner: queue passes events to the loop, connReader and
// connWriter read and write one connection, acceptedClients holds the accepted connections, admission limits their
// number, dialer opens connections, flushList holds those to be written, descriptorGuard keeps descriptors from being
// used again too early, and poller and listeners run nbio.
//
// # Backpressure
//
// Everything that a peer can make grow has a limit:
//
//   - Bytes queued for the loop. Beyond the limit the poller waits for the next turn, and the kernel's windows slow the
//     peers down.
//   - Connections that were accepted and not yet seen by the loop. Beyond a few of them accepting waits.
//   - Accepted connections. Beyond the limit an idle one is closed to free a connection slot. When there is none, the
//     new one is closed.
//   - Bytes that a peer leaves unread, and those that all peers together leave unread. A peer beyond the limit is
//     closed.
//
// # Shutdown
//
// [Loop.Stop] has [Loop.Run] return after the present turn. [Loop.Close] then ends every goroutine that the loop
// started: dials are canceled, listeners and connections are closed, and pollers that wait for the queue are
// released. Handlers are not notified of that, and what is posted later is dropped.
package eventloop
