package webhook

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

// signingKey verifies signatures until it is retired.
type signingKey struct {
	secret []byte
	until  time.Time // retired from then on; zero: never
}

func (k signingKey) isActive(now time.Time) bool {
	return k.until.IsZero() || now.Before(k.until)
}

// readKeys reads the key files that the configuration names.
func readKeys(configs []KeyConfig) ([]signingKey, error) {
	var keys []signingKey
	for _, config := range configs {
		secret, err := readKey(config.File)
		if err != nil {
			return nil, err
		}
		keys = append(keys, signingKey{secret, config.Until})
	}
	return keys, nil
}

// readKey reads a key file: the prefix and the secret in base64.
func readKey(path string) ([]byte, error) {
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
