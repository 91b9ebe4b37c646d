package webhook

import (
	"bytes"
	"strconv"
)

const (
	maxHeadBytes    = 8 << 10  // request line and header lines
	maxHeaders      = 64       // of them
	maxRequestBody  = 16 << 10 // a call's body, once decoded
	maxDeliveryBody = 24 << 10 // a request's body: a call's body in base64 and the fields round it
)

// httpRequest is an HTTP httpRequest whose head has been read. Its parts point into the bytes read.
type httpRequest struct {
	method, target  []byte
	headers         []header
	bodyLength      int  // of the body
	closeRequested  bool // the client asked for the connection to be closed
	expectsContinue bool // the client waits for 100 Continue
}

type header struct{ name, value []byte }

// header returns the value of a header, and how many there are of that name.
func (r *httpRequest) header(name string) (value []byte, n int) {
	for _, h := range r.headers {
		if len(h.name) == len(name) && bytes.EqualFold(h.name, []byte(name)) {
			value = h.value
			n++
		}
	}
	return value, n
}

// parseHead reads the head at the front of b, in place. It returns how long the head is, 0 while
// it is not whole, and a status other than 0 for a request that is refused as it stands: where its
// body would end is then unknown, so the connection can't be used any further.
func parseHead(b []byte) (r httpRequest, size, status int) {
	end := bytes.Index(b[:min(len(b), maxHeadBytes)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= maxHeadBytes {
			return r, 0, 431
		}
		// A line end that is not CRLF would have us wait for an end that others have seen.
		if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
			return r, 0, 400
		}
		return r, 0, 0
	}
	line, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	words := bytes.Split(line, []byte{' '})
	if len(words) != 3 || string(words[2]) != "HTTP/1.1" || !isToken(words[0]) || !isTarget(words[1]) {
		return r, 0, 400
	}
	r.method, r.target = words[0], words[1]
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !ok || !isToken(name) || !isText(value) { // no folded lines, no space before the colon
			return r, 0, 400
		}
		if len(r.headers) == maxHeaders {
			return r, 0, 431
		}
		r.headers = append(r.headers, header{name, value})
	}
	if _, n := r.header("Host"); n != 1 {
		return r, 0, 400
	}
	// Two lengths, or a length and chunks, are how one request is passed off as two: never guess.
	if _, n := r.header("Transfer-Encoding"); n > 0 {
		return r, 0, 400
	}
	length, n := r.header("Content-Length")
	if n > 1 || n == 0 && string(r.method) == "POST" {
		return r, 0, 400
	}
	if n == 1 {
		if status := r.setLength(length); status != 0 {
			return r, 0, status
		}
	}
	connection, _ := r.header("Connection")
	r.closeRequested = bytes.EqualFold(connection, []byte("close"))
	expect, _ := r.header("Expect")
	r.expectsContinue = bytes.EqualFold(expect, []byte("100-continue"))
	return r, end + 4, 0
}

func (r *httpRequest) setLength(text []byte) (status int) {
	for _, d := range text {
		if d < '0' || d > '9' { // no sign, no list
			return 400
		}
	}
	n, err := strconv.Atoi(string(text))
	switch {
	case len(text) == 0:
		return 400
	case err != nil || n > maxDeliveryBody:
		return 413
	}
	r.bodyLength = n
	return 0
}

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

func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}

func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

var statusText = map[int]string{
	200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// appendResponseHead returns the head of an answer; its body is written behind it.
func appendResponseHead(status, length int, last bool, extra string) []byte {
	b := append(make([]byte, 0, 192), "HTTP/1.1 "...)
	b = append(strconv.AppendInt(b, int64(status), 10), ' ')
	b = append(append(b, statusText[status]...), "\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(length), 10), "\r\n"...)
	if length > 0 {
		b = append(b, "Content-Type: application/octet-stream\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, extra...), "\r\n"...)
}
