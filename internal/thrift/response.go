package thrift

import (
	"encoding/binary"
	"strconv"
	"time"

	"crankhold/internal/router"
)

// frameCapacity is room for the usual frame without its body, in bytes.
const initialFrameCapacity = 64

// encodeResponse returns the reply to an execute in parts that are written one after the other, so that the body is not
// copied.
func encodeResponse(sequence uint32, response router.Response) [][]byte {
	switch response.Status {
	case router.Served:
		head, tail := encodeAnswer(methodExecute, sequence, answer{bodyLength: len(response.Body), ok: true})
		return [][]byte{head, response.Body, tail}
	case router.Rejected:
		return [][]byte{encodeBackoff(sequence, response.RetryAfter)}
	}
	return [][]byte{encodeLost(sequence)}
}

// answer is the value of execute and check, without the body itself.
type answer struct {
	bodyLength int
	ok         bool
}

// encodeAnswer returns the reply of a method as what precedes the answer's body and what follows it.
func encodeAnswer(method string, sequence uint32, value answer) (head, tail []byte) {
	head = appendMessageHeader(make([]byte, 0, initialFrameCapacity), messageReply, method, sequence)
	head = appendField(head, wireStruct, resultSuccess)
	head = appendField(head, wireString, answerBody)
	head = binary.BigEndian.AppendUint32(head, uint32(value.bodyLength))

	tail = appendStringMap(appendField(nil, wireMap, answerNotes))
	tail = appendField(tail, wireBool, answerOK)
	tail = appendBool(tail, value.ok)
	tail = append(tail, wireStop, wireStop) // of the answer and of the result
	return writeFrameLength(head, value.bodyLength+len(tail)), tail
}

// encodeBackoff returns the reply for a rejected request. Retry-After is rounded up to whole milliseconds.
func encodeBackoff(sequence uint32, retryAfter time.Duration) []byte {
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return encodeDeclaredException(sequence, resultBackoff, detailRetryAfter, strconv.FormatInt(int64(ms), 10))
}

// encodeLost returns the reply for a failed request. Details are keys and values in turn.
func encodeLost(sequence uint32, details ...string) []byte {
	return encodeDeclaredException(sequence, resultLost, details...)
}

// encodeDeclaredException returns a reply of execute with one of the exceptions that it declares.
func encodeDeclaredException(sequence uint32, resultField uint16, details ...string) []byte {
	frame := appendMessageHeader(make([]byte, 0, initialFrameCapacity), messageReply, methodExecute, sequence)
	frame = appendField(frame, wireStruct, resultField)
	frame = appendField(frame, wireMap, exceptionDetails)
	frame = appendStringMap(frame, details...)
	frame = append(frame, wireStop, wireStop) // of the exception and of the result
	return writeFrameLength(frame, 0)
}

// encodeUnknownMethod returns the application exception for a method that is not known.
func encodeUnknownMethod(name string, sequence uint32) []byte {
	frame := appendMessageHeader(nil, messageException, name, sequence)
	frame = appendField(frame, wireString, applicationExceptionMessage)
	frame = appendString(frame, "unknown method")
	frame = appendField(frame, wireI32, applicationExceptionType)
	frame = binary.BigEndian.AppendUint32(frame, unknownMethodType)
	frame = append(frame, wireStop)
	return writeFrameLength(frame, 0)
}
