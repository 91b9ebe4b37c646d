package discovery

import (
	"encoding/binary"
	"strings"
)

// Domain names in messages: RFC 1035, sections 3.1 and 4.1.4.
const (
	maxNameLength = 255
	maxPointers   = 16 // in one name

	labelTypeMask     = 0xc0 // bits of a length byte; 0 for a label
	labelTypePointer  = 0xc0
	pointerOffsetMask = 0x3fff
)

// readName reads the name at an offset, compressed or not, and returns it in lower case with the offset of what follows
// it.
func readName(message []byte, start int) (name string, next int, err error) {
	var text []byte
	at := start
	for pointers := 0; ; {
		if at >= len(message) {
			return "", 0, &ParseError{Offset: at, Err: errMalformed}
		}
		length := int(message[at])
		switch {
		case length == 0:
			if pointers == 0 {
				next = at + 1
			}
			return strings.ToLower(string(text)), next, nil
		case length&labelTypeMask == labelTypePointer:
			pointers++
			target, err := readPointer(message, at)
			if err != nil || pointers > maxPointers {
				return "", 0, &ParseError{Offset: at, Err: errMalformed}
			}
			if pointers == 1 {
				next = at + 2
			}
			at = target
		default:
			if text, err = appendLabel(text, message, at); err != nil {
				return "", 0, err
			}
			at += 1 + length
		}
	}
}

// readPointer returns the offset that a compression pointer leads to. It must lead back, so that pointers can't form a
// loop.
func readPointer(message []byte, at int) (target int, err error) {
	if at+2 > len(message) {
		return 0, &ParseError{Offset: at, Err: errMalformed}
	}
	target = int(binary.BigEndian.Uint16(message[at:]) & pointerOffsetMask)
	if target >= at {
		return 0, &ParseError{Offset: at, Err: errMalformed}
	}
	return target, nil
}

// appendLabel appends the label at an offset to a name, behind a dot unless it is the first.
func appendLabel(name, message []byte, at int) ([]byte, error) {
	length := int(message[at])
	end := at + 1 + length
	if length&labelTypeMask != 0 || end > len(message) || len(name)+length+1 > maxNameLength {
		return nil, &ParseError{Offset: at, Err: errMalformed}
	}
	if len(name) > 0 {
		name = append(name, '.')
	}
	return append(name, message[at+1:end]...), nil
}
