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
	statusNone statusCode = 0   // there was no response, or a malformed one
	statusGone statusCode = 410 // the subscriber asks not to be sent the notice again
)

// isInformational reports whether s is the status of an interim response, which is followed by a final one.
func (s statusCode) isInformational() bool { return s >= 100 && s < 200 }

func (s statusCode) isSuccess() bool { return s >= 200 && s < 300 }

// parseStatusLine returns the status code in a status line (RFC 9112, section 4), or statusNone if the line is
// malformed.
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
