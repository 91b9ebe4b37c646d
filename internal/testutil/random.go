package testutil

import (
	"crypto/rand"
	"testing"
)

// countingReader returns the bytes 255, 254, 253 and so on. Their base64 encoding contains characters in which the
// standard and the URL-safe alphabet differ.
type countingReader struct{ last byte }

func (r *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		r.last--
		b[i] = r.last
	}
	return len(b), nil
}

// FixRandom replaces the source of crypto/rand with one that always returns the same bytes, until the test ends.
func FixRandom(t *testing.T) {
	t.Helper()
	system := rand.Reader
	rand.Reader = &countingReader{}
	t.Cleanup(func() { rand.Reader = system })
}
