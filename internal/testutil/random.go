package testutil

import (
	"crypto/rand"
	"testing"
)

// countingReader yields the bytes 255, 254, 253 and so on: in base64 they have characters that its variants differ in.
type countingReader struct{ last byte }

func (r *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		r.last--
		b[i] = r.last
	}
	return len(b), nil
}

// FixRandom replaces the source of crypto/rand by one that always yields the same bytes, until the end of the test.
func FixRandom(t *testing.T) {
	t.Helper()
	system := rand.Reader
	rand.Reader = &countingReader{}
	t.Cleanup(func() { rand.Reader = system })
}
