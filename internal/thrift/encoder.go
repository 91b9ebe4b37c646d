package thrift

import "encoding/binary"

// appendMessageHeader appends the start of a frame: its length, which writeFrameLength sets later, and the header of
// the message.
func appendMessageHeader(b []byte, kind messageKind, name string, sequence uint32) []byte {
	b = append(b, make([]byte, frameLengthBytes)...)
	b = binary.BigEndian.AppendUint32(b, strictVersion|uint32(kind))
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, sequence)
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// appendField appends the header of a field. The caller appends the value.
func appendField(b []byte, wireType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, wireType), id)
}

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

// appendStringMap appends a map of strings. pairs holds keys and values in turn.
func appendStringMap(b []byte, pairs ...string) []byte {
	b = append(b, wireString, wireString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(pairs)/2))
	for _, s := range pairs {
		b = appendString(b, s)
	}
	return b
}

// writeFrameLength writes the length of a frame that starts with b. following is the number of its bytes after b.
func writeFrameLength(b []byte, following int) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameLengthBytes+following))
	return b
}
