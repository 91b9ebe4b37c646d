// Package workerclient keeps the connections to the workers and carries commands over them: requests, load and unload
// commands, and health checks, many at a time on each connection.
//
// # Structure
//
// A [Pool] has one worker for each worker of the endpoint list, and each worker has up to ten connections. A command
// goes to the preferred connection of its worker, queued while that is being dialled, and is in flight there until its
// response has arrived or the connection has ended. Its result goes to a [ResultHandler], exactly once, unless the
// command was canceled or abandoned first.
//
// A connection has a part for each concern: a dialer, the outgoingStream that it writes to, a responseReader, a
// commandQueue of what is in flight, and a livenessMonitor. Each kind of command is a commandKind with its own data.
// The codec is in resp.go (arrays of bulk strings), command_encoding.go and response_decoding.go.
//
// Which address of a worker is dialled is decided by package endpoint; the sockets are those of package eventloop.
//
// # Protocol
//
// Commands and responses are RESP arrays of bulk strings. A command is its name (RUN, STOP, HOLD, FREE, INFO, NOOP)
// followed by an id and fields; a response is the id of its command, a status, fields and a body. Responses may arrive
// in any order.
//
// # What the end of a connection proves
//
// A worker acts on a command once it has arrived whole. A command whose last byte never left this program certainly
// never ran, and is sent again over another connection; any other that was written may have run. Only the statuses
// NONE, SHED and LATE prove of a response that nothing ran.
//
// # Liveness
//
// A connection can be cut off without an error. One that has been silent for unusually long while responses are due is
// sent a keepalive ping, and is closed if it does not respond although the worker responds on another connection.
// Whether a worker that is silent on all connections has failed is decided by health checks.
//
// # Concurrency
//
// All methods and callbacks run on the event loop's goroutine, and none of them blocks. The package starts no goroutine
// and reads no clock: [Pool.SetNow] and [Pool.Maintain] move its time on.
package workerclient
