package thrift

import "encoding/binary"

// appendMessageHeader begins a frame: room for its length, and the message's header.
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

// appendField appends a field's header; its value follows.
func appendField(b []byte, wireType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, wireType), id)
}

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

// appendStringMap appends a map of strings, given as keys and values in turn.
func appendStringMap(b []byte, pairs ...string) []byte {
	b = append(b, wireString, wireString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(pairs)/2))
	for _, s := range pairs {
		b = appendString(b, s)
	}
	return b
}

// writeFrameLength writes the length of the frame that b begins, of which more bytes follow b.
func writeFrameLength(b []byte, following int) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameLengthBytes+following))
	return b
}
