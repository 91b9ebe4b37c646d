package discovery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// serialResetAfter is how long a server may send only outdated lists before it is assumed to have restarted its
// numbering. Each event counts as announced within 7 s, so a server that sends outdated lists for twice as long is not
// merely late.
const serialResetAfter = 14 * time.Second

// Worker is one entry of the endpoint list.
type Worker struct {
	Name    string
	Addrs   []endpoint.Addr
	Zone    string
	Kind    string
	State   policy.WorkerState
	Weight  float64
	Cell    policy.Group
	Started int64 // when the worker's process started, in Unix milliseconds; 0 if unknown
}

// setCell sets the cell, which isn't known if the number can't be one.
func (w *Worker) setCell(number int64) {
	w.Cell = policy.Group{}
	if number >= 0 && number <= math.MaxUint16 {
		w.Cell = policy.KnownGroup(int(number))
	}
}

// endpointList is the current list and its serial number. It is replaced by a list with a higher serial number or,
// while it is incomplete, with the same number. The only exception is a restarted numbering, see compareLower.
type endpointList struct {
	workers    map[endpoint.NameKey]Worker
	serial     uint32
	incomplete bool          // an SRV record of the list had no usable address
	staleSince time.Duration // since when all responses have had lower serial numbers; 0 if the latest had not
}

// comparison is the result of comparing the serial number of a response with that of the current list.
type comparison int

const (
	listIgnored    comparison = iota // the current list stays in use
	listNewer                        // the response's list is newer
	listCompletes                    // the response's list has the same number, and the current one is incomplete
	listRenumbered                   // the response's list has a lower number, but the server restarted its numbering
)

// serialNewer reports whether a comes after b by the serial number arithmetic of RFC 1982, section 3.2.
func serialNewer(a, b uint32) bool { return int32(a-b) > 0 }

// compare compares the serial number of a response that was received now. It must be called exactly once for each
// response, because it records for how long only lower numbers were received.
func (l *endpointList) compare(serial uint32, now time.Duration) comparison {
	if serialNewer(l.serial, serial) {
		return l.compareLower(now)
	}
	l.staleSince = 0
	switch {
	case serialNewer(serial, l.serial):
		return listNewer
	case serial == l.serial && l.incomplete:
		return listCompletes
	}
	return listIgnored
}

// compareLower handles a response with a lower serial number. If all responses have had lower numbers for
// serialResetAfter, the server is assumed to have restarted its numbering.
func (l *endpointList) compareLower(now time.Duration) comparison {
	if l.staleSince == 0 {
		l.staleSince = now
	}
	if now-l.staleSince < serialResetAfter {
		return listIgnored
	}
	l.staleSince = 0
	return listRenumbered
}

// confirmedBy reports whether a response with the given serial number confirms that the list is current and complete.
func (l *endpointList) confirmedBy(serial uint32) bool { return serial == l.serial && !l.incomplete }

// replace replaces the list. incomplete states that an SRV record of the new list had no usable address.
func (l *endpointList) replace(serial uint32, workers map[endpoint.NameKey]Worker, incomplete bool) {
	l.serial = serial
	l.workers = workers
	l.incomplete = incomplete
}

// sorted returns the workers sorted by name.
func (l *endpointList) sorted() []Worker {
	workers := slices.AppendSeq(make([]Worker, 0, len(l.workers)), maps.Values(l.workers))
	slices.SortFunc(workers, func(a, b Worker) int {
		return cmp.Compare(endpoint.KeyOf(a.Name), endpoint.KeyOf(b.Name))
	})
	return workers
}
