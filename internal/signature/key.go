package signature

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// The format of secrets according to the Standard Webhooks specification ("Signature scheme").
const (
	secretPrefix   = "whsec_"
	minSecretBytes = 24
	maxSecretBytes = 64
)

// Key verifies signatures until it is retired.
type Key struct {
	Secret []byte
	Until  time.Time // the time at which the key is retired; zero if it never is
}

// IsActive reports whether the key is not retired at the given time.
func (k Key) IsActive(now time.Time) bool {
	return k.Until.IsZero() || now.Before(k.Until)
}

// ReadSecret returns the secret in a key file. The file holds secretPrefix and the secret in base64. Errors are of type
// *KeyError. It blocks on file I/O.
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
		return nil, errors.New("secret does not start with " + secretPrefix)
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, errors.New("secret is not valid base64") // the decoder's error would show parts of the key
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("secret has %d bytes; must have %d to %d", len(secret), minSecretBytes, maxSecretBytes)
	}
	return secret, nil
}
