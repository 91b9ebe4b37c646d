// Package endpoint decides which address of a worker to dial.
//
// An [AddressSet] holds the addresses of one worker in order of preference, with the state of each. It decides which
// addresses are unavailable, when to dial those again, and when requests return to a preferred address. A [DialRace]
// establishes one connection by dialing the candidates of a set, as RFC 8305 (Happy Eyeballs) describes.
// [GroupAliases] finds the entries of an endpoint list that are aliases of one worker.
//
// The package does no I/O, reads no clock and imports only the standard library. Its callers report what happened, and
// it returns what to do next. Package workerclient makes the dials. The model check of workerclient tests both packages
// with all interleavings of events up to a small bound.
//
// Times are on the caller's monotonic clock. The types are not safe for concurrent use; the event loop's goroutine owns
// them. No function blocks.
package endpoint
