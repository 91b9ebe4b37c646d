package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	headerBytes = 20
	maxFrame    = 1 << 30 // bytes of a batch after its header
	maxClock    = 1e12    // milliseconds
)

// Init says that an instance starts with these settings and this seed.
type Init struct {
	Seed     uint64
	Settings []byte
}

// Kill says that an instance is killed.
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

// header is the beginning of a batch.
type header struct {
	batch   uint32
	size    uint32 // bytes that follow
	records uint32
	clock   float64 // milliseconds
}

// ReadBatch reads one batch. At a clean end of input it returns io.EOF, and a *FrameError for a malformed frame.
func ReadBatch(r io.Reader) (Batch, error) {
	head, err := readHeader(r)
	if err != nil {
		return Batch{}, err
	}
	malformed := func(offset int, reason string, cause error) error {
		return &FrameError{Batch: int64(head.batch), Record: NoRecord, Offset: offset, Reason: reason, Err: cause}
	}
	if math.IsNaN(head.clock) || head.clock < 0 || head.clock > maxClock {
		return Batch{}, malformed(12, "bad clock", nil)
	}
	if head.size > maxFrame {
		return Batch{}, malformed(4, fmt.Sprintf("length %d is too large", head.size), nil)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(head.size)))
	if err != nil {
		return Batch{}, malformed(headerBytes+len(body), "", err)
	}
	if len(body) < int(head.size) {
		reason := fmt.Sprintf("truncated at byte %d of %d", len(body), head.size)
		return Batch{}, malformed(headerBytes+len(body), reason, nil)
	}
	return decodeBatch(head, body)
}

// readHeader reads the header of a batch. It returns io.EOF where the input ends before one.
func readHeader(r io.Reader) (header, error) {
	var text [headerBytes]byte
	n, err := io.ReadFull(r, text[:])
	if errors.Is(err, io.EOF) {
		return header{}, io.EOF
	}
	if err != nil {
		return header{}, &FrameError{Batch: NoBatch, Record: NoRecord, Offset: n, Reason: "truncated batch header", Err: err}
	}
	return header{
		batch:   binary.BigEndian.Uint32(text[0:]),
		size:    binary.BigEndian.Uint32(text[4:]),
		records: binary.BigEndian.Uint32(text[8:]),
		clock:   math.Float64frombits(binary.BigEndian.Uint64(text[12:])),
	}, nil
}

// decodeBatch decodes the records of a batch.
func decodeBatch(head header, body []byte) (Batch, error) {
	batch := Batch{Sequence: head.batch, Now: millis(head.clock)}
	d := decoder{unread: body}
	for i := range int(head.records) {
		record, err := d.record()
		if err != nil {
			return Batch{}, &FrameError{Batch: int64(head.batch), Record: i,
				Offset: headerBytes + len(body) - len(d.unread), Reason: err.Error()}
		}
		batch.Records = append(batch.Records, record)
	}
	if len(d.unread) > 0 {
		return Batch{}, &FrameError{Batch: int64(head.batch), Record: NoRecord,
			Offset: headerBytes + len(body) - len(d.unread), Reason: fmt.Sprintf("%d bytes left over", len(d.unread))}
	}
	return batch, nil
}
