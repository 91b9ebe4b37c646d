package webhook

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/signature"
	"crankhold/internal/testutil"
)

// Errors have the file and the setting as fields, and the exact texts that operators know.
func TestConfigErrorsCarryTheSetting(t *testing.T) {
	const (
		receiver = "[receiver]\nenabled = true\nlisten = \"127.0.0.1:1\"\n"
		keys     = "keys = [{ file = \"k\" }]\n"
		sender   = "[sender]\nenabled = true\nurl = \"http://hooks.example.org\"\n"
	)
	for _, test := range []struct{ text, setting, message string }{
		{"[receiver]\nfoo = 1", "receiver.foo", "webhook file f: unknown setting receiver.foo"},
		{"[receiver]\nenabled = true\nlisten = \"nowhere\"", "receiver.listen", `webhook file f: receiver.listen: not an ip:port`},
		{receiver + "path = \"hooks\"", "receiver.path", "webhook file f: receiver.path is not a valid path"},
		{receiver, "receiver.keys", "webhook file f: receiver.keys is empty"},
		{receiver + keys + "tolerance = \"1ms\"", "receiver.tolerance", "webhook file f: receiver.tolerance must be a second or more, and dedupe_for twice as long or more"},
		{receiver + keys + "ledger = { path = \"l\", max_bytes = 1 }", "receiver.ledger", "webhook file f: receiver.ledger: retention of at least 4 tolerances and 131072 bytes are needed"},
		{"[sender]\nenabled = true\nurl = \"https://hooks.example.org\"", "sender.url", "webhook file f: sender.url must be http://HOST/PATH; for TLS, use a local proxy"},
		{sender, "sender.key", "webhook file f: sender.key is missing"},
		{sender + "key = \"k\"\nqueue = 0", "sender", "webhook file f: sender: queue, attempts, backoff or timeout is out of range"},
	} {
		_, err := parseConfig("f", test.text)
		var config *ConfigError
		if !errors.As(err, &config) || config.File != "f" || config.Setting != test.setting {
			t.Errorf("%q: %#v, want a ConfigError of %s", test.text, err, test.setting)
			continue
		}
		if err.Error() != test.message {
			t.Errorf("%q: %q, want %q", test.text, err, test.message)
		}
	}
	missing := filepath.Join(t.TempDir(), "missing")
	_, err := ReadConfig(missing)
	if want := "webhook file: open " + missing + ": no such file or directory"; err == nil || err.Error() != want || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v, want %s", err, want)
	}
}

func TestAuthenticationErrorsCarryTheReason(t *testing.T) {
	body := requestPayload("dim-level", "x", noon)
	clock := newDeliveryClock(testutil.Clock(time.Hour), wallAtNoon)
	authenticator := authenticator{keys: []signature.Key{{Secret: activeSecret}}, clock: clock, tolerance: time.Minute}
	for _, test := range []struct {
		reason  AuthenticationReason
		message string
		bytes   []byte
	}{
		{InvalidSignatureHeaders, "signature headers are missing, repeated or malformed", signedDelivery(activeSecret, "m.1", noon, body)},
		{NoMatchingKey, "no signature matches an active key", signedDelivery(retiredSecret, "m", noon, body)},
		{StaleTimestamp, "timestamp is out of tolerance", signedDelivery(activeSecret, "m", noon.Add(-time.Hour), body)},
	} {
		request, size, _ := parseHead(test.bytes)
		_, err := authenticator.authenticate(request, test.bytes[size:])
		var authentication *AuthenticationError
		if !errors.As(err, &authentication) || authentication.Reason != test.reason || err.Error() != test.message {
			t.Errorf("%v, want %s", err, test.message)
		}
	}
}

func TestMalformedDeliveryErrorsCarryTheField(t *testing.T) {
	receiver, _ := newTestReceiver(t, &fakeCore{}, "")
	valid := string(requestPayload("dim-level", "x", noon))
	for _, test := range []struct{ old, new, field, message string }{
		{"{", "", "", "invalid character ':' after top-level value"},
		{`"wait_ms":0`, `"wait_ms":"soon"`, "data.wait_ms", "json: cannot unmarshal string into Go struct field .data.wait_ms of type float64"},
		{requestEventType, "other", "type", "type is not call.requested"},
		{"dim-level", "lift", "data.class", "unknown class"},
		{`"tenant":""`, `"tenant":"` + strings.Repeat("x", maxTenantLength+1) + `"`, "data.tenant", "tenant is too long"},
		{"7f3a9c21e0b4d655", "7F3A9C21E0B4D655", "data.key", "key is not 16 lowercase hex digits"},
		{`"lanes":0`, `"lanes":-1`, "data.lanes", "the number is out of range"},
		{"dim-level", "repair-order", "timestamp", "the order's timestamp is outside the ledger's retention"},
	} {
		body := strings.Replace(valid, test.old, test.new, 1)
		if test.field == "timestamp" {
			body = strings.Replace(body, "2026-12-01", "2026-11-01", 1)
		}
		_, _, err := receiver.decodeRequest([]byte(body))
		var malformed *MalformedDeliveryError
		if !errors.As(err, &malformed) || malformed.Field != test.field || err.Error() != test.message {
			t.Errorf("%s: %#v, want %q of field %q", body, err, test.message, test.field)
		}
	}
}
