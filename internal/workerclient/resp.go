package workerclient

import (
	"bytes"
	"strconv"
)

// Bounds on what a worker may send, in bytes where not said otherwise. They are checked before anything waits for the
// bytes that a length announces, so that what a peer makes this program hold is bounded.
const (
	maxBulkString = 16<<10 + 64           // a body, the longest bulk string there is
	maxResponse   = maxBulkString + 4<<10 // a response as a whole
	maxElements   = 8                     // of an array; a response has four
	maxLengthLine = 12                    // "*4" or "$16384" and room to spare
)

// The types of RESP that the protocol uses, by the byte that a value begins with.
const (
	arrayType      = '*'
	bulkStringType = '$'
)

var lineEnd = []byte("\r\n")

// decodeArray takes one array of bulk strings off the front of data. It appends the strings, which point into data, to
// elements, and returns the size of the array in bytes, 0 while it is incomplete.
func decodeArray(data []byte, elements [][]byte) (_ [][]byte, size int, err error) {
	count, offset, err := decodeLength(data, 0, arrayType, maxElements)
	if err != nil || offset == 0 {
		return nil, 0, err
	}
	for range count {
		length, start, err := decodeLength(data, offset, bulkStringType, maxBulkString)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		end := start + length
		if end > maxResponse {
			return nil, 0, ErrMalformedResponse
		}
		offset = end + len(lineEnd)
		if len(data) < offset {
			return nil, 0, nil
		}
		if !bytes.Equal(data[end:offset], lineEnd) {
			return nil, 0, ErrMalformedResponse
		}
		elements = append(elements, data[start:end])
	}
	return elements, offset, nil
}

// decodeLength reads the line of a type byte and a number up to limit that begins at offset. It returns the number and
// the offset behind the line, 0 while the line is incomplete.
func decodeLength(data []byte, offset int, typeByte byte, limit int) (length, end int, err error) {
	line, err := cutLengthLine(data[offset:], typeByte)
	if err != nil || line == nil {
		return 0, 0, err
	}
	length, err = parseLength(line[1:len(line)-len(lineEnd)], limit)
	if err != nil {
		return 0, 0, err
	}
	return length, offset + len(line), nil
}

// cutLengthLine returns the line that data begins with, from its type byte to its line end. It returns nil while the
// line is incomplete.
func cutLengthLine(data []byte, typeByte byte) (line []byte, err error) {
	if len(data) > 0 && data[0] != typeByte {
		return nil, ErrMalformedResponse
	}
	end := bytes.IndexByte(data[:min(len(data), maxLengthLine)], '\n')
	if end < 0 {
		if len(data) >= maxLengthLine {
			return nil, ErrMalformedResponse
		}
		return nil, nil
	}
	if end < len("*0\r") || data[end-1] != '\r' {
		return nil, ErrMalformedResponse
	}
	return data[:end+1], nil
}

// parseLength reads a decimal number without a sign.
func parseLength(digits []byte, limit int) (length int, err error) {
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, ErrMalformedResponse
		}
		length = length*10 + int(digit-'0')
		if length > limit {
			return 0, ErrMalformedResponse
		}
	}
	return length, nil
}

// encodeHeader returns an array of elements and one more of bodySize bytes, up to where those begin: the body and the
// line end behind it are written from where they lie.
func encodeHeader(bodySize int, elements ...string) []byte {
	const typicalSize = 160
	out := appendLength(make([]byte, 0, typicalSize), arrayType, len(elements)+1)
	for _, element := range elements {
		out = appendBulkString(out, element)
	}
	return appendLength(out, bulkStringType, bodySize)
}

// encodeArray returns an array of elements.
func encodeArray(elements ...string) []byte {
	last := elements[len(elements)-1]
	out := encodeHeader(len(last), elements[:len(elements)-1]...)
	out = append(out, last...)
	return append(out, lineEnd...)
}

func appendBulkString(out []byte, text string) []byte {
	out = appendLength(out, bulkStringType, len(text))
	out = append(out, text...)
	return append(out, lineEnd...)
}

func appendLength(out []byte, typeByte byte, length int) []byte {
	out = append(out, typeByte)
	out = strconv.AppendInt(out, int64(length), 10)
	return append(out, lineEnd...)
}
