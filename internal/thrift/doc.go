// Package thrift is the platform's front: framed Thrift with the strict binary protocol.
//
// # Protocol
//
// A frame is the length of a message in four bytes, big-endian, and the message
// (https://github.com/apache/thrift/blob/master/doc/specs/thrift-rpc.md, "Framed vs. unframed transport"). Messages
// have the strict binary encoding (thrift-binary-protocol.md beside it). Three methods are served:
//
//   - execute asks for a request to be run. Its arguments are a map of text fields and a body. It is answered with an
//     Answer, or with one of two exceptions: Backoff, which promises that trying again is harmless, and Lost, which
//     promises nothing.
//   - interrupt names the sequence number of an execute that its client no longer waits for. It has no reply, and
//     neither has the execute from then on.
//   - check asks whether the router is ready.
//
// Replies may come in any order: a client finds its request by the sequence number. A method that the front does not
// know is answered with an application exception.
//
// # Structure
//
// Front holds what all connections share. A connection takes frames out of what is received (handleFrame) and handles
// messages by their method; decodeRequest checks the fields of an execute; openRequest is the router's Responder, which
// encodes the response.
//
// # Ownership
//
// The Front and its connections belong to the event loop's goroutine and are not safe for concurrent use. They start no
// goroutines. Frames are read in place; only a request's body is copied, since it outlives the read that it came in.
//
// # Limits
//
// A frame may take 20 KiB and a body 16 KiB, the map of fields 64 entries, and values may nest 8 levels deep. One
// connection may have 64 requests open; more are rejected with Backoff. Sequence numbers must increase from one execute
// to the next, up to the largest positive 32-bit integer: under a number that was used before, a reply could be taken
// for that of the other request.
//
// # Failure behaviour
//
// A message whose form is wrong closes its connection. A field that can't be used fails its request with Lost, which
// names the field, and nothing is forwarded. Both are logged at most once a second, with their count. When a connection
// closes, its open requests are canceled.
package thrift
