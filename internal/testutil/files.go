package testutil

import (
	"os"
	"testing"
)

// ReadFile returns a file's content. It fails the test if the file can't be read.
func ReadFile(t testing.TB, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}
