package fake

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Message types of Thrift's binary protocol.
const (
	messageCall      = 1
	messageException = 3
	messageOneway    = 4
)

// thriftVersion is the first half of a message's header in the strict binary protocol.
const thriftVersion = 0x8001

// Field types of Thrift's binary protocol.
const (
	typeStop   = 0
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13
)

// Limits of the responses that a client reads.
const (
	maxFrameSize = 1 << 20
	maxMapLength = 64
)

// errMalformedAnswer is returned for a response that can't be read.
var errMalformedResponse = errors.New("a response that cannot be read")

func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

func appendFieldHeader(b []byte, fieldType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, fieldType), id)
}

// encodeMessage returns a framed message.
func encodeMessage(messageType byte, method string, seq uint32, arguments []byte) []byte {
	message := binary.BigEndian.AppendUint32(nil, thriftVersion<<16|uint32(messageType))
	message = appendText(message, method)
	message = binary.BigEndian.AppendUint32(message, seq)
	message = append(message, arguments...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	return append(frame, message...)
}

func noArguments() []byte { return []byte{typeStop} }

// executeArguments encodes a request: its fields as a map, and its body.
func executeArguments(request *Request) []byte {
	fields := request.fields()
	b := appendFieldHeader(nil, typeMap, 1)
	b = append(b, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, text := range fields {
		b = appendText(b, text)
	}
	b = appendFieldHeader(b, typeString, 2)
	b = appendText(b, string(request.Body))
	return append(b, typeStop)
}

func interruptArguments(seq uint32) []byte {
	b := appendFieldHeader(nil, typeI32, 1)
	b = binary.BigEndian.AppendUint32(b, seq)
	return append(b, typeStop)
}

// readResponse reads a framed response.
func readResponse(in io.Reader) (seq uint32, response Response, err error) {
	var header [4]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, Response{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return 0, Response{}, fmt.Errorf("a response of %d bytes", size)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return 0, Response{}, err
	}
	return parseResponse(frame)
}

// parseResponse decodes a reply or an exception. An exception counts as a failed request.
func parseResponse(frame []byte) (seq uint32, response Response, err error) {
	d := &decoder{rest: frame}
	messageType := d.uint32() & 0xff
	d.text() // the method
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
		d.uint16() // the field's id: types tell the fields apart
		response.decodeField(d, fieldType)
	}
	return seq, response, d.err
}

// statusOf returns what the field of a reply's union stands for.
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
		r.Body = []byte(d.text())
	case typeMap:
		d.uint16() // the types of keys and values
		for range min(d.uint32(), maxMapLength) {
			name := d.text()
			value := d.text()
			if milliseconds, err := strconv.Atoi(value); name == "after" && err == nil {
				r.RetryAfter = time.Duration(milliseconds) * time.Millisecond
			}
		}
	default:
		d.err = errMalformedResponse
	}
}

// decoder reads values of Thrift's binary protocol. After an error it reads zero values.
type decoder struct {
	rest []byte
	err  error
}

// take returns the next n bytes, or nil after an error.
func (d *decoder) take(n int) []byte {
	if d.err == nil && n > len(d.rest) {
		d.err = errMalformedResponse
	}
	if d.err != nil {
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
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

func (d *decoder) text() string {
	size := d.uint32()
	return string(d.take(int(size)))
}
