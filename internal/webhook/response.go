package webhook

import (
	"fmt"
	"strconv"
	"time"
)

// httpStatus is the status code of an HTTP response (RFC 9110, section 15; 431: RFC 6585).
type httpStatus int

// The status codes that the receiver sends. They are not taken from net/http, because that whole package would then be
// linked into the program for these few numbers.
const (
	statusNone                 httpStatus = 0 // no status: the request was not rejected
	statusOK                   httpStatus = 200
	statusBadRequest           httpStatus = 400
	statusUnauthorized         httpStatus = 401
	statusNotFound             httpStatus = 404
	statusMethodNotAllowed     httpStatus = 405
	statusContentTooLarge      httpStatus = 413
	statusHeaderFieldsTooLarge httpStatus = 431
	statusBadGateway           httpStatus = 502
	statusServiceUnavailable   httpStatus = 503
	statusGatewayTimeout       httpStatus = 504
)

// continueResponse is the interim response to "Expect: 100-continue".
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// responseHeadCapacity is the size of the buffer for a response head, in bytes. It is enough for most heads.
const responseHeadCapacity = 192

// reasonPhrases are the reason phrases of the statuses that the receiver sends (RFC 9110, section 15; 431: RFC 6585).
var reasonPhrases = map[httpStatus]string{
	statusOK:                   "OK",
	statusBadRequest:           "Bad Request",
	statusUnauthorized:         "Unauthorized",
	statusNotFound:             "Not Found",
	statusMethodNotAllowed:     "Method Not Allowed",
	statusContentTooLarge:      "Content Too Large",
	statusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	statusBadGateway:           "Bad Gateway",
	statusServiceUnavailable:   "Service Unavailable",
	statusGatewayTimeout:       "Gateway Timeout",
}

// httpResponse is the response to a delivery.
type httpResponse struct {
	status     httpStatus
	body       []byte
	retryAfter time.Duration // sent with 503 only, rounded up to whole seconds and at least 1 s
}

// appendHead appends the head of the response to b. The caller writes the body after it.
func (r httpResponse) appendHead(b []byte, disposition connectionDisposition) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.body)), 10)
	b = append(b, "\r\n"...)
	if len(r.body) > 0 {
		b = append(b, "Content-Type: application/octet-stream\r\n"...)
	}
	if disposition == closeConnection {
		b = append(b, "Connection: close\r\n"...)
	}
	switch r.status {
	case statusServiceUnavailable:
		b = fmt.Appendf(b, "Retry-After: %d\r\n", r.retryAfterSeconds())
	case statusMethodNotAllowed:
		b = append(b, "Allow: POST\r\n"...)
	}
	return append(b, "\r\n"...)
}

func (r httpResponse) retryAfterSeconds() int64 {
	return max(1, int64((r.retryAfter+time.Second-1)/time.Second))
}

// connectionDisposition says whether a connection is kept or closed after a response.
type connectionDisposition uint8

const (
	keepConnection connectionDisposition = iota
	closeConnection
)
