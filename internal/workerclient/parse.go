package workerclient

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strconv"
)

const (
	maxBulkString = 16<<10 + 64           // a body, the longest bulk string there is
	maxResponse   = maxBulkString + 4<<10 // a whole answer
	maxElements   = 8                     // an answer has four
	maxLengthLine = 12                    // "*4" or "$16384" and room to spare
)

// errMalformedResponse says that a worker broke the protocol.
var errMalformedResponse = errors.New("malformed answer")

// decodeArray takes one array of bulk strings off the front of b, in place: the words point into b. It
// returns how many bytes it took, 0 while the array is not whole. Sizes are checked before
// anything waits for them, so what a peer makes us hold is bounded.
func decodeArray(b []byte, words [][]byte) ([][]byte, int, error) {
	n, at, err := decodeLength(b, 0, '*', maxElements)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	for range n {
		size, from, err := decodeLength(b, at, '$', maxBulkString)
		if err != nil || from == 0 {
			return nil, 0, err
		}
		if from+size > maxResponse {
			return nil, 0, errMalformedResponse
		}
		if len(b) < from+size+2 {
			return nil, 0, nil
		}
		if b[from+size] != '\r' || b[from+size+1] != '\n' {
			return nil, 0, errMalformedResponse
		}
		words = append(words, b[from:from+size])
		at = from + size + 2
	}
	return words, at, nil
}

// decodeLength reads a line of a mark and a number of at most most, from at on. It returns the number and
// where the line ends, 0 while it is not whole.
func decodeLength(b []byte, at int, mark byte, most int) (n, end int, err error) {
	line := b[at:]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, errMalformedResponse
	}
	stop := bytes.IndexByte(line[:min(len(line), maxLengthLine)], '\n')
	if stop < 0 {
		if len(line) >= maxLengthLine {
			return 0, 0, errMalformedResponse
		}
		return 0, 0, nil
	}
	if stop < 3 || line[stop-1] != '\r' {
		return 0, 0, errMalformedResponse
	}
	for _, d := range line[1 : stop-1] {
		if d < '0' || d > '9' {
			return 0, 0, errMalformedResponse
		}
		if n = n*10 + int(d-'0'); n > most {
			return 0, 0, errMalformedResponse
		}
	}
	return n, at + stop + 1, nil
}

// encodeHeader returns the head of an array of words: all of it but the bytes of the last word and the
// line end behind it, so that a body is written from where it lies.
func encodeHeader(body int, words ...string) []byte {
	b := append(make([]byte, 0, 160), '*')
	b = append(strconv.AppendInt(b, int64(len(words)+1), 10), '\r', '\n')
	for _, w := range words {
		b = append(strconv.AppendInt(append(b, '$'), int64(len(w)), 10), '\r', '\n')
		b = append(append(b, w...), '\r', '\n')
	}
	return append(strconv.AppendInt(append(b, '$'), int64(body), 10), '\r', '\n')
}

// encodeArray returns a whole encodeArray of short words.
func encodeArray(words ...string) []byte {
	last := words[len(words)-1]
	return append(append(encodeHeader(len(last), words[:len(words)-1]...), last...), '\r', '\n')
}

// findField finds a value in a list name=value,name=value; "-" is an empty list.
func findField(list []byte, name string) []byte {
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		if k, v, ok := bytes.Cut(pair, []byte{'='}); ok && string(k) == name {
			return v
		}
	}
	return nil
}

func sortCalls(calls []*command) {
	slices.SortFunc(calls, func(a, b *command) int { return cmp.Compare(a.token, b.token) })
}
