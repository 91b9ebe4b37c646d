package webhook

import (
	"bytes"
	"strconv"
)

const (
	maxHeadBytes    = 8 << 10  // of the request line and the header lines
	maxHeaders      = 64       // header lines
	maxRequestBody  = 16 << 10 // bytes of the body of the request in a payload, decoded from base64
	maxDeliveryBody = 24 << 10 // bytes of an HTTP request's body: a request's body in base64 and the other fields
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// httpRequest is the parsed head of an HTTP request. Its slices point into the bytes that were received.
type httpRequest struct {
	method, target  []byte
	headers         []header
	bodyLength      int
	closeRequested  bool // the head has "Connection: close"
	expectsContinue bool // the client waits for "100 Continue" before it sends the body
}

type header struct{ name, value []byte }

// header returns the value of the last header with the given name, and how many headers have that name.
func (r *httpRequest) header(name string) (value []byte, count int) {
	for _, h := range r.headers {
		if len(h.name) == len(name) && bytes.EqualFold(h.name, []byte(name)) {
			value = h.value
			count++
		}
	}
	return value, count
}

// hasHeaderValue reports whether the value of a header equals the given one, ignoring case.
func (r *httpRequest) hasHeaderValue(name, want string) bool {
	value, _ := r.header(name)
	return bytes.EqualFold(value, []byte(want))
}

// parseHead reads the head at the start of b, in place. Size is the length of the head, or 0 while it is not complete.
// A status other than statusNone rejects the request. It is then unknown where the request's body ends, so the
// connection can't be used any further.
func parseHead(b []byte) (request *httpRequest, size int, status httpStatus) {
	end := bytes.Index(b[:min(len(b), maxHeadBytes)], headEnd)
	if end < 0 {
		return nil, 0, checkPartialHead(b)
	}
	request = &httpRequest{}
	requestLine, headerLines, _ := bytes.Cut(b[:end+len(lineEnd)], lineEnd)
	if status := request.parseRequestLine(requestLine); status != statusNone {
		return nil, 0, status
	}
	if status := request.parseHeaders(headerLines); status != statusNone {
		return nil, 0, status
	}
	if status := request.parseFraming(); status != statusNone {
		return nil, 0, status
	}
	request.closeRequested = request.hasHeaderValue("Connection", "close")
	request.expectsContinue = request.hasHeaderValue("Expect", "100-continue")
	return request, end + len(headEnd), statusNone
}

// checkPartialHead returns the status that rejects an incomplete head that can't become a valid one, or else
// statusNone.
func checkPartialHead(b []byte) httpStatus {
	if len(b) >= maxHeadBytes {
		return statusHeaderFieldsTooLarge
	}
	// With a line end other than CRLF, this parser would wait for the end of a head that other HTTP implementations
	// consider complete.
	i := bytes.IndexByte(b, '\n')
	if i == 0 || i > 0 && b[i-1] != '\r' {
		return statusBadRequest
	}
	return statusNone
}

// parseRequestLine reads the method and the target (RFC 9112, section 3).
func (r *httpRequest) parseRequestLine(line []byte) httpStatus {
	words := bytes.Split(line, []byte{' '})
	if len(words) != 3 || string(words[2]) != "HTTP/1.1" || !isToken(words[0]) || !isTarget(words[1]) {
		return statusBadRequest
	}
	r.method = words[0]
	r.target = words[1]
	return statusNone
}

// parseHeaders reads header lines (RFC 9112, section 5), each of which ends with a line end. It rejects folded lines
// and spaces before the colon, as the RFC requires.
func (r *httpRequest) parseHeaders(lines []byte) httpStatus {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		name, value, found := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !found || !isToken(name) || !isFieldValue(value) {
			return statusBadRequest
		}
		if len(r.headers) == maxHeaders {
			return statusHeaderFieldsTooLarge
		}
		r.headers = append(r.headers, header{name, value})
	}
	return statusNone
}

// parseFraming reads the length of the body (RFC 9112, section 6). It rejects requests with several lengths or with any
// transfer coding, because ambiguous framing allows request smuggling: two HTTP implementations disagree on where a
// request ends.
func (r *httpRequest) parseFraming() httpStatus {
	if _, hostCount := r.header("Host"); hostCount != 1 {
		return statusBadRequest
	}
	if _, codingCount := r.header("Transfer-Encoding"); codingCount > 0 {
		return statusBadRequest
	}
	length, lengthCount := r.header("Content-Length")
	switch {
	case lengthCount > 1:
		return statusBadRequest
	case lengthCount == 1:
		return r.parseBodyLength(length)
	case string(r.method) == "POST":
		return statusBadRequest
	}
	return statusNone
}

// parseBodyLength reads a Content-Length, which must consist of digits only: a sign or a list is rejected.
func (r *httpRequest) parseBodyLength(text []byte) httpStatus {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return statusBadRequest
		}
	}
	if len(text) == 0 {
		return statusBadRequest
	}
	length, err := strconv.Atoi(string(text))
	if err != nil || length > maxDeliveryBody {
		return statusContentTooLarge
	}
	r.bodyLength = length
	return statusNone
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// isTarget reports whether b consists of visible ASCII characters.
func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control characters except tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
