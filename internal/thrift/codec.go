package thrift

import (
	"encoding/binary"
	"errors"
)

// The strict binary protocol's types and message kinds.
const (
	wireStop   = 0
	wireBool   = 2
	wireByte   = 3
	wireDouble = 4
	wireI16    = 6
	wireI32    = 8
	wireI64    = 10
	wireString = 11
	wireStruct = 12
	wireMap    = 13
	wireSet    = 14
	wireList   = 15

	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4

	strictVersion = 0x80010000
)

const (
	maxBody            = 16 << 10
	maxFrame           = maxBody + 4<<10 // a body and its fields
	maxMapEntries      = 64              // in the map of a request
	maxNesting         = 8
	maxSkippedElements = 1024 // elements of what is skipped
)

// errMalformedMessage says that a client broke the protocol.
var errMalformedMessage = errors.New("malformed message")

// decoder takes values off the front of b, in place. The first shortage sticks in bad.
type decoder struct {
	remaining []byte
	malformed bool
}

func (r *decoder) take(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.malformed = true
		r.remaining = nil
		return nil
	}
	out := r.remaining[:n:n]
	r.remaining = r.remaining[n:]
	return out
}

func (r *decoder) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *decoder) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *decoder) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// bytes takes a string; one longer than what is left is bad before anything is allocated.
func (r *decoder) bytes() []byte { return r.take(int(int32(r.u32()))) }

// skip passes over a value of any type.
func (r *decoder) skip(typ byte, depth int) {
	if depth > maxNesting {
		r.malformed = true
	}
	if r.malformed {
		return
	}
	switch typ {
	case wireBool, wireByte:
		r.take(1)
	case wireI16:
		r.take(2)
	case wireI32:
		r.take(4)
	case wireI64, wireDouble:
		r.take(8)
	case wireString:
		r.bytes()
	case wireStruct:
		for !r.malformed {
			t := r.u8()
			if t == wireStop {
				return
			}
			r.u16()
			r.skip(t, depth+1)
		}
	case wireMap:
		k, v := r.u8(), r.u8()
		for range r.elementCount() {
			r.skip(k, depth+1)
			r.skip(v, depth+1)
		}
	case wireSet, wireList:
		t := r.u8()
		for range r.elementCount() {
			r.skip(t, depth+1)
		}
	default:
		r.malformed = true
	}
}

func (r *decoder) elementCount() int {
	n := r.u32()
	if n > maxSkippedElements {
		r.malformed = true
		return 0
	}
	return int(n)
}

// messageHeader is the head of a messageHeader; its arguments are left in the reader.
type messageHeader struct {
	kind     byte
	name     string
	sequence uint32
}

func (r *decoder) messageHeader() (messageHeader, error) {
	v := r.u32()
	m := messageHeader{kind: byte(v)}
	name := r.bytes()
	m.sequence = r.u32()
	if r.malformed || v&0xffffff00 != strictVersion || len(name) > 64 {
		return m, errMalformedMessage
	}
	m.name = string(name)
	return m, nil
}

// structFields calls f for each field of the struct that comes next; f takes the value off, or returns
// false to have it skipped.
func (r *decoder) structFields(f func(typ byte, id uint16) bool) error {
	for !r.malformed {
		typ := r.u8()
		if typ == wireStop && !r.malformed {
			return nil
		}
		if id := r.u16(); !f(typ, id) {
			r.skip(typ, 1)
		}
	}
	return errMalformedMessage
}

// stringMap takes a map of stringMap. The values point into the message.
func (r *decoder) stringMap() map[string][]byte {
	k, v, n := r.u8(), r.u8(), r.u32()
	if n > maxMapEntries || n > 0 && (k != wireString || v != wireString) {
		r.malformed = true
		return nil
	}
	out := make(map[string][]byte, n)
	for range n {
		key := r.bytes()
		if out[string(key)] = r.bytes(); r.malformed {
			return nil
		}
	}
	return out
}

// appendMessageHeader begins a frame: room for its length, and the message's head.
func appendMessageHeader(b []byte, kind byte, name string, seq uint32) []byte {
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, strictVersion|uint32(kind))
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, seq)
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendField(b []byte, typ byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, typ), id)
}

// appendStringMap appends a map of strings, given as names and values in turn.
func appendStringMap(b []byte, pairs ...string) []byte {
	b = binary.BigEndian.AppendUint32(append(b, wireString, wireString), uint32(len(pairs)/2))
	for _, s := range pairs {
		b = appendString(b, s)
	}
	return b
}

// finishFrame writes the frame's length: what b holds and more bytes that follow it.
func finishFrame(b []byte, more int) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-4+more))
	return b
}
