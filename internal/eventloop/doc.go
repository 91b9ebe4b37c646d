// Package eventloop connects nbio's poller to the one goroutine that owns all state.
//
// # Goroutines
//
// nbio runs one goroutine that polls all connections for readiness, and one goroutine for each listener. Their
// callbacks only queue events. The goroutine in [Loop.Run] handles the queued events in turns. In each turn, it passes
// each event to the handler of its connection, then the data of accepted connections in rotation, a slot each, and then
// calls the turn function once. Then it writes the bytes that the handlers and the function have queued, with one
// gathered write for each connection.
//
// Data of dialed connections is an event. Data of accepted connections waits in an inbox for each connection, so that a
// client that sends without a pause delays only itself. While its inbox is full, a connection is not read. Polling is
// edge-triggered, because the poller would otherwise report such a connection without end; the loop reads it on once it
// has handled the inbox. The end of a connection is an event, so it is handled before the data that its client left.
//
// Each dial has its own goroutine, which lives at most as long as the dial's timeout.
//
// nbio looks up the connection of an event by its descriptor. An event of a connection that the loop has closed must
// not be applied to a new connection with the same descriptor. Therefore, dials and listeners hand a connection to the
// poller only once the poller holds no such event.
//
// # Ownership
//
// All methods of handlers run on the loop's goroutine, and all methods of [Conn] must be called on it. While a [Loop]
// runs, any goroutine may call [Loop.Post], [Loop.AcceptedCount] and [Loop.Addrs]; Post is how other goroutines reach
// the state. Any goroutine except the loop's may call [Loop.CloseIdleClient], which blocks. A handler may keep the
// bytes that it receives. Buffers that are written belong to the connection until the end of the turn.
//
// The state is divided by concern, and each type names its owner:
//
//   - queue passes events to the loop, and clientQueue the data of accepted connections.
//   - rotation shares the loop among the accepted connections that have data.
//   - connReader and connWriter read and write one connection.
//   - acceptedClients holds the accepted connections, and admission limits their number.
//   - dialer opens connections.
//   - flushList holds the connections that have to be written to.
//   - descriptorGuard keeps descriptors from being reused too early.
//   - poller and listeners run nbio.
//
// # Backpressure
//
// Everything that a peer can make grow has a limit:
//
//   - Bytes of dialed connections that are queued for the loop. Beyond the limit, the poller waits for the next turn,
//     and the kernel's windows slow the peers down.
//   - Bytes in the inbox of an accepted connection, and in all inboxes. Beyond a limit, the poller reads no more of
//     them, and the loop does it in rotation.
//   - Accepted connections that the loop has not handled yet. Beyond a small number, listeners stop accepting.
//   - Accepted connections. Beyond the limit, an idle connection is closed to free its slot. If there is none, the new
//     connection is closed.
//   - Bytes that one peer leaves unread, and bytes that all peers together leave unread. A connection whose peer
//     exceeds a limit is closed.
//
// # Shutdown
//
// [Loop.Stop] makes [Loop.Run] return after the current turn. [Loop.Close] then stops every goroutine that the loop
// started: it cancels dials, closes listeners and connections, and wakes the poller if it waits for the queue. Handlers
// are not notified of this, and functions posted later are dropped.
package eventloop
