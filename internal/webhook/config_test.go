package webhook

import (
	"strings"
	"testing"
)

// Errors of invalid webhook files start with the file's name.
func TestInvalidConfigErrorsNameTheFile(t *testing.T) {
	for _, text := range []string{"receiver.enabled = 3", "[receiver]\nfoo = 1", "[receiver]\nenabled = true\nlisten = \"nowhere\"",
		"[receiver]\nenabled = true\nlisten = \"127.0.0.1:1\"", "[sender]\nenabled = true\nurl = \"https://hooks.example.org\"\nkey = \"k\""} {
		if _, err := parseConfig("f", text); err == nil || !strings.HasPrefix(err.Error(), "webhook file f: ") {
			t.Errorf("%q: %v", text, err)
		}
	}
}
