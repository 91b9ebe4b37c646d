package thrift

import "testing"

// A value of each type is skipped completely. A truncated value and a value of an unknown type are malformed.
func TestSkip(t *testing.T) {
	for _, test := range []struct {
		name     string
		wireType byte
		value    string
	}{
		{"bool", wireBool, "\x01"},
		{"byte", wireByte, "\x01"},
		{"i16", wireI16, "\x00\x01"},
		{"i32", wireI32, "\x00\x00\x00\x01"},
		{"i64", wireI64, "\x00\x00\x00\x00\x00\x00\x00\x01"},
		{"double", wireDouble, "\x00\x00\x00\x00\x00\x00\x00\x01"},
		{"string", wireString, "\x00\x00\x00\x02ab"},
		{"struct", wireStruct, "\x02\x00\x01\x01\x00"},
		{"map", wireMap, "\x03\x02\x00\x00\x00\x02\x01\x00\x02\x01"},
		{"set", wireSet, "\x03\x00\x00\x00\x02ab"},
		{"list", wireList, "\x06\x00\x00\x00\x01\x00\x01"},
	} {
		for length := range len(test.value) + 1 {
			d := decoder{remaining: []byte(test.value[:length])}
			d.skip(test.wireType, 0)
			if whole := length == len(test.value); d.malformed == whole || len(d.remaining) > 0 {
				t.Errorf("%s of %d bytes: malformed %v, %d bytes left", test.name, length, d.malformed, len(d.remaining))
			}
		}
	}
	for _, wireType := range []byte{wireStop, 1, 5, 7, 9, 16, 255} {
		d := decoder{remaining: make([]byte, 16)}
		if d.skip(wireType, 0); !d.malformed {
			t.Errorf("a value of type %d was skipped", wireType)
		}
	}
}
