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
	maxUnixTime   = 1 << 40 // seconds; what is later can't be a delivery's time
)

// mac returns the HMAC-SHA256 of id.timestamp.body.
func mac(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// Sign returns the value of webhook-signature.
func Sign(secret []byte, id, timestamp string, body []byte) string {
	return signatureVersion + base64.StdEncoding.EncodeToString(mac(secret, id, timestamp, body))
}

// Headers are the values of the headers by which a delivery is authenticated. Their form has been checked, and nothing
// else.
type Headers struct {
	ID         string
	SentAt     time.Time // to the second
	timestamp  string    // SentAt as it was signed
	signatures [][]byte  // with their versions
}

// ParseHeaders reads the values of the three headers. It reports whether each of them is well formed.
func ParseHeaders(id, timestamp, signatures []byte) (headers Headers, ok bool) {
	// A dot in an id would let one signed text be read as two different deliveries.
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

// parseUnixTime reads whole seconds since 1970 in their one canonical form.
func parseUnixTime(text string) (time.Time, bool) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds < 0 || seconds > maxUnixTime || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0), true
}

// IsSignedByAny reports whether an active key made one of the signatures. Each signature is compared with each key's,
// whatever was found before, so that the time taken reveals nothing about them.
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

// hasSignature compares all signatures with the expected one, also after one was found to be equal.
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
