package workerclient

import (
	"errors"
	"testing"
)

func TestLengthLines(t *testing.T) {
	for _, test := range []struct {
		name      string
		line      string
		length    int
		end       int // offset after the line; 0 while the line is incomplete
		malformed bool
	}{
		{"nothing yet", "", 0, 0, false},
		{"without its line end", "*12", 0, 0, false},
		{"without its line feed", "*12\r", 0, 0, false},
		{"complete", "*12\r\n", 12, 5, false},
		{"followed by data", "*0\r\n$", 0, 4, false},
		{"at the limit", "*20\r\n", 20, 5, false},
		{"over the limit", "*21\r\n", 0, 0, true},
		{"another type", "$1\r\n", 0, 0, true},
		{"no digit", "*\r\n", 0, 0, true},
		{"a sign", "*-1\r\n", 0, 0, true},
		{"no carriage return", "*12\n", 0, 0, true},
		{"longer than any length", "*00000000001\r\n", 0, 0, true},
	} {
		length, end, err := decodeLength([]byte("prefix"+test.line), len("prefix"), arrayType, 20)
		if end > 0 {
			end -= len("prefix")
		}
		if length != test.length || end != test.end || errors.Is(err, ErrMalformedResponse) != test.malformed {
			t.Errorf("%s: length %d, end %d, %v", test.name, length, end, err)
		}
	}
}
