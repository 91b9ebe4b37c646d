package thrift

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// Guards against an execute that is forwarded with an empty or shortened body, because a length in it is too small and
// what then stands behind the last field was ignored: the bytes 00 00 of the next length end the arguments.
func TestExecuteWithAWrongLengthIsNotForwardedChanged(t *testing.T) {
	for _, body := range []string{"", "body", "\x00\x00\x00\x00", "bo\x00dy"} {
		frame := executeFrame(1, body, validFields...)
		for _, offset := range lengthOffsets(frame) {
			for delta := -6; delta <= 6; delta++ {
				client, core, _ := newTestConnection()
				client.Data(withLength(frame, offset, delta))
				for _, request := range core.accepted {
					if delta != 0 || string(request.Body) != body || request.Function.Lanes != 2 {
						t.Errorf("length at %d off by %d, body %q: forwarded %+v with body %q", offset, delta, body, request.Function, request.Body)
					}
				}
				if delta == 0 && len(core.accepted) != 1 {
					t.Fatalf("the unchanged frame was not forwarded")
				}
			}
		}
	}
}

// lengthOffsets returns the offsets of the lengths in the frame of an execute: of the frame, of the name, of the map, of
// each key and value, and of the body.
func lengthOffsets(frame []byte) (offsets []int) {
	offsets = []int{0, frameLengthBytes + 4}
	stringsFrom := func(offset, count int) int {
		for range count {
			offsets = append(offsets, offset)
			offset += 4 + int(binary.BigEndian.Uint32(frame[offset:]))
		}
		return offset
	}
	mapLength := frameLengthBytes + 4 + 4 + len("execute") + 4 + 3 + 2 // version, name, sequence number, field, types
	offsets = append(offsets, mapLength)
	body := stringsFrom(mapLength+4, len(validFields)) + 3
	stringsFrom(body, 1)
	return offsets
}

// withLength returns a copy of a frame in which the length at offset is off by delta.
func withLength(frame []byte, offset, delta int) []byte {
	changed := bytes.Clone(frame)
	binary.BigEndian.PutUint32(changed[offset:], uint32(int(binary.BigEndian.Uint32(frame[offset:]))+delta))
	return changed
}
