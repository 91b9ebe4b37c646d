package fake

import "encoding/binary"

// Message types of Thrift's binary protocol.
const (
	messageCall      = 1
	messageException = 3
	messageOneway    = 4
)

// thriftVersion is the upper half of the first 32 bits of a message in the strict binary protocol.
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

// appendString appends a string with its length.
func appendString(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

// appendFieldHeader appends the type and the id of a field of a struct.
func appendFieldHeader(b []byte, fieldType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, fieldType), id)
}

// encodeMessage encodes a message with its frame.
func encodeMessage(messageType byte, method string, seq uint32, arguments []byte) []byte {
	message := binary.BigEndian.AppendUint32(nil, thriftVersion<<16|uint32(messageType))
	message = appendString(message, method)
	message = binary.BigEndian.AppendUint32(message, seq)
	message = append(message, arguments...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	return append(frame, message...)
}

// noArguments encodes a struct without fields.
func noArguments() []byte { return []byte{typeStop} }

// executeArguments encodes a request: a map of its fields, and its body.
func executeArguments(request *Request) []byte {
	fields := request.fields()
	b := appendFieldHeader(nil, typeMap, 1)
	b = append(b, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, field := range fields {
		b = appendString(b, field.Name)
		b = appendString(b, field.Value)
	}
	b = appendFieldHeader(b, typeString, 2)
	b = appendString(b, string(request.Body))
	return append(b, typeStop)
}

// interruptArguments encodes the sequence number of the request to cancel.
func interruptArguments(seq uint32) []byte {
	b := appendFieldHeader(nil, typeI32, 1)
	b = binary.BigEndian.AppendUint32(b, seq)
	return append(b, typeStop)
}
