package simulator

import (
	"encoding/binary"
	"math"
	"time"

	"crankhold/policy"
)

// allRouters is the receiver number of gossip that is sent to all routers.
const allRouters = math.MaxUint32

// encoder appends fields to records.
type encoder struct{ records []byte }

// beginRecord appends the code and the instance that every record begins with. The record's fields must follow.
func (e *encoder) beginRecord(code actionCode, instance uint16) {
	e.uint8(uint8(code))
	e.uint16(instance)
}

// beginRequestRecord appends the first fields of the record of an action for a request.
func (e *encoder) beginRequestRecord(code actionCode, instance uint16, id policy.RequestID) {
	e.beginRecord(code, instance)
	e.uint32(uint32(id))
}

// beginWorkerRecord appends the first fields of the record of an action for a worker.
func (e *encoder) beginWorkerRecord(code actionCode, instance uint16, id policy.WorkerID) {
	e.beginRecord(code, instance)
	e.worker(id)
}

func (e *encoder) uint8(v uint8)   { e.records = append(e.records, v) }
func (e *encoder) uint16(v uint16) { e.records = binary.BigEndian.AppendUint16(e.records, v) }
func (e *encoder) uint32(v uint32) { e.records = binary.BigEndian.AppendUint32(e.records, v) }
func (e *encoder) uint64(v uint64) { e.records = binary.BigEndian.AppendUint64(e.records, v) }

func (e *encoder) function(id policy.FunctionID) { e.uint64(uint64(id)) }

// duration encodes milliseconds in double precision.
func (e *encoder) duration(v time.Duration) { e.uint64(math.Float64bits(toMillis(v))) }

// worker encodes a worker's id as its address and port.
func (e *encoder) worker(id policy.WorkerID) {
	e.uint32(uint32(id >> 16))
	e.uint16(uint16(id))
}

// receiver encodes the number of a router. A negative number stands for all routers.
func (e *encoder) receiver(router int) {
	if router < 0 {
		e.uint32(allRouters)
		return
	}
	e.uint32(uint32(router))
}

func (e *encoder) bool(v bool) {
	if v {
		e.uint8(1)
		return
	}
	e.uint8(0)
}

// bytes encodes the length of b and then b itself.
func (e *encoder) bytes(b []byte) {
	e.uint16(uint16(len(b)))
	e.records = append(e.records, b...)
}
