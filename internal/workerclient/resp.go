package workerclient

import (
	"bytes"
	"strconv"
)

// Limits on what a worker may send, in bytes unless stated otherwise. They are checked as soon as a length has arrived,
// before its bytes are awaited, so that a peer can make this program buffer only a limited amount.
const (
	maxBulkString = 16<<10 + 64           // a body, the longest bulk string
	maxResponse   = maxBulkString + 4<<10 // a whole response
	maxLengthLine = 12                    // "*4" or "$16384", with a margin
)

// The RESP types that the protocol uses, by the first byte of a value.
const (
	arrayType      = '*'
	bulkStringType = '$'
)

var lineEnd = []byte("\r\n")

// decodeBulkStrings decodes count bulk strings of an array, from offset on. It appends the strings, which point into
// data, to elements. It returns the offset of their end, or 0 while they are incomplete; the complete ones are returned
// in either case.
func decodeBulkStrings(data []byte, offset, count int, elements [][]byte) (_ [][]byte, end int, err error) {
	for range count {
		length, start, err := decodeLength(data, offset, bulkStringType, maxBulkString)
		if err != nil || start == 0 {
			return elements, 0, err
		}
		end := start + length
		if end > maxResponse {
			return elements, 0, InvalidLength
		}
		offset = end + len(lineEnd)
		if len(data) < offset {
			return elements, 0, nil
		}
		if !bytes.Equal(data[end:offset], lineEnd) {
			return elements, 0, MissingLineEnd
		}
		elements = append(elements, data[start:end])
	}
	return elements, offset, nil
}

// decodeLength decodes the line at offset, which consists of typeByte and a number of at most limit. It returns the
// number and the offset of the end of the line, or 0 while the line is incomplete.
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

// cutLengthLine returns the line at the start of data, from its type byte to its line end. It returns nil while the
// line is incomplete.
func cutLengthLine(data []byte, typeByte byte) (line []byte, err error) {
	if len(data) > 0 && data[0] != typeByte {
		return nil, UnexpectedType
	}
	end := bytes.IndexByte(data[:min(len(data), maxLengthLine)], '\n')
	if end < 0 {
		if len(data) >= maxLengthLine {
			return nil, InvalidLength
		}
		return nil, nil
	}
	if end < len("*0\r") || data[end-1] != '\r' {
		return nil, InvalidLength
	}
	return data[:end+1], nil
}

// parseLength parses a decimal number of at most limit, without a sign.
func parseLength(digits []byte, limit int) (length int, err error) {
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, InvalidLength
		}
		length = length*10 + int(digit-'0')
		if length > limit {
			return 0, InvalidLength
		}
	}
	return length, nil
}

// encodeHeader encodes an array of elements and one more element of bodySize bytes, up to the start of that one. The
// caller writes the body and the line end after it separately, so that the body is not copied.
func encodeHeader(bodySize int, elements ...string) []byte {
	const typicalSize = 160
	out := appendLength(make([]byte, 0, typicalSize), arrayType, len(elements)+1)
	for _, element := range elements {
		out = appendBulkString(out, element)
	}
	return appendLength(out, bulkStringType, bodySize)
}

// encodeArray encodes an array of elements.
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
