package fake

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of the arrays that a worker reads.
const (
	maxArrayLength      = 16
	maxBulkStringLength = 1 << 20
)

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	length, err := readLength(in, '*', maxArrayLength)
	if err != nil {
		return nil, err
	}
	texts := make([]string, 0, length)
	for range length {
		text, err := readBulkString(in)
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
	}
	return texts, nil
}

// readBulkString reads a RESP bulk string.
func readBulkString(in *bufio.Reader) (string, error) {
	size, err := readLength(in, '$', maxBulkStringLength)
	if err != nil {
		return "", err
	}
	text := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(in, text); err != nil {
		return "", err
	}
	return string(text[:size]), nil
}

// readLength reads a line that consists of the first byte of a RESP type and a length.
func readLength(in *bufio.Reader, typeByte byte, limit int) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || line[0] != typeByte || n < 0 || n > limit {
		return 0, fmt.Errorf("malformed line %.20q", line)
	}
	return n, nil
}

// writeArray writes a RESP array of bulk strings.
func writeArray(w io.Writer, texts ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(texts))
	for _, text := range texts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
