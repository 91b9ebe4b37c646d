package thrift

import (
	"encoding/binary"
	"math"
)

// decoder decodes values from the front of a message without copying them. The first value that is incomplete or
// invalid sets malformed. All values that are decoded after it are zero.
type decoder struct {
	remaining []byte
	malformed bool
}

// take consumes n bytes and returns them as a slice of the message.
func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.remaining) {
		d.malformed = true
		d.remaining = nil
		return nil
	}
	taken := d.remaining[:n:n]
	d.remaining = d.remaining[n:]
	return taken
}

func (d *decoder) uint8() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// bytes decodes a string, which is a slice of the message. A string that is longer than the rest of the message is
// malformed; nothing is allocated for it.
func (d *decoder) bytes() []byte { return d.take(int(int32(d.uint32()))) }

// fixedSizes holds the sizes in bytes of the types whose values all have the same size, and 0 for all other types.
var fixedSizes = [math.MaxUint8 + 1]int{
	wireBool:   1,
	wireByte:   1,
	wireI16:    2,
	wireI32:    4,
	wireI64:    8,
	wireDouble: 8,
}

// skip consumes a value of any type. depth is the number of values that contain it. It is limited, because a message
// with unlimited nesting could exhaust the stack.
func (d *decoder) skip(wireType byte, depth int) {
	if depth > maxNesting {
		d.malformed = true
	}
	if d.malformed {
		return
	}
	if size := fixedSizes[wireType]; size > 0 {
		d.take(size)
		return
	}
	switch wireType {
	case wireString:
		d.bytes()
	case wireStruct:
		d.skipStruct(depth)
	case wireMap:
		d.skipMap(depth)
	case wireSet, wireList:
		d.skipList(depth)
	default:
		d.malformed = true
	}
}

// skipStruct consumes a struct: fields up to a stop field.
func (d *decoder) skipStruct(depth int) {
	for !d.malformed {
		fieldType := d.uint8()
		if fieldType == wireStop {
			return
		}
		d.uint16()
		d.skip(fieldType, depth+1)
	}
}

// skipMap consumes a map: the types of its keys and values, the number of pairs, and the pairs.
func (d *decoder) skipMap(depth int) {
	keyType := d.uint8()
	valueType := d.uint8()
	for range d.elementCount() {
		d.skip(keyType, depth+1)
		d.skip(valueType, depth+1)
	}
}

// skipList consumes a set or a list: the type of its elements, their number, and the elements.
func (d *decoder) skipList(depth int) {
	elementType := d.uint8()
	for range d.elementCount() {
		d.skip(elementType, depth+1)
	}
}

// elementCount decodes the number of elements of a container that is skipped.
func (d *decoder) elementCount() int {
	n := d.uint32()
	if n > maxSkippedElements {
		d.malformed = true
		return 0
	}
	return int(n)
}

// messageHeader is the header of a message, which precedes the arguments.
type messageHeader struct {
	kind     messageKind
	name     string // of the method
	sequence uint32
}

// messageHeader decodes the header of a message. The arguments remain.
func (d *decoder) messageHeader() (messageHeader, error) {
	versionAndKind := d.uint32()
	name := d.bytes()
	sequence := d.uint32()
	if d.malformed || versionAndKind&versionMask != strictVersion || len(name) > maxMethodNameBytes {
		return messageHeader{}, errMalformedMessage
	}
	return messageHeader{kind: messageKind(versionAndKind), name: string(name), sequence: sequence}, nil
}

// arguments decodes the struct of a method's arguments, which is the rest of the message. It calls visit for each
// field. visit consumes the value and returns true, or returns false to have the value skipped. Bytes behind the struct
// are malformed: a length that is too small may have ended the struct early, and the fields behind it would be lost.
func (d *decoder) arguments(visit func(wireType byte, id uint16) bool) error {
	for !d.malformed {
		wireType := d.uint8()
		if wireType == wireStop && !d.malformed {
			return d.end()
		}
		if id := d.uint16(); !visit(wireType, id) {
			d.skip(wireType, 1)
		}
	}
	return errMalformedMessage
}

// end returns an error unless the whole message has been decoded.
func (d *decoder) end() error {
	if len(d.remaining) > 0 {
		return errMalformedMessage
	}
	return nil
}

// stringMap decodes a map of strings. The values are slices of the message.
func (d *decoder) stringMap() map[string][]byte {
	keyType := d.uint8()
	valueType := d.uint8()
	size := d.uint32()
	if size > maxMapEntries || size > 0 && (keyType != wireString || valueType != wireString) {
		d.malformed = true
		return nil
	}
	entries := make(map[string][]byte, size)
	for range size {
		key := string(d.bytes())
		entries[key] = d.bytes()
		if d.malformed {
			return nil
		}
	}
	return entries
}
