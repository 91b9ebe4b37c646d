package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"crankhold/policy"
)

// float32Bytes is the size of a single-precision floating-point number.
const float32Bytes = 4

var errRecordTruncated = errors.New("truncated record")

// decoder decodes fields from the front of unread. A missing or invalid field is recorded in truncated or err, which
// are checked once per record, so that a record's fields can be decoded without a check after each one.
type decoder struct {
	unread    []byte
	truncated bool  // the record needs more bytes than unread had
	err       error // a field has an unknown value
}

// recordUnknown records an unknown value of a field. Only the first one is kept.
func (d *decoder) recordUnknown(field string, value uint8) {
	if d.err == nil {
		d.err = fmt.Errorf("unknown %s %d", field, value)
	}
}

// take returns the next n bytes as a slice of the frame, or n zero bytes if fewer are left.
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

func (d *decoder) uint8() uint8                { return d.take(1)[0] }
func (d *decoder) uint16() uint16              { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) uint32() uint32              { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) uint64() uint64              { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) float32() float64            { return float64(math.Float32frombits(d.uint32())) }
func (d *decoder) float64() float64            { return math.Float64frombits(d.uint64()) }
func (d *decoder) request() policy.RequestID   { return policy.RequestID(d.uint32()) }
func (d *decoder) function() policy.FunctionID { return policy.FunctionID(d.uint64()) }

// duration decodes milliseconds in double precision; shortDuration decodes them in single precision.
func (d *decoder) duration() time.Duration      { return fromMillis(d.float64()) }
func (d *decoder) shortDuration() time.Duration { return fromMillis(d.float32()) }

// worker decodes a worker's address and port into one id.
func (d *decoder) worker() policy.WorkerID {
	high := policy.WorkerID(d.uint32())
	return high<<16 | policy.WorkerID(d.uint16())
}

// outcome decodes the code of an outcome.
func (d *decoder) outcome() policy.Outcome {
	code := d.uint8()
	if int(code) >= len(outcomes) {
		d.recordUnknown("outcome", code)
		return 0
	}
	return outcomes[code]
}

// loadReport decodes the values of a worker's load report.
func (d *decoder) loadReport() []float64 {
	count := int(d.uint8())
	if count*float32Bytes > len(d.unread) {
		d.truncated = true
		return nil
	}
	var report []float64
	for range count {
		report = append(report, d.float32())
	}
	return report
}

// bytes returns a copy of the next n bytes, or nil if fewer are left.
func (d *decoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(d.unread)) {
		d.truncated = true
		d.unread = nil
		return nil
	}
	return append([]byte(nil), d.take(int(n))...)
}
