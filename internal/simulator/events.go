package simulator

import (
	"fmt"

	"crankhold/policy"
)

// endpointBytes is the size of an encoded endpoint in a list.
const endpointBytes = 24

// The load status and the concurrency of an attempt share a byte.
const (
	loadStatusMask   = 7
	concurrencyShift = 3
)

// recordDecoder decodes records. Its embedded decoder decodes their fields.
type recordDecoder struct{ decoder }

// newRecordDecoder returns a decoder for the records of a batch.
func newRecordDecoder(records []byte) recordDecoder {
	return recordDecoder{decoder: decoder{unread: records}}
}

// record decodes one record.
func (d *recordDecoder) record() (Record, error) {
	code := d.uint8()
	record := Record{Instance: d.uint16()}
	record.Event = d.requestEvent(eventCode(code))
	if record.Event == nil {
		return record, fmt.Errorf("unknown record code %d", code)
	}
	if d.truncated {
		return record, errRecordTruncated
	}
	return record, d.err
}

// requestEvent decodes the fields of an event that concerns a request, and calls workerEvent for all other events. It
// returns nil for an unknown code. The functions use switches because a table of functions would make the decoder
// escape to the heap.
func (d *recordDecoder) requestEvent(code eventCode) any {
	switch code {
	case codeRequestArrived:
		return d.requestArrived()
	case codeRequestCanceled:
		return policy.RequestCanceled{Request: d.request()}
	case codeResponseStarted:
		return d.responseStarted()
	case codeAttemptCompleted:
		return d.attemptCompleted()
	}
	return d.workerEvent(code)
}

// workerEvent decodes the fields of an event that concerns workers, and calls instanceEvent for all other events.
func (d *recordDecoder) workerEvent(code eventCode) any {
	switch code {
	case codeEndpointList:
		return d.endpointList()
	case codeHealthCheckCompleted:
		return d.healthCheckCompleted()
	case codeLoadCompleted:
		return d.loadCompleted()
	}
	return d.instanceEvent(code)
}

// instanceEvent decodes the fields of an event that concerns neither requests nor workers.
func (d *recordDecoder) instanceEvent(code eventCode) any {
	switch code {
	case codeInit:
		return d.instanceStarted()
	case codeKill:
		return Kill{}
	case codeTimerFired:
		return policy.TimerFired{Token: d.uint64()}
	case codeGossipReceived:
		return d.gossipReceived()
	}
	return nil
}

func (d *recordDecoder) instanceStarted() Init {
	e := Init{Seed: d.uint64()}
	e.Settings = d.bytes(d.uint32())
	return e
}

func (d *recordDecoder) requestArrived() policy.RequestArrived {
	const (
		flagHasWork = 1 << iota
		flagIsRetry
	)
	e := policy.RequestArrived{Request: d.request()}
	e.Tenant = int(d.uint16())
	e.LoadTime = d.shortDuration()
	flags := d.uint8()
	e.IsRetry = flags&flagIsRetry != 0
	e.Function = d.function()
	e.Lanes = d.float32()
	e.MemoryMB = d.float32()
	e.Class = int(d.uint16())
	work := d.duration()
	if flags&flagHasWork != 0 {
		e.Work = work
	}
	e.Remaining = d.duration()
	return e
}

func (d *recordDecoder) responseStarted() policy.ResponseStarted {
	e := policy.ResponseStarted{Request: d.request()}
	e.Attempt = int(d.uint16())
	d.worker()  // not needed: the worker is known from the start of the attempt
	d.float64() // not needed: milliseconds since the start of the attempt
	return e
}

func (d *recordDecoder) attemptCompleted() policy.AttemptCompleted {
	e := policy.AttemptCompleted{Request: d.request()}
	e.Worker = d.worker()
	e.LoadStatus, e.Concurrency = loadStatus(d.uint8())
	e.RequestClosed = d.uint8() != 0
	e.Outcome = d.outcome()
	e.Attempt = int(d.uint16())
	e.Took = d.duration()
	e.Report = d.loadReport()
	return e
}

// loadStatus splits a byte into the load status and the number of requests that the worker had in flight.
func loadStatus(info uint8) (policy.LoadStatus, int) {
	status := policy.LoadStatus(info & loadStatusMask)
	if status > policy.LoadFailed {
		status = policy.LoadStatusUnknown
	}
	return status, int(info >> concurrencyShift)
}

func (d *recordDecoder) healthCheckCompleted() policy.HealthCheckCompleted {
	e := policy.HealthCheckCompleted{Took: d.duration()}
	e.Outcome = d.outcome()
	e.Worker = d.worker()
	e.Report = d.loadReport()
	return e
}

func (d *recordDecoder) loadCompleted() policy.LoadCompleted {
	e := policy.LoadCompleted{Worker: d.worker()}
	e.Function = d.function()
	e.Outcome = d.outcome()
	e.Took = d.duration()
	e.Count = int(d.uint8())
	return e
}

func (d *recordDecoder) gossipReceived() policy.GossipReceived {
	e := policy.GossipReceived{From: int(d.uint16())}
	e.Data = d.bytes(uint32(d.uint16()))
	return e
}

func (d *recordDecoder) endpointList() policy.EndpointList {
	kind := d.uint8()
	d.uint32() // the list's version, which the policy does not use
	count := d.uint32()
	if kind > uint8(policy.EndpointListFailed) {
		d.recordUnknown("list mode", kind)
		return policy.EndpointList{}
	}
	// The count is checked before the entries are decoded, so that an invalid count causes no allocation.
	if uint64(count)*endpointBytes > uint64(len(d.unread)) {
		d.truncated = true
		return policy.EndpointList{}
	}
	list := policy.EndpointList{Kind: policy.EndpointListKind(kind)}
	for range count {
		entry, ok := d.endpoint()
		if !ok {
			return list
		}
		list.Workers = append(list.Workers, entry)
	}
	return list
}

// endpoint decodes one entry of a list. If the worker's state is unknown, it returns false and leaves the rest of the
// entry unread.
func (d *recordDecoder) endpoint() (entry policy.Endpoint, ok bool) {
	entry.Worker = d.worker()
	entry.Zone = policy.KnownGroup(int(d.uint16()))
	state := d.uint8()
	if state > uint8(policy.Draining) {
		d.recordUnknown("worker state", state)
		return entry, false
	}
	entry.State = policy.WorkerState(state)
	entry.Weight = d.float32()
	entry.Cell = policy.KnownGroup(int(d.uint16()))
	d.uint8() // the worker's kind, which the policy does not use
	entry.Started = d.duration()
	return entry, true
}
