package fake

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Limits of the responses that a client reads.
const (
	maxFrameSize = 1 << 20
	maxMapLength = 64
)

// errMalformedResponse is returned for a response that can't be decoded.
var errMalformedResponse = errors.New("malformed response")

// readResponse reads a framed response.
func readResponse(in io.Reader) (seq uint32, response Response, err error) {
	var header [4]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, Response{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return 0, Response{}, fmt.Errorf("response of %d bytes is too large", size)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return 0, Response{}, err
	}
	return parseResponse(frame)
}

// parseResponse decodes a reply or an exception. An exception counts as a failed request.
func parseResponse(frame []byte) (seq uint32, response Response, err error) {
	d := &decoder{unread: frame}
	messageType := d.uint32() & 0xff
	d.readString() // the method name is not needed
	seq = d.uint32()
	if messageType == messageException {
		return seq, Response{Status: Failed}, d.err
	}
	fieldType := d.byte()
	field := d.uint16()
	if d.err != nil || fieldType != typeStruct {
		return seq, Response{}, errMalformedResponse
	}
	response.Status = statusOf(field)
	for d.err == nil {
		fieldType := d.byte()
		if fieldType == typeStop {
			break
		}
		d.uint16() // the field's id is not needed, because each field has a different type
		response.decodeField(d, fieldType)
	}
	return seq, response, d.err
}

// statusOf returns the status that the field id of a reply's union represents.
func statusOf(field uint16) ResponseStatus {
	switch field {
	case 0:
		return Served
	case 1:
		return Rejected
	case 2:
		return Failed
	default:
		return ""
	}
}

func (r *Response) decodeField(d *decoder, fieldType byte) {
	switch fieldType {
	case typeBool:
		r.Healthy = d.byte() == 1
	case typeString:
		r.Body = []byte(d.readString())
	case typeMap:
		d.uint16() // the types of keys and values
		for range min(d.uint32(), maxMapLength) {
			name := d.readString()
			value := d.readString()
			if milliseconds, err := strconv.Atoi(value); name == "after" && err == nil {
				r.RetryAfter = time.Duration(milliseconds) * time.Millisecond
			}
		}
	default:
		d.err = errMalformedResponse
	}
}

// decoder decodes values of Thrift's binary protocol. After an error it returns zero values.
type decoder struct {
	unread []byte
	err    error
}

// take returns the next n bytes, or nil after an error.
func (d *decoder) take(n int) []byte {
	if d.err == nil && n > len(d.unread) {
		d.err = errMalformedResponse
	}
	if d.err != nil {
		return nil
	}
	taken := d.unread[:n]
	d.unread = d.unread[n:]
	return taken
}

func (d *decoder) byte() byte {
	b := d.take(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (d *decoder) uint16() uint16 {
	b := d.take(2)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint16(b)
}

func (d *decoder) uint32() uint32 {
	b := d.take(4)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

func (d *decoder) readString() string {
	size := d.uint32()
	return string(d.take(int(size)))
}
