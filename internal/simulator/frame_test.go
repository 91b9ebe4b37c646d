package simulator

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"crankhold/policy"
)

// unhex decodes a hexadecimal text and ignores white space in it.
func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sample is a batch of three records.
const sample = `0000000c 00000042 00000003 40c06e2000000000
	0a 0003 5d3a91c4 0000 44610000 01 0000007c55d20a01 40000000 43c00000 0000 4028000000000000 406e000000000000
	07 0003 000000000000004d
	03 0005 0e6f2b19`

// The records of a batch are decoded in order, and times are decoded as durations.
func TestSampleBatch(t *testing.T) {
	b, err := ReadBatch(bytes.NewReader(unhex(t, sample)))
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{3, policy.RequestArrived{Request: 0x5d3a91c4, Function: 0x7c55d20a01, Lanes: 2, MemoryMB: 384,
			LoadTime: 900 * time.Millisecond, Work: 12 * time.Millisecond, Remaining: 240 * time.Millisecond}},
		{3, policy.TimerFired{Token: 77}},
		{5, policy.RequestCanceled{Request: 0x0e6f2b19}},
	}
	if b.Sequence != 12 || b.Now != 8412250*time.Microsecond || !reflect.DeepEqual(b.Records, want) {
		t.Errorf("got %+v", b)
	}
}

// A frame that is truncated at any byte, or has an invalid field, is an error and not a regular end of input.
func TestMalformedFrames(t *testing.T) {
	whole := unhex(t, sample)
	for n := 1; n < len(whole); n++ {
		if _, err := ReadBatch(bytes.NewReader(whole[:n])); err == nil || err == io.EOF {
			t.Fatalf("truncated at %d: %v", n, err)
		}
	}
	for name, at := range map[string]struct {
		i int
		b byte
	}{"record code": {20, 99}, "record count": {11, 9}, "length": {7, 0x41}, "clock": {12, 0xff}} {
		malformed := bytes.Clone(whole)
		malformed[at.i] = at.b
		if _, err := ReadBatch(bytes.NewReader(malformed)); err == nil {
			t.Errorf("invalid %s: no error", name)
		}
	}
}

// A FrameError contains the batch, the record and the offset at which a frame is malformed.
func TestFrameErrors(t *testing.T) {
	whole := unhex(t, sample)
	change := func(at int, to byte) []byte {
		frame := bytes.Clone(whole)
		frame[at] = to
		return frame
	}
	for name, c := range map[string]struct {
		frame []byte
		want  FrameError
		text  string
	}{
		"header": {whole[:5], FrameError{NoBatch, NoRecord, 5, "truncated batch header", io.ErrUnexpectedEOF},
			"truncated batch header: unexpected EOF"},
		"clock":  {change(12, 0xff), FrameError{12, NoRecord, 12, "invalid clock", nil}, "batch 12: invalid clock"},
		"length": {change(4, 0x41), FrameError{12, NoRecord, 4, "length 1090519106 is too large", nil}, "batch 12: length 1090519106 is too large"},
		"body":   {whole[:50], FrameError{12, NoRecord, 50, "truncated at byte 30 of 66", nil}, "batch 12: truncated at byte 30 of 66"},
		"code":   {change(20, 99), FrameError{12, 0, 23, "unknown record code 99", nil}, "batch 12, record 0: unknown record code 99"},
		"count":  {change(11, 4), FrameError{12, 3, 86, "unknown record code 0", nil}, "batch 12, record 3: unknown record code 0"},
		"record": {change(7, 0x41)[:85], FrameError{12, 2, 85, "truncated record", nil}, "batch 12, record 2: truncated record"},
		"rest":   {change(11, 2), FrameError{12, NoRecord, 79, "7 trailing bytes", nil}, "batch 12: 7 trailing bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadBatch(bytes.NewReader(c.frame))
			var got *FrameError
			if !errors.As(err, &got) || *got != c.want {
				t.Fatalf("got %+v, want %+v", err, c.want)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("text %q, want %q", err.Error(), c.text)
			}
		})
	}
}

// Arbitrary input is decoded or is an error; the clock of a decoded batch is not negative.
func FuzzReadBatch(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(unhex(f, "00000001 00000000 00000000 40c06e2000000000"))
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := ReadBatch(bytes.NewReader(b))
		if err == nil && batch.Now < 0 {
			t.Errorf("clock %v", batch.Now)
		}
	})
}
