package webhook

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"time"
)

// The headers of the Standard Webhooks specification.
const (
	headerID        = "webhook-id"
	headerTimestamp = "webhook-timestamp"
	headerSignature = "webhook-signature"

	signatureVersion = "v1," // HMAC-SHA256; signatures of other versions are skipped
)

const (
	maxSignatures = 16      // in one header
	maxDeliveryID = 128     // bytes of a webhook-id
	maxUnixTime   = 1 << 40 // seconds; what is later can't be a delivery's time
)

// signature returns the HMAC-SHA256 of id.timestamp.body.
func signature(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// sign returns the value of webhook-signature.
func sign(secret []byte, id, timestamp string, body []byte) string {
	return signatureVersion + base64.StdEncoding.EncodeToString(signature(secret, id, timestamp, body))
}

// signatureHeaders are the headers by which a delivery is authenticated. Their form has been checked, and nothing else.
type signatureHeaders struct {
	id         string
	timestamp  string // as it was signed
	sentAt     time.Time
	signatures [][]byte // with their versions
}

// parseSignatureHeaders reads the signature headers. It reports false unless each of them is there once and well
// formed.
func parseSignatureHeaders(request *httpRequest) (headers signatureHeaders, ok bool) {
	id, ids := request.header(headerID)
	timestamp, timestamps := request.header(headerTimestamp)
	signatures, lists := request.header(headerSignature)
	if ids != 1 || timestamps != 1 || lists != 1 {
		return headers, false
	}
	// A dot in an id would let one signed text be read as two different deliveries.
	if len(id) == 0 || len(id) > maxDeliveryID || bytes.IndexByte(id, '.') >= 0 {
		return headers, false
	}
	sentAt, ok := parseUnixTime(string(timestamp))
	if !ok {
		return headers, false
	}
	headers = signatureHeaders{
		id:         string(id),
		timestamp:  string(timestamp),
		sentAt:     sentAt,
		signatures: bytes.Fields(signatures),
	}
	return headers, len(headers.signatures) <= maxSignatures
}

// parseUnixTime reads whole seconds since 1970 in their one canonical form.
func parseUnixTime(text string) (time.Time, bool) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds < 0 || seconds > maxUnixTime || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0), true
}

// authenticate returns the webhook-id of a delivery that an active key signed and whose timestamp is within the
// tolerance of the present. Its errors are AuthenticationErrors.
func authenticate(request *httpRequest, body []byte, keys []signingKey, clock *deliveryClock, tolerance time.Duration) (id string, err error) {
	headers, ok := parseSignatureHeaders(request)
	if !ok {
		return "", &AuthenticationError{Reason: Unsigned}
	}
	if !headers.isSignedByAny(keys, body, clock.steady()) {
		return "", &AuthenticationError{Reason: NoMatchingKey}
	}
	if !clock.isFresh(headers.sentAt, tolerance) {
		return "", &AuthenticationError{Reason: StaleTimestamp}
	}
	return headers.id, nil
}

// isSignedByAny reports whether an active key made one of the signatures. Each signature is compared with each key's,
// whatever was found before, so that the time taken reveals nothing about them.
func (h *signatureHeaders) isSignedByAny(keys []signingKey, body []byte, now time.Time) bool {
	found := false
	for _, key := range keys {
		if !key.isActive(now) {
			continue
		}
		expected := signature(key.secret, h.id, h.timestamp, body)
		if h.hasSignature(expected) {
			found = true
		}
	}
	return found
}

// hasSignature compares all signatures with the expected one, also after one was found to be equal.
func (h *signatureHeaders) hasSignature(expected []byte) bool {
	found := false
	for _, versioned := range h.signatures {
		encoded, ok := bytes.CutPrefix(versioned, []byte(signatureVersion))
		if !ok {
			continue
		}
		given, err := base64.StdEncoding.DecodeString(string(encoded))
		if err == nil && hmac.Equal(given, expected) {
			found = true
		}
	}
	return found
}
