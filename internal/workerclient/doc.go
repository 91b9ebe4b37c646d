// Package workerclient manages the connections to the workers and sends commands over them: requests, load and unload
// commands, and health checks, many at a time on each connection.
//
// # Structure
//
// A [Pool] has one worker for each worker of the endpoint list, and each worker has at most ten connections. A command
// goes to the connection of its worker that suits it best, and is queued if that connection is still being dialed. It
// is in flight there until its response has arrived or the connection has ended. Its result goes to a [ResultHandler],
// exactly once, unless the command was canceled first.
//
// A connection has a part for each concern: a dialer, the outgoingStream that it writes to, a responseReader, a
// commandQueue of the commands in flight, and a livenessMonitor. Each kind of command implements commandKind and holds
// its own data. The codec is in resp.go (arrays of bulk strings), command_encoding.go, response_decoding.go and
// response_fields.go.
//
// Package endpoint decides which address of a worker is dialed, and package eventloop provides the sockets.
//
// # Protocol
//
// Commands and responses are RESP arrays of bulk strings. A command is its name (RUN, STOP, HOLD, FREE, INFO, NOOP)
// followed by an id and fields; a response is the id of its command, a status, fields and a body. Responses may arrive
// in any order.
//
// Every response has all four elements. It is used only if nothing has arrived behind it, or the start of another
// response: a body may hold line ends, so one whose length is too small can look whole. Any data that violates the
// protocol closes its connection, and the commands in flight there count as ones that may have run.
//
// # What the end of a connection proves
//
// A worker acts on a command only once it has arrived whole. A command whose last byte never left this program
// certainly did not run, and is sent again over another connection. Any other command that was written may have run.
// Among the statuses of responses, only NONE, SHED and LATE prove that nothing ran.
//
// # Liveness
//
// A connection can be cut off without an error. One that has been silent for longer than expected while responses are
// due is sent a keepalive ping. It is closed if it does not respond although the worker responds on another connection.
// Health checks decide whether a worker that is silent on all connections has failed.
//
// # Concurrency
//
// All methods and callbacks run on the event loop's goroutine, and none of them blocks. The package starts no goroutine
// and reads no clock: [Pool.SetNow] and [Pool.Maintain] advance its time.
package workerclient
