package webhook

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// A rejected delivery gets one response, and its request does not reach the core.
func TestRejectedDeliveriesHaveNoEffect(t *testing.T) {
	body := requestPayload("dim-level", "x", noon)
	valid := string(signedDelivery(activeSecret, "m", noon, body))
	modified := func(old, new string) []byte { return []byte(strings.Replace(valid, old, new, 1)) }
	for name, test := range map[string]struct {
		status int
		bytes  []byte
	}{
		"retired key":                  {401, signedDelivery(retiredSecret, "m", noon, body)},
		"unknown key":                  {401, signedDelivery([]byte("somebody else's secret..."), "m", noon, body)},
		"stale":                        {401, signedDelivery(activeSecret, "m", noon.Add(-6*time.Minute), body)},
		"from the future":              {401, signedDelivery(activeSecret, "m", noon.Add(6*time.Minute), body)},
		"other id":                     {401, modified("webhook-id: m", "webhook-id: n")},
		"other time":                   {401, modified("webhook-timestamp: 1", "webhook-timestamp: 01")},
		"other body":                   {401, modified(`"dim-level"`, `"dim-levex"`)},
		"dotted id":                    {401, signedDelivery(activeSecret, "m.1", noon, body)},
		"no signature":                 {401, modified("webhook-signature", "x-signature")},
		"two ids":                      {401, modified("webhook-id: m", "webhook-id: m\r\nwebhook-id: m")},
		"unknown class":                {400, signedDelivery(activeSecret, "m", noon, requestPayload("lift", "x", noon))},
		"no JSON":                      {400, signedDelivery(activeSecret, "m", noon, []byte("{"))},
		"body of the request too long": {400, signedDelivery(activeSecret, "m", noon, requestPayload("dim-level", strings.Repeat("x", maxRequestBody+1), noon))},
		"two lengths":                  {400, modified("Content-Length", "Content-Length: 3\r\nContent-Length")},
		"length and chunked encoding":  {400, modified("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length")},
		"length with a plus sign":      {400, modified("Content-Length: ", "Content-Length: +")},
		"no length":                    {400, modified("Content-Length", "X-Length")},
		"no host":                      {400, modified("Host", "X-Host")},
		"bare line feed":               {400, modified("\r\n", "\n")},
		"folded line":                  {400, modified("webhook-id: m", "webhook-id: m\r\n x")},
		"space before ':'":             {400, modified("Host:", "Host :")},
		"HTTP/1.0 version":             {400, modified("HTTP/1.1", "HTTP/1.0")},
		"other path":                   {404, modified("/hooks", "/hook")},
		"other method":                 {405, modified("POST", "PUT")},
		"body too long":                {413, modified("Content-Length: ", "Content-Length: 99")},
		"head too long":                {431, modified("Host: ", "Host: "+strings.Repeat("x", maxHeadBytes))},
		"too many headers":             {431, modified("Host: ", strings.Repeat("A: b\r\n", maxHeaders)+"Host: ")},
		"order, no ledger":             {503, signedDelivery(activeSecret, "m", noon, requestPayload("repair-order", "x", noon))},
	} {
		core := &fakeCore{}
		receiver, _ := newTestReceiver(t, core, "")
		transport := &testutil.Transport{}
		receiver.serve(transport, netip.AddrPort{}).Data(test.bytes)
		if got := statuses(t, transport); len(got) != 1 || got[0] != test.status || len(core.accepted) > 0 {
			t.Errorf("%s: responses %v, want one %d; %d requests", name, got, test.status, len(core.accepted))
		}
	}
}

// The tenant, by which requests are routed, is taken from the signed body. A tenant that is too long is rejected.
func TestTenantIsTakenFromSignedBody(t *testing.T) {
	core := &fakeCore{}
	receiver, _ := newTestReceiver(t, core, "")
	for i, test := range []struct{ tenant, want string }{{"east", "east"}, {"", ""}, {strings.Repeat("x", 200), "none accepted"}} {
		body := bytes.Replace(requestPayload("dim-level", "x", noon), []byte(`"tenant":""`), fmt.Appendf(nil, `"tenant":%q`, test.tenant), 1)
		before := len(core.accepted)
		transport := &testutil.Transport{}
		receiver.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, fmt.Sprint("t", i), noon, body))
		got := "none accepted"
		if len(core.accepted) > before {
			got = core.accepted[before].Tenant
		}
		if got != test.want {
			t.Errorf("tenant %.20q: %q, want %q; %s", test.tenant, got, test.want, transport.Written.String())
		}
	}
}

// A request of a class that requires an idempotency key has the same key in all redeliveries, because the key is
// derived from the webhook-id. Workers detect repeated requests by it. Requests of other classes have no key.
func TestIdempotencyKeyIsDerivedFromDeliveryID(t *testing.T) {
	keys := map[string]map[string]bool{}
	for range 2 { // two receivers, as after a restart with a lost ledger
		core := &fakeCore{}
		receiver, posts := newTestReceiver(t, core, filepath.Join(t.TempDir(), "ledger"))
		defer receiver.Close()
		for _, id := range []string{"a", "b"} {
			for _, class := range []string{"dim-level", "repair-order", "extend"} {
				receiver.serve(&testutil.Transport{}, netip.AddrPort{}).Data(signedDelivery(activeSecret, class+id, noon, requestPayload(class, "x", noon)))
				if class != "dim-level" {
					(<-posts)()
				}
				name := class + id
				if keys[name] == nil {
					keys[name] = map[string]bool{}
				}
				keys[name][core.accepted[len(core.accepted)-1].IdempotencyKey] = true
			}
		}
	}
	for name, got := range keys {
		wantKey := strings.HasPrefix(name, "extend")
		if len(got) != 1 || got[""] == wantKey {
			t.Errorf("%s: keys %v", name, got)
		}
	}
	for key := range keys["extenda"] {
		if !router.ValidIdempotencyKey(key) || keys["extendb"][key] {
			t.Errorf("key %q", key)
		}
	}
}
