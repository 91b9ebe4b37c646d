package thrift

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// A request with a malformed field or a number out of its range is not forwarded, and the reply is the exception Lost.
func TestOutOfRangeFieldsAreNotForwarded(t *testing.T) {
	for at, values := range map[int][]string{
		1: {"", "nonsense", "repair-order\r\n"},
		3: {"", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4\n"},
		5: {"", "-1", "NaN", "Inf", "1e300", "600001", "0x10p400"},
		7: {"", "7F3A9C21E0B4D655", "7f3a9c21e0b4d65g"},
		9: {"memory_mb:-1", "memory_mb:NaN", "memory_mb:1e9", "lanes:1e8", "lanes:-0.1", "load_ms:1e7", "load_ms:", "lanes", "other:x"},
	} {
		for _, v := range values {
			client, core, transport := newTestConnection()
			fields := append([]string(nil), validFields...)
			fields[at] = v
			client.Data(executeFrame(1, "", fields...))
			if _, field := readReply(t, transport); len(core.accepted) != 0 || field != 2 {
				t.Errorf("%s %q: %d accepted, reply has field %d", validFields[at-1], v, len(core.accepted), field)
			}
		}
	}
}

// The idempotency key and the tenant of a request reach the core unchanged. A request whose key or tenant is invalid
// fails and is not forwarded without it. Both may be absent if the class requires no key.
func TestIdempotencyKeysAndTenantsAreForwardedOrFailed(t *testing.T) {
	const once = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	for _, tt := range []struct {
		class, once, tenant string // "-": absent
		fails               string // the invalid field that the reply names; "" if the request is accepted
	}{
		{"extend", once, "west", ""},
		{"extend", "A", "east", ""},
		{"extend", once, "-", ""},
		{"extend", "-", "west", "once"},
		{"extend", "", "west", "once"},
		{"extend", "5c0f,path=0", "west", "once"},
		{"extend", strings.Repeat("5", router.MaxIdempotencyKeyLength+1), "west", "once"},
		{"dim-level", once, "west", ""},
		{"dim-level", "-", "west", ""},
		{"dim-level", "x", "west", "once"},
		{"dim-level", "-", "north", "tenant"},
		{"dim-level", "-", "", "tenant"},
	} {
		client, core, transport := newTestConnection()
		fields := append([]string{"later", "is ignored"}, validFields...)
		fields[3] = tt.class
		if tt.once != "-" {
			fields = append(fields, "once", tt.once)
		}
		if tt.tenant != "-" {
			fields = append(fields, "tenant", tt.tenant)
		}
		client.Data(executeFrame(1, "body", fields...))
		if tt.fails != "" {
			if text := transport.Written.String(); len(core.accepted) != 0 || !strings.Contains(text, tt.fails) {
				t.Errorf("%+v: %d accepted, replied %q", tt, len(core.accepted), text)
			} else if _, field := readReply(t, transport); field != 2 {
				t.Errorf("%+v: the reply has field %d", tt, field)
			}
			continue
		}
		if len(core.accepted) != 1 {
			t.Errorf("%+v: not accepted, replied %q", tt, transport.Written.String())
			continue
		}
		if r := core.accepted[0]; r.IdempotencyKey != strings.ReplaceAll(tt.once, "-", "") || r.Tenant != strings.ReplaceAll(tt.tenant, "-", "") {
			t.Errorf("%+v: accepted as %+v", tt, r)
		}
	}
}

// If no tenants are configured, a request that names one is accepted without a tenant.
func TestTenantsAreIgnoredWithoutTenantSettings(t *testing.T) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	front := New(core, Config{Classes: []Class{{Name: "repair-order"}}}, testutil.Clock(time.Hour), func() bool { return true })
	front.serve(transport, netip.AddrPort{}).Data(executeFrame(1, "", append([]string{"tenant", "anyone"}, validFields...)...))
	if len(core.accepted) != 1 || core.accepted[0].Tenant != "" {
		t.Errorf("accepted %+v, replied %q", core.accepted, transport.Written.String())
	}
}

// The error for an invalid field contains the field's name and the first bytes of its value.
func TestFieldErrorsCarryTheFieldAndTheBeginningOfItsValue(t *testing.T) {
	client, _, _ := newTestConnection()
	long := strings.Repeat("x", 2*maxLoggedValueBytes)
	for _, test := range []struct{ field, value, wantValue string }{
		{"class", "unheard-of", "unheard-of"},
		{"id", long, long[:maxLoggedValueBytes]},
		{"key", "", ""},
		{"once", "5c0f,path=0", "5c0f,path=0"},
		{"tenant", "north", "north"},
		{"wait", "soon", "soon"},
		{"props", "lanes", "lanes"},
	} {
		fields := executeFieldMap{}
		for i := 0; i < len(validFields); i += 2 {
			fields[validFields[i]] = []byte(validFields[i+1])
		}
		fields[test.field] = []byte(test.value)
		_, rejected := client.front.decodeRequest(fields)
		if rejected == nil || rejected.Field != test.field || rejected.Value != test.wantValue {
			t.Errorf("%s %.20q: %+v", test.field, test.value, rejected)
		}
	}
}
