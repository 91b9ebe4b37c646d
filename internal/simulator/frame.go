package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Offsets of the fields in the header of a batch, and the size of the header.
const (
	sequenceOffset = 0
	sizeOffset     = 4
	recordsOffset  = 8
	clockOffset    = 12
	headerBytes    = 20
)

// maxBodyBytes is the largest accepted size of a batch, without its header.
const maxBodyBytes = 1 << 30

// Init starts an instance.
type Init struct {
	Seed     uint64
	Settings []byte // JSON for ParseSettings
}

// Kill ends an instance, which receives no further events.
type Kill struct{}

// Record is one decoded record: Event holds a policy.Event, an Init or a Kill.
type Record struct {
	Instance uint16
	Event    any
}

// Batch is one decoded batch.
type Batch struct {
	Sequence uint32
	Now      time.Duration
	Records  []Record
}

// header is the decoded header of a batch.
type header struct {
	sequence uint32
	size     uint32  // size of the records in bytes
	records  uint32  // number of records
	clock    float64 // time of the batch in milliseconds
}

// frameError returns an error about the given offset in the frame that concerns no single record.
func (h header) frameError(offset int, reason string) *FrameError {
	return &FrameError{Batch: int64(h.sequence), Record: NoRecord, Offset: offset, Reason: reason}
}

// validate checks the header's clock and size.
func (h header) validate() error {
	if math.IsNaN(h.clock) || h.clock < 0 || h.clock > maxMillis {
		return h.frameError(clockOffset, "invalid clock")
	}
	if h.size > maxBodyBytes {
		return h.frameError(sizeOffset, fmt.Sprintf("length %d is too large", h.size))
	}
	return nil
}

// ReadBatch reads one batch and blocks until it is complete. It returns io.EOF if the input ends before a batch starts,
// and a *FrameError for a malformed frame.
func ReadBatch(r io.Reader) (Batch, error) {
	head, err := readHeader(r)
	if err != nil {
		return Batch{}, err
	}
	if err := head.validate(); err != nil {
		return Batch{}, err
	}
	body, err := readBody(r, head)
	if err != nil {
		return Batch{}, err
	}
	return decodeBatch(head, body)
}

// readHeader reads the header of a batch. It returns io.EOF if the input ends before the header starts.
func readHeader(r io.Reader) (header, error) {
	var encoded [headerBytes]byte
	n, err := io.ReadFull(r, encoded[:])
	if errors.Is(err, io.EOF) {
		return header{}, io.EOF
	}
	if err != nil {
		return header{}, &FrameError{
			Batch:  NoBatch,
			Record: NoRecord,
			Offset: n,
			Reason: "truncated batch header",
			Err:    err,
		}
	}
	return header{
		sequence: binary.BigEndian.Uint32(encoded[sequenceOffset:]),
		size:     binary.BigEndian.Uint32(encoded[sizeOffset:]),
		records:  binary.BigEndian.Uint32(encoded[recordsOffset:]),
		clock:    math.Float64frombits(binary.BigEndian.Uint64(encoded[clockOffset:])),
	}, nil
}

// readBody reads the records that follow a header. Its allocations are bounded by the size of the input, whatever size
// the header declares.
func readBody(r io.Reader, head header) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(head.size)))
	if err != nil {
		failure := head.frameError(headerBytes+len(body), "")
		failure.Err = err
		return nil, failure
	}
	if len(body) < int(head.size) {
		reason := fmt.Sprintf("truncated at byte %d of %d", len(body), head.size)
		return nil, head.frameError(headerBytes+len(body), reason)
	}
	return body, nil
}

// decodeBatch decodes the records of a batch.
func decodeBatch(head header, body []byte) (Batch, error) {
	batch := Batch{Sequence: head.sequence, Now: fromMillis(head.clock)}
	d := newRecordDecoder(body)
	for i := range int(head.records) {
		record, err := d.record()
		if err != nil {
			failure := head.frameError(headerBytes+len(body)-len(d.unread), err.Error())
			failure.Record = i
			return Batch{}, failure
		}
		batch.Records = append(batch.Records, record)
	}
	if left := len(d.unread); left > 0 {
		return Batch{}, head.frameError(headerBytes+len(body)-left, fmt.Sprintf("%d trailing bytes", left))
	}
	return batch, nil
}
