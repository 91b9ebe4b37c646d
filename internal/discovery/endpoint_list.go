package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// serialResetAfter is how long a server may send nothing but outdated lists before it counts as one that numbers its
// lists anew. All it has to announce counts as announced within 7 s, so it can't be late for twice as long.
const serialResetAfter = 14 * time.Second

// Worker is one entry of the endpoint list.
type Worker struct {
	Name    string
	Addrs   []endpoint.Addr
	Zone    string
	Kind    string
	State   policy.WorkerState
	Weight  float64
	Cell    int
	Started int64 // when its process started, in Unix milliseconds; 0 where that is not reported
}

// endpointList is the current list and its serial number. Only lists with a higher serial number replace it, and lists
// of the same number while it is incomplete; compare has the one exception.
type endpointList struct {
	workers    map[string]Worker // by name
	serial     uint32
	incomplete bool          // the list had a record that could not be used
	staleSince time.Duration // since when all responses have had lower serial numbers; 0 if the last one had not
}

// comparison is how a list's serial number compares to that of the current list.
type comparison int

const (
	listIgnored    comparison = iota // the current list stays in force
	listNewer                        // the other list is newer
	listCompletes                    // the other list has the same number, and the current one is incomplete
	listRenumbered                   // the other list has a lower number, but the server numbers its lists anew
)

// serialNewer reports whether a comes after b by the serial number arithmetic of RFC 1982, section 3.2.
func serialNewer(a, b uint32) bool { return int32(a-b) > 0 }

// compare compares the serial number of a response that has come now. It is called once for each response, since it
// records for how long only lower numbers have come.
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

// compareLower decides on a response with a lower serial number. After serialResetAfter without any other response the
// server has begun to number its lists anew.
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

// confirmedBy reports whether a response of that serial number shows that the list is the current one.
func (l *endpointList) confirmedBy(serial uint32) bool { return serial == l.serial && !l.incomplete }

// replace replaces the list. An incomplete one had a record that could not be used.
func (l *endpointList) replace(serial uint32, workers map[string]Worker, incomplete bool) {
	l.serial = serial
	l.workers = workers
	l.incomplete = incomplete
}

// sorted returns the workers in the order of their names.
func (l *endpointList) sorted() []Worker {
	workers := slices.AppendSeq(make([]Worker, 0, len(l.workers)), maps.Values(l.workers))
	slices.SortFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	return workers
}
