// Package endpoint decides over which of its addresses a worker is dialled.
//
// An [AddressSet] keeps the addresses of one worker in the order in which they are tried, with what is known of each:
// which are unavailable, when to try those again, and when to go back to a better one. A [DialRace] is the dialling of
// one connection over the candidates of a set, as RFC 8305 (Happy Eyeballs) describes it. [GroupAliases] finds the
// entries of an endpoint list that lead to one worker.
//
// The package does no I/O, reads no clock and imports the standard library alone: its callers report what happened, and
// it returns what to do next. Package workerclient carries that out, and its model check runs both over all
// interleavings of a small scope.
//
// Times are on the caller's monotonic clock. The types are not safe for concurrent use: the event loop's goroutine owns
// them. No function blocks.
package endpoint
