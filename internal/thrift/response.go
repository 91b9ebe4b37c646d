package thrift

import (
	"encoding/binary"
	"strconv"
	"time"

	"crankhold/internal/router"
)

// initialFrameCapacity is the capacity of new frame buffers in bytes. It suffices for a typical frame without its body.
const initialFrameCapacity = 64

// encodeResponse returns the reply to an execute in consecutive parts, so that the body is not copied.
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

// answer is the struct Answer that execute and check return, with the length of the body in place of the body.
type answer struct {
	bodyLength int
	ok         bool
}

// encodeAnswer returns the reply of a method in two parts: the bytes before the body and the bytes after it.
func encodeAnswer(method string, sequence uint32, value answer) (head, tail []byte) {
	head = appendMessageHeader(make([]byte, 0, initialFrameCapacity), messageReply, method, sequence)
	head = appendField(head, wireStruct, resultSuccess)
	head = appendField(head, wireString, answerBody)
	head = binary.BigEndian.AppendUint32(head, uint32(value.bodyLength))

	tail = appendStringMap(appendField(nil, wireMap, answerNotes))
	tail = appendField(tail, wireBool, answerOK)
	tail = appendBool(tail, value.ok)
	tail = append(tail, wireStop, wireStop) // ends the Answer and the result
	return writeFrameLength(head, value.bodyLength+len(tail)), tail
}

// encodeBackoff returns the reply to a rejected request. retryAfter is rounded up to whole milliseconds.
func encodeBackoff(sequence uint32, retryAfter time.Duration) []byte {
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return encodeDeclaredException(sequence, resultBackoff, detailRetryAfter, strconv.FormatInt(int64(ms), 10))
}

// encodeLost returns the reply to a failed request. details holds keys and values in turn.
func encodeLost(sequence uint32, details ...string) []byte {
	return encodeDeclaredException(sequence, resultLost, details...)
}

// encodeDeclaredException returns a reply of execute with one of the exceptions that execute declares.
func encodeDeclaredException(sequence uint32, resultField uint16, details ...string) []byte {
	frame := appendMessageHeader(make([]byte, 0, initialFrameCapacity), messageReply, methodExecute, sequence)
	frame = appendField(frame, wireStruct, resultField)
	frame = appendField(frame, wireMap, exceptionDetails)
	frame = appendStringMap(frame, details...)
	frame = append(frame, wireStop, wireStop) // ends the exception and the result
	return writeFrameLength(frame, 0)
}

// encodeUnknownMethod returns the application exception for an unknown method.
func encodeUnknownMethod(name string, sequence uint32) []byte {
	frame := appendMessageHeader(nil, messageException, name, sequence)
	frame = appendField(frame, wireString, applicationExceptionMessage)
	frame = appendString(frame, "unknown method")
	frame = appendField(frame, wireI32, applicationExceptionType)
	frame = binary.BigEndian.AppendUint32(frame, unknownMethodType)
	frame = append(frame, wireStop)
	return writeFrameLength(frame, 0)
}
