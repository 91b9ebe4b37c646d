package signature

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// The form of secrets, by the Standard Webhooks specification ("Signature scheme").
const (
	secretPrefix   = "whsec_"
	minSecretBytes = 24
	maxSecretBytes = 64
)

// Key verifies signatures until it is retired.
type Key struct {
	Secret []byte
	Until  time.Time // retired from then on; zero: never
}

// IsActive reports whether the key is not retired.
func (k Key) IsActive(now time.Time) bool {
	return k.Until.IsZero() || now.Before(k.Until)
}

// ReadSecret reads the secret in a key file: the prefix and the secret in base64. Its errors are KeyErrors. It blocks
// on file I/O.
func ReadSecret(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{File: path, Err: err}
	}
	secret, err := parseSecret(string(text))
	if err != nil {
		return nil, &KeyError{File: path, Err: err}
	}
	return secret, nil
}

func parseSecret(text string) ([]byte, error) {
	encoded, found := strings.CutPrefix(strings.TrimSpace(text), secretPrefix)
	if !found {
		return nil, errors.New("does not begin with " + secretPrefix)
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, errors.New("not base64") // the decoder's error would show parts of the key
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("%d bytes; %d to %d are allowed", len(secret), minSecretBytes, maxSecretBytes)
	}
	return secret, nil
}
