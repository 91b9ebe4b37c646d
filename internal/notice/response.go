package notice

import (
	"bytes"
	"strconv"
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// statusCode is the status code of an HTTP response (RFC 9110, section 15).
type statusCode int

const (
	statusNone statusCode = 0   // there was no response, or none that could be read
	statusGone statusCode = 410 // the receiver wants the notice never again
)

// isInformational reports whether it is the status of an interim response, which a final one follows.
func (s statusCode) isInformational() bool { return s >= 100 && s < 200 }

func (s statusCode) isSuccess() bool { return s >= 200 && s < 300 }

// parseStatusLine reads the status code (RFC 9112, section 4). It returns statusNone for a line that has none.
func parseStatusLine(line []byte) statusCode {
	words := bytes.SplitN(line, []byte{' '}, 3)
	if len(words) < 2 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) || len(words[1]) != 3 {
		return statusNone
	}
	code, err := strconv.Atoi(string(words[1]))
	if err != nil {
		return statusNone
	}
	return statusCode(code)
}
