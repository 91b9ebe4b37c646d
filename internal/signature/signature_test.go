package signature

import (
	"os"
	"path/filepath"
	"testing"
)

// The key, the message and the signature are the example that the libraries of the Standard Webhooks specification use.
func TestSignatureMatchesSpecification(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := ReadSecret(path)
	if err != nil {
		t.Fatal(err)
	}
	got := Sign(key, "msg_p5jXN8AQM9LWM0D4loKWxJek", "1614265330", []byte(`{"test": 2432232314}`))
	if want := "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
