// Package discovery follows the endpoint list: first the list that the platform's configuration holds, and then what
// the discovery server answers by DNS over UDP.
//
// # Protocol
//
// A query asks for the SRV records of serviceName (RFC 2782). A response holds the whole list: an SRV record for each
// worker (priority above 0: the worker is draining; the weight is ten times the worker's), A and AAAA records with its
// addresses, and a TXT record with the texts kind=, cell= and started=. The serial number of the SOA record numbers the
// lists; numbers are compared by the serial number arithmetic of RFC 1982. Since each response is whole, one that is
// lost or overtaken does no harm.
//
// A response that can't be parsed, is truncated, reports an error or answers another question changes nothing. A
// service record without a usable address does not invalidate the others: its worker keeps the addresses that it had or
// is left out, and the same list is applied again once it comes complete.
//
// # Structure
//
// Client joins the parts: pollSchedule decides when to dial and to query, serverSockets holds the sockets, each of
// which matches responses to its queries, parser reads a response, endpointList compares its serial number with that of
// the current list, and recordJoiner joins its records to workers. Package server calls Tick in each turn of the event
// loop and is notified of each list.
//
// # Polling
//
// The client polls three times in the period that an event leaves until nothing new may be sent to its worker. A query
// without a response, or with an outdated one, is repeated after initialBackoff and then after twice as long each time,
// up to the poll interval. Jitter from the router's seed spreads the queries of routers that start together. Each
// socket has its own pending queries with random ids, and a response is matched to one of them.
//
// # Staleness
//
// A list with a lower serial number than the current one is ignored. If a server sends nothing but lower numbers for
// serialResetAfter it numbers its lists anew, and its list is applied. While no response comes the last list stays in
// force.
//
// # Ownership
//
// A Client has no goroutine and no lock. Its methods, and those of its sockets, are called on the event loop's
// goroutine.
package discovery
