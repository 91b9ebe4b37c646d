package discovery

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Any bytes are parsed or rejected without a panic or an endless loop. Pointer loops and names that are too long are
// rejected.
func TestParserAcceptsOrRejectsAnyBytes(t *testing.T) {
	pointerLoop := append(responseTo(1, 9)[:12], 0xc0, 12, 0, 1, 0, 1) // a name that is a pointer to itself
	if _, _, err := parseResponse(pointerLoop); err == nil {
		t.Error("a name with a pointer loop was read")
	}
	if _, _, err := readName([]byte(strings.Repeat("\x3f"+strings.Repeat("x", 63), 5)+"\x00"), 0); err == nil {
		t.Error("a name over 255 bytes was read")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := responseTo(1, 9, 0, 1, 0)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			b[rapid.IntRange(2, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		_, r, err := parseResponse(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		if err == nil && len(r.services) > 3 {
			t.Fatalf("read %d services", len(r.services))
		}
	})
}

// The error for each kind of invalid response has its own cause and the offset of the invalid data.
func TestParseErrors(t *testing.T) {
	valid := func() []byte { return responseTo(1, 9, 0) }
	for _, test := range []struct {
		name    string
		message []byte
		offset  int
		reason  error
		text    string
	}{
		{"short header", valid()[:5], 5, errMalformed, "malformed DNS message"},
		{"query", encodeQuery(1, serviceName), flagsOffset, errNotResponse, "not a DNS response"},
		{"truncated", withByte(valid(), flagsOffset, flagResponse|flagTruncated), flagsOffset, errTruncated, "response is truncated"},
		{"failure", withByte(valid(), responseCodeOffset, 2), responseCodeOffset, responseCodeError(2), "response has code 2"},
		{"other question", withByte(valid(), headerSize+1, 'x'), headerSize, errOtherQuestion, "response to another question"},
		{"no records", withByte(withByte(encodeQuery(1, serviceName), flagsOffset, flagResponse), responseCodeOffset, 0), 37, errNoSerial, "response has no serial number"},
		{"cut short", valid()[:40], 39, errMalformed, "malformed DNS message"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := parseResponse(test.message)
			var parseError *ParseError
			if !errors.As(err, &parseError) || !errors.Is(err, test.reason) {
				t.Fatalf("error %v, want %v", err, test.reason)
			}
			if parseError.Offset != test.offset || err.Error() != test.text {
				t.Errorf("error %q at %d, want %q at %d", err, parseError.Offset, test.text, test.offset)
			}
		})
	}
}

// withByte returns a message with one byte replaced.
func withByte(message []byte, offset int, value byte) []byte {
	message[offset] = value
	return message
}

// Guards against a list that lacks a worker, or says nothing of its kind, cell and start, because a response counts fewer
// records than it has.
func TestResponseWithTooFewRecordsCountedIsInvalid(t *testing.T) {
	whole := func() []byte { return responseTo(1, 9, 0, 1) }
	for _, section := range []int{questionsOffset, answersOffset, authorityOffset, additionalOffset} {
		count := whole()[section+1]
		for fewer := byte(1); fewer <= count; fewer++ {
			if _, r, err := parseResponse(withByte(whole(), section+1, count-fewer)); err == nil {
				t.Errorf("count at %d is %d too small: read %d workers, %d texts", section, fewer, len(r.services), len(r.texts))
			}
		}
	}
	if _, _, err := parseResponse(whole()); err != nil {
		t.Error(err)
	}
}
