package signature

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestParseHeadersRejectsMalformedValues(t *testing.T) {
	many := strings.Repeat("v1,x ", maxSignatures)
	for _, test := range []struct {
		name, id, timestamp, signatures string
		ok                              bool
	}{
		{"well formed", "msg_1", "1614265330", many, true},
		{"no id", "", "1614265330", many, false},
		{"id with a dot", "msg.1", "1614265330", many, false},
		{"longest id", strings.Repeat("x", maxDeliveryID), "1614265330", many, true},
		{"id too long", strings.Repeat("x", maxDeliveryID+1), "1614265330", many, false},
		{"no timestamp", "msg_1", "", many, false},
		{"timestamp with a leading zero", "msg_1", "01614265330", many, false},
		{"negative timestamp", "msg_1", "-1", many, false},
		{"timestamp above the maximum", "msg_1", "1099511627777", many, false},
		{"too many signatures", "msg_1", "1614265330", many + "v1,x", false},
	} {
		headers, ok := ParseHeaders([]byte(test.id), []byte(test.timestamp), []byte(test.signatures))
		if ok != test.ok {
			t.Errorf("%s: %v, want %v", test.name, ok, test.ok)
		}
		if ok && (headers.ID != test.id || !headers.SentAt.Equal(time.Unix(1614265330, 0))) {
			t.Errorf("%s: %+v", test.name, headers)
		}
	}
}

// A signature is accepted if it was made with an active key, wherever it is in the list of signatures. Signatures of
// retired keys, of other bodies and of other versions are not accepted.
func TestIsSignedByAnyActiveKey(t *testing.T) {
	now := time.Unix(1614265330, 0)
	body := []byte("body")
	secret := bytes.Repeat([]byte("active"), 5)
	signed := Sign(secret, "msg_1", "1614265330", body)
	active := Key{Secret: secret, Until: now.Add(1)}
	retired := Key{Secret: secret, Until: now}
	other := Key{Secret: []byte("another secret")}
	for _, test := range []struct {
		name       string
		signatures string
		body       string
		keys       []Key
		want       bool
	}{
		{"active", signed, "body", []Key{other, active}, true},
		{"among others", "v1a,x v1,!! v1,AAAA " + signed, "body", []Key{active, other}, true},
		{"retired", signed, "body", []Key{retired, other}, false},
		{"other body", signed, "Body", []Key{active}, false},
		{"other version", "v2" + strings.TrimPrefix(signed, "v1"), "body", []Key{active}, false},
		{"no keys", signed, "body", nil, false},
	} {
		headers, ok := ParseHeaders([]byte("msg_1"), []byte("1614265330"), []byte(test.signatures))
		if got := headers.IsSignedByAny(test.keys, []byte(test.body), now); !ok || got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
