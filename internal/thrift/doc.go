// Package thrift is the front for the platform's clients: framed Thrift with the strict binary protocol.
//
// # Protocol
//
// A frame consists of the length of a message, in four big-endian bytes, and the message
// (https://github.com/apache/thrift/blob/master/doc/specs/thrift-rpc.md, "Framed vs. unframed transport"). Messages
// have the strict binary encoding (thrift-binary-protocol.md in the same folder). The front serves three methods:
//
//   - execute runs a request. Its arguments are a map of strings, the fields of the request, and a body. The reply is
//     the struct Answer or one of two exceptions: Backoff, after which the client can safely retry the request, and
//     Lost, after which the request may or may not have run.
//   - interrupt cancels an execute that its client no longer waits for. Its argument is the sequence number of the
//     execute. Neither the interrupt nor the canceled execute gets a reply.
//   - check returns whether the router is ready.
//
// Replies may be sent in any order: a client matches them to its requests by the sequence numbers. The reply to an
// unknown method is an application exception.
//
// # Structure
//
// Front holds the state that all connections share. A connection splits the received bytes into frames (handleFrame)
// and handles each message by its method. decodeRequest checks the fields of an execute. openRequest implements the
// router's Responder and encodes the response.
//
// # Ownership
//
// The Front and its connections belong to the event loop's goroutine and are not safe for concurrent use. They start no
// goroutines. Frames are decoded in place. The body of a request is copied, because it is used after the read buffer
// has been reused.
//
// # Limits
//
// A frame has at most 20 KiB, a body at most 16 KiB, and the map of fields at most 64 entries. Values are nested at
// most 8 levels deep. One connection may have at most 64 requests open; further ones are rejected with Backoff.
// Sequence numbers must increase from one execute to the next, up to the largest positive 32-bit integer. If a number
// were used again, a reply could be taken for that of the earlier request.
//
// # Failure behavior
//
// A malformed message closes its connection. If a field of a request is invalid, the request is not forwarded, and the
// reply is a Lost exception that names the field. Both are logged at most once a second, with their count. When a
// connection closes, its open requests are canceled.
package thrift
