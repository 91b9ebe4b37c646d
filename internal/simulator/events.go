package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"crankhold/policy"
)

// endpointBytes is the length of an endpoint in a list.
const endpointBytes = 24

var errRecordTruncated = errors.New("record is cut short")

// decoder takes fields off the front of unread. What is malformed is noted in short and err, once for the record, so
// that its fields can be read one after the other.
type decoder struct {
	unread    []byte
	truncated bool  // the record goes on beyond unread
	err       error // a field has a value that is not known
}

// record decodes one record.
func (d *decoder) record() (Record, error) {
	code := d.uint8()
	record := Record{Instance: d.uint16()}
	switch code {
	case codeResponseStarted:
		record.Event = d.responseStarted()
	case codeAttemptCompleted:
		record.Event = d.attemptCompleted()
	case codeRequestCanceled:
		record.Event = policy.RequestCanceled{Request: d.request()}
	case codeKill:
		record.Event = Kill{}
	case codeHealthCheckCompleted:
		record.Event = d.healthCheckCompleted()
	case codeEndpointList:
		record.Event = d.endpointList()
	case codeTimerFired:
		record.Event = policy.TimerFired{Token: d.uint64()}
	case codeGossipReceived:
		record.Event = d.gossipReceived()
	case codeInit:
		record.Event = d.instanceStarted()
	case codeRequestArrived:
		record.Event = d.requestArrived()
	case codeLoadCompleted:
		record.Event = d.loadCompleted()
	default:
		return record, fmt.Errorf("unknown record code %d", code)
	}
	if d.truncated {
		return record, errRecordTruncated
	}
	return record, d.err
}

func (d *decoder) instanceStarted() Init {
	e := Init{Seed: d.uint64()}
	e.Settings = d.bytes(d.uint32())
	return e
}

func (d *decoder) requestArrived() policy.RequestArrived {
	const (
		hasWork = 1 << iota
		isRetry
	)
	e := policy.RequestArrived{Request: d.request()}
	e.Tenant = int(d.uint16())
	e.LoadTime = d.shortDuration()
	flags := d.uint8()
	e.IsRetry = flags&isRetry != 0
	e.Function = d.function()
	e.Lanes = d.float32()
	e.MemoryMB = d.float32()
	e.Class = int(d.uint16())
	work := d.duration()
	if flags&hasWork != 0 {
		e.Work = work
	}
	e.Remaining = d.duration()
	return e
}

func (d *decoder) responseStarted() policy.ResponseStarted {
	e := policy.ResponseStarted{Request: d.request()}
	e.Attempt = int(d.uint16())
	d.worker()
	d.float64()
	return e
}

func (d *decoder) attemptCompleted() policy.AttemptCompleted {
	e := policy.AttemptCompleted{Request: d.request()}
	e.Worker = d.worker()
	e.LoadStatus, e.Concurrency = loadStatus(d.uint8())
	e.Closed = d.uint8() != 0
	e.Outcome = d.outcome()
	e.Attempt = int(d.uint16())
	e.Took = d.duration()
	e.Report = d.loadReport()
	return e
}

// loadStatus splits a byte into the load status and the number of requests that the worker held.
func loadStatus(info uint8) (policy.LoadStatus, int) {
	status := policy.LoadStatus(info & 7)
	if status > policy.LoadFailed {
		status = policy.LoadStatusUnknown
	}
	return status, int(info >> 3)
}

func (d *decoder) healthCheckCompleted() policy.HealthCheckCompleted {
	e := policy.HealthCheckCompleted{Took: d.duration()}
	e.Outcome = d.outcome()
	e.Worker = d.worker()
	e.Report = d.loadReport()
	return e
}

func (d *decoder) loadCompleted() policy.LoadCompleted {
	e := policy.LoadCompleted{Worker: d.worker()}
	e.Function = d.function()
	e.Outcome = d.outcome()
	e.Took = d.duration()
	e.Count = int(d.uint8())
	return e
}

func (d *decoder) gossipReceived() policy.GossipReceived {
	e := policy.GossipReceived{From: int(d.uint16())}
	e.Data = d.bytes(uint32(d.uint16()))
	return e
}

func (d *decoder) endpointList() policy.EndpointList {
	kind := d.uint8()
	d.uint32()
	count := d.uint32()
	if kind > uint8(policy.EndpointListFailed) {
		d.invalid("list mode", kind)
		return policy.EndpointList{}
	}
	if uint64(count)*endpointBytes > uint64(len(d.unread)) {
		d.truncated = true
		return policy.EndpointList{}
	}
	list := policy.EndpointList{Kind: policy.EndpointListKind(kind)}
	for range count {
		e := policy.Endpoint{Worker: d.worker()}
		e.Zone = int(d.uint16())
		state := d.uint8()
		if state > uint8(policy.Draining) {
			d.invalid("worker state", state)
			return list
		}
		e.State = policy.WorkerState(state)
		e.Weight = d.float32()
		e.Cell = int(d.uint16())
		d.uint8()
		e.Started = d.duration()
		list.Workers = append(list.Workers, e)
	}
	return list
}

// invalid notes a value that is not known.
func (d *decoder) invalid(field string, value uint8) {
	if d.err == nil {
		d.err = fmt.Errorf("unknown %s %d", field, value)
	}
}

// take returns the next n bytes, or zeros where there are fewer.
func (d *decoder) take(n int) []byte {
	if n > len(d.unread) {
		d.truncated = true
		d.unread = nil
		return make([]byte, n)
	}
	taken := d.unread[:n]
	d.unread = d.unread[n:]
	return taken
}

func (d *decoder) uint8() uint8                 { return d.take(1)[0] }
func (d *decoder) uint16() uint16               { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) uint32() uint32               { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) uint64() uint64               { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) float32() float64             { return float64(math.Float32frombits(d.uint32())) }
func (d *decoder) float64() float64             { return math.Float64frombits(d.uint64()) }
func (d *decoder) duration() time.Duration      { return millis(d.float64()) }
func (d *decoder) shortDuration() time.Duration { return millis(d.float32()) }
func (d *decoder) request() policy.RequestID    { return policy.RequestID(d.uint32()) }
func (d *decoder) function() policy.FunctionID  { return policy.FunctionID(d.uint64()) }

func (d *decoder) worker() policy.WorkerID {
	high := policy.WorkerID(d.uint32())
	return high<<16 | policy.WorkerID(d.uint16())
}

func (d *decoder) outcome() policy.Outcome {
	code := d.uint8()
	if int(code) >= len(outcomes) {
		d.invalid("outcome", code)
		return 0
	}
	return outcomes[code]
}

func (d *decoder) loadReport() []float64 {
	count := int(d.uint8())
	if count*4 > len(d.unread) {
		d.truncated = true
		return nil
	}
	var report []float64
	for range count {
		report = append(report, d.float32())
	}
	return report
}

// bytes returns a copy of the next n bytes, or nil where there are fewer.
func (d *decoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(d.unread)) {
		d.truncated = true
		d.unread = nil
		return nil
	}
	return append([]byte(nil), d.take(int(n))...)
}
