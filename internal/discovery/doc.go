// Package discovery keeps the endpoint list up to date. The first list is the one in the platform's configuration;
// further ones are queried from the discovery server by DNS over UDP.
//
// # Protocol
//
// A query asks for the SRV records of serviceName (RFC 2782). A response contains the whole list: for each worker an
// SRV record, A and AAAA records with its addresses, and a TXT record with the texts kind=, cell= and started=. In the
// SRV record, a priority above 0 means that the worker is draining, and the weight is ten times the worker's weight.
// The serial number of the SOA record is the version of the list; versions are compared by the serial number arithmetic
// of RFC 1982. Because each response contains the whole list, lost and reordered responses do no harm.
//
// A response that can't be parsed, is truncated, reports an error or belongs to another question changes nothing. An
// SRV record without a usable address does not invalidate the others: its worker keeps its former addresses or, if it
// had none, is left out. A complete list of the same serial number replaces the incomplete one.
//
// # Structure
//
// Client connects the other parts. pollSchedule decides when to dial and to query. serverSockets holds the sockets, and
// each socket matches responses to its queries. parser parses a response, endpointList compares its serial number with
// that of the current list, and recordJoiner combines its records into workers. Package server calls Tick in each turn
// of the event loop and is notified of each list.
//
// # Polling
//
// The client polls three times between an event and the time after which no new work may be sent to the event's worker.
// A query without a response, or with an outdated one, is repeated after initialBackoff. The backoff doubles with each
// repetition, up to the poll interval. Jitter from the router's seed spreads the queries of routers that start at the
// same time. Each socket has its own pending queries with random ids, and a response must match one of them.
//
// # Staleness
//
// A list with a lower serial number than the current one is ignored. If a server sends only lower numbers for
// serialResetAfter, it is assumed to have restarted its numbering, and its list is applied. While no response is
// received, the last list stays in use.
//
// # Ownership
//
// A Client has no goroutine and no lock. Its methods, and those of its sockets, are called on the event loop's
// goroutine.
package discovery
