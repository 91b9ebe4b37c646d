package signature

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestKeyErrorsCarryTheFileAndNoPartOfTheKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for _, test := range []struct{ text, message string }{
		{"MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", "key " + path + ": secret does not start with whsec_"},
		{"whsec_MfKQ9r8G!", "key " + path + ": secret is not valid base64"},
		{"whsec_MfKQ9r8G", "key " + path + ": secret has 6 bytes; must have 24 to 64"},
	} {
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadSecret(path)
		var key *KeyError
		if !errors.As(err, &key) || key.File != path || err.Error() != test.message {
			t.Errorf("%q: %v, want %s", test.text, err, test.message)
		}
	}
	missing := path + ".missing"
	_, err := ReadSecret(missing)
	if want := "key: open " + missing + ": no such file or directory"; err == nil || err.Error() != want {
		t.Errorf("missing file: %v, want %s", err, want)
	}
}
