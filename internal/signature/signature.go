package signature

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
	HeaderID        = "webhook-id"
	HeaderTimestamp = "webhook-timestamp"
	HeaderSignature = "webhook-signature"

	signatureVersion = "v1," // HMAC-SHA256; signatures of other versions are skipped
)

const (
	maxSignatures = 16      // in one header
	maxDeliveryID = 128     // bytes of a webhook-id
	maxUnixTime   = 1 << 40 // seconds; no delivery can have a later time
)

// mac returns the HMAC-SHA256 of the id, the timestamp and the body, joined by dots.
func mac(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// Sign returns the value of the webhook-signature header.
func Sign(secret []byte, id, timestamp string, body []byte) string {
	return signatureVersion + base64.StdEncoding.EncodeToString(mac(secret, id, timestamp, body))
}

// Headers holds the parsed values of the headers that authenticate a delivery. Only their format has been checked; the
// signatures have not been verified.
type Headers struct {
	ID         string
	SentAt     time.Time // in whole seconds
	timestamp  string    // SentAt in the form that is signed
	signatures [][]byte  // with their version prefixes
}

// ParseHeaders parses the values of the three headers. It reports whether all of them are well formed.
func ParseHeaders(id, timestamp, signatures []byte) (headers Headers, ok bool) {
	// With a dot in an id, the same signed text could stand for two different deliveries.
	if len(id) == 0 || len(id) > maxDeliveryID || bytes.IndexByte(id, '.') >= 0 {
		return headers, false
	}
	sentAt, ok := parseUnixTime(string(timestamp))
	if !ok {
		return headers, false
	}
	headers = Headers{
		ID:         string(id),
		SentAt:     sentAt,
		timestamp:  string(timestamp),
		signatures: bytes.Fields(signatures),
	}
	return headers, len(headers.signatures) <= maxSignatures
}

// parseUnixTime parses whole seconds since 1970. It accepts only the canonical decimal form, without a sign or leading
// zeros.
func parseUnixTime(text string) (time.Time, bool) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds < 0 || seconds > maxUnixTime || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0), true
}

// IsSignedByAny reports whether one of the signatures was made with one of the keys while that key is active. All
// signatures are compared with all active keys, also after a match, so that the duration reveals nothing about them.
func (h *Headers) IsSignedByAny(keys []Key, body []byte, now time.Time) bool {
	found := false
	for _, key := range keys {
		if !key.IsActive(now) {
			continue
		}
		expected := mac(key.Secret, h.ID, h.timestamp, body)
		if h.hasSignature(expected) {
			found = true
		}
	}
	return found
}

// hasSignature reports whether one of the signatures equals the expected one. It compares all of them, also after a
// match.
func (h *Headers) hasSignature(expected []byte) bool {
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
