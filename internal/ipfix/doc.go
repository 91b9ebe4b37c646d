// Package ipfix exports one flow record for each request to a collector.
//
// # Protocol
//
// Messages are those of IPFIX (RFC 7011) over UDP (section 10.3), one message in each datagram. A record has one of two
// templates, for IPv4 and for IPv6 addresses. Its information elements are those of IANA's registry
// (https://www.iana.org/assignments/ipfix): addresses, the start and the end of the flow, ports, the transport
// protocol, the octets of the request's body, the reason of the flow's end, and the request's class as the
// application's name. Templates are sent first on each socket and repeated each minute, since a datagram may be lost
// and collectors forget them (section 8.4).
//
// # Structure
//
// Exporter queues records and flushes them, collectorSocket opens the socket, and messageSequence builds messages.
// Package server adds a flow for each completed request and calls Tick in each turn of the event loop.
//
// # Ownership
//
// An Exporter belongs to the event loop's goroutine, is not safe for concurrent use and starts no goroutine. It opens
// its socket by the dial function given to New and again after it has failed.
//
// # Limits
//
// A message takes 1,400 bytes at most, so that no datagram is fragmented. At most 1,024 records are queued between two
// flushes, which are a second apart; a class is cut to 64 bytes.
//
// # Failure behaviour
//
// Exporting never delays a request. Records that the queue has no room for, and those whose addresses are unknown or of
// two families, are dropped and counted. A socket that fails is logged, and opened again 5 s later; records are queued
// meanwhile. UDP has no acknowledgements: a record that was sent may still be lost, which a collector notices by the
// sequence number.
package ipfix
