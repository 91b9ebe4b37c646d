package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"crankhold/policy"
)

// float32Bytes is the length of a floating-point number of single precision.
const float32Bytes = 4

var errRecordTruncated = errors.New("record is cut short")

// decoder takes fields off the front of unread. A field that is missing or malformed is recorded in truncated and err,
// once for a record, so that a record's fields can be read one after the other without a check of each.
type decoder struct {
	unread    []byte
	truncated bool  // the record goes on beyond unread
	err       error // a field has a value that is not known
}

// invalid records a value that is not known; only the first one is kept.
func (d *decoder) invalid(field string, value uint8) {
	if d.err == nil {
		d.err = fmt.Errorf("unknown %s %d", field, value)
	}
}

// take returns the next n bytes, which are a slice of the frame, or zeros if there are fewer.
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

// duration decodes milliseconds in double precision, shortDuration in single precision.
func (d *decoder) duration() time.Duration      { return fromMillis(d.float64()) }
func (d *decoder) shortDuration() time.Duration { return fromMillis(d.float32()) }

// worker decodes a worker's address and port as one id.
func (d *decoder) worker() policy.WorkerID {
	high := policy.WorkerID(d.uint32())
	return high<<16 | policy.WorkerID(d.uint16())
}

// outcome decodes the code of an outcome.
func (d *decoder) outcome() policy.Outcome {
	code := d.uint8()
	if int(code) >= len(outcomes) {
		d.invalid("outcome", code)
		return 0
	}
	return outcomes[code]
}

// loadReport decodes a worker's figures of its own load.
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

// bytes returns a copy of the next n bytes, or nil if there are fewer.
func (d *decoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(d.unread)) {
		d.truncated = true
		d.unread = nil
		return nil
	}
	return append([]byte(nil), d.take(int(n))...)
}
