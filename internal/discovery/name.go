package discovery

import "encoding/binary"

// Domain names in messages: RFC 1035, sections 3.1 and 4.1.4.
const (
	maxNameLength = 255
	maxPointers   = 16 // limit of pointers in one name
	pointerSize   = 2  // bytes

	labelTypeMask     = 0xc0 // the bits of a length byte that hold the type; 0 for a label
	labelTypePointer  = 0xc0
	pointerOffsetMask = 0x3fff
)

// readName reads the name at offset start, compressed or not. It returns the name as it is spelled and the offset of
// the first byte after it. Its error is a ParseError.
func readName(message []byte, start int) (name string, next int, err error) {
	r := nameReader{message: message, offset: start}
	if err := r.read(); err != nil {
		return "", 0, err
	}
	return string(r.name), r.next, nil
}

// nameReader reads one name. readLabel and followPointer are called when offset is at the first byte of a label or a
// pointer, and less than the length of the message.
type nameReader struct {
	message  []byte
	offset   int    // of the next label or pointer
	name     []byte // the labels that were read, separated by dots
	pointers int    // how many pointers were followed
	next     int    // offset of the first byte after the name; 0 until the first pointer or the root was read
}

// read reads labels and follows pointers until the root, a label of length 0.
func (r *nameReader) read() error {
	for {
		if r.offset >= len(r.message) {
			return r.malformed()
		}
		var err error
		length := r.message[r.offset]
		switch {
		case length == 0:
			r.setNext(r.offset + 1)
			return nil
		case length&labelTypeMask == labelTypePointer:
			err = r.followPointer()
		default:
			err = r.readLabel()
		}
		if err != nil {
			return err
		}
	}
}

// setNext sets the offset of the first byte after the name. Only the first call has an effect: a name that contains a
// pointer ends after its first pointer, wherever the labels that the pointer leads to end.
func (r *nameReader) setNext(offset int) {
	if r.next == 0 {
		r.next = offset
	}
}

// readLabel appends a label to the name, with a dot before it unless it is the first.
func (r *nameReader) readLabel() error {
	length := int(r.message[r.offset])
	end := r.offset + 1 + length
	if length&labelTypeMask != 0 || end > len(r.message) || len(r.name)+length+1 > maxNameLength {
		return r.malformed()
	}
	if len(r.name) > 0 {
		r.name = append(r.name, '.')
	}
	r.name = append(r.name, r.message[r.offset+1:end]...)
	r.offset = end
	return nil
}

// followPointer continues at the offset that a compression pointer contains. The offset must be lower than that of the
// pointer, so that pointers can't form a loop.
func (r *nameReader) followPointer() error {
	end := r.offset + pointerSize
	if end > len(r.message) {
		return r.malformed()
	}
	target := int(binary.BigEndian.Uint16(r.message[r.offset:]) & pointerOffsetMask)
	r.pointers++
	if target >= r.offset || r.pointers > maxPointers {
		return r.malformed()
	}
	r.setNext(end)
	r.offset = target
	return nil
}

// malformed returns the error for malformed data at the current offset.
func (r *nameReader) malformed() error { return &ParseError{Offset: r.offset, Err: errMalformed} }
