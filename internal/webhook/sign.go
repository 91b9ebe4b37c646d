package webhook

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	secretPrefix   = "whsec_"
	minSecretBytes = 24 // bytes, as the Standard Webhooks specification has it
	maxSecretBytes = 64
	maxSignatures  = 16  // in one header
	maxDeliveryID  = 128 // bytes of a webhook-id
)

// Why a delivery is not let in.
var (
	errUnsigned      = errors.New("unsigned or malformed signature headers")
	errStale         = errors.New("timestamp is out of tolerance")
	errNoMatchingKey = errors.New("no active key made this signature")
)

// signingKey signs and verifies until its end.
type signingKey struct {
	secret []byte
	until  time.Time // retired from then on; zero: never
}

// readKey reads a key file: whsec_ and the secret in base64.
func readKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	encoded, ok := strings.CutPrefix(strings.TrimSpace(string(text)), secretPrefix)
	if !ok {
		return nil, fmt.Errorf("key %s: does not begin with %s", path, secretPrefix)
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("key %s: not base64", path) // the error would show parts of the key
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("key %s: %d bytes; %d to %d are allowed", path, len(secret), minSecretBytes, maxSecretBytes)
	}
	return secret, nil
}

// signature is the signature of id.timestamp.body.
func signature(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// sign returns the value of webhook-signature.
func sign(secret []byte, id, timestamp string, body []byte) string {
	return "v1," + base64.StdEncoding.EncodeToString(signature(secret, id, timestamp, body))
}

// verify tells whether an active key signed the delivery not long ago, and returns its id. Each
// signature is compared with each key's, whatever was found before, so that the time taken tells
// nothing of them.
func verify(r *httpRequest, body []byte, keys []signingKey, now time.Time, tolerance time.Duration) (id string, err error) {
	rawID, ids := r.header("webhook-id")
	stamp, stamps := r.header("webhook-timestamp")
	list, lists := r.header("webhook-signature")
	// A dot in an id would let one signed text be read as two different deliveries.
	if ids != 1 || stamps != 1 || lists != 1 || len(rawID) == 0 || len(rawID) > maxDeliveryID || bytes.IndexByte(rawID, '.') >= 0 {
		return "", errUnsigned
	}
	seconds, err := strconv.ParseInt(string(stamp), 10, 64)
	if err != nil || seconds < 0 || seconds > 1<<40 || strconv.FormatInt(seconds, 10) != string(stamp) {
		return "", errUnsigned
	}
	signatures := bytes.Fields(list)
	if len(signatures) > maxSignatures {
		return "", errUnsigned
	}
	good := false
	for _, k := range keys {
		if !k.until.IsZero() && !now.Before(k.until) {
			continue
		}
		want := signature(k.secret, string(rawID), string(stamp), body)
		for _, s := range signatures {
			encoded, ok := bytes.CutPrefix(s, []byte("v1,"))
			if !ok {
				continue // of another version
			}
			got, err := base64.StdEncoding.DecodeString(string(encoded))
			if err == nil && hmac.Equal(got, want) {
				good = true
			}
		}
	}
	if !good {
		return "", errNoMatchingKey
	}
	if age := now.Sub(time.Unix(seconds, 0)); age > tolerance || age < -tolerance {
		return "", errStale
	}
	return string(rawID), nil
}
