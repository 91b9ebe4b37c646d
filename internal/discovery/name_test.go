package discovery

import (
	"errors"
	"testing"
)

// A name ends after its root label or its first pointer, and keeps its spelling. A pointer must lead to a lower offset.
func TestReadName(t *testing.T) {
	const suffix = "\x03Lan\x00" // at offset 0, in mixed case
	for _, test := range []struct {
		label       string
		message     string
		start       int
		name        string
		next        int // offset after a valid name
		errorOffset int // offset of the error; -1 if the name is valid
	}{
		{"labels", suffix, 0, "Lan", 5, -1},
		{"root", suffix, 4, "", 5, -1},
		{"label and pointer", suffix + "\x01a\xc0\x00", 5, "a.Lan", 9, -1},
		{"pointer to a pointer", suffix + "\xc0\x00\xc0\x05", 7, "Lan", 9, -1},
		{"pointer ahead", suffix + "\xc0\x07" + suffix, 5, "", 0, 5},
		{"pointer cut short", suffix + "\xc0", 5, "", 0, 5},
		{"label cut short", "\x03La", 0, "", 0, 0},
		{"label of an unknown type", "\x40", 0, "", 0, 0},
		{"no root", "\x03Lan", 0, "", 0, 4},
	} {
		name, next, err := readName([]byte(test.message), test.start)
		if name != test.name || next != test.next || (err != nil) != (test.errorOffset >= 0) {
			t.Errorf("%s: %q, %d, %v", test.label, name, next, err)
		}
		var parseError *ParseError
		if err != nil && (!errors.As(err, &parseError) || parseError.Offset != test.errorOffset) {
			t.Errorf("%s: error %#v, want offset %d", test.label, err, test.errorOffset)
		}
	}
}
