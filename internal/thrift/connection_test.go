package thrift

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// fakeCore keeps what it is handed.
type fakeCore struct {
	accepted []router.Request
	canceled []policy.RequestID
	rejected int
}

func (c *fakeCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	c.accepted = append(c.accepted, r)
	return policy.RequestID(len(c.accepted))
}
func (c *fakeCore) RejectUnaccepted(_ time.Duration, r router.Request) {
	c.rejected++
	r.Responder.Respond(router.Response{Status: router.Rejected})
}
func (c *fakeCore) CancelRequest(_ time.Duration, id policy.RequestID) {
	c.canceled = append(c.canceled, id)
}

// newTestConnection returns a connection of a front with every kind of class and two tenants.
func newTestConnection() (*connection, *fakeCore, *testutil.Transport) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	front := New(core, Config{Classes: []Class{{Name: "dim-level"}, {Name: "repair-order"}, {Name: "extend", RequiresIdempotencyKey: true}}, Tenants: []string{"east", "west"}}, testutil.Clock(time.Hour), func() bool { return true })
	return front.serve(transport, netip.AddrPort{}), core, transport
}

// executeFrame returns the frame of an execute. Fields are keys and values in turn.
func executeFrame(seq uint32, body string, fields ...string) []byte {
	b := appendMessageHeader(nil, messageCall, "execute", seq)
	b = appendStringMap(appendField(b, wireMap, 1), fields...)
	b = appendString(appendField(b, wireString, 2), body)
	return finishFrame(append(b, wireStop), 0)
}

var validFields = []string{"class", "repair-order", "id", "9b1f03aa5c7e2d41", "wait", "1500", "key", "7f3a9c21e0b4d655",
	"props", "memory_mb:512;lanes:2;load_ms:640"}

// readReply reads the first frame of what was written: its sequence number and the result's field.
func readReply(t rapid.TB, transport *testutil.Transport) (seq uint32, field uint16) {
	t.Helper()
	b := transport.Written.Bytes()
	if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
		t.Fatalf("wrote %x", b)
	}
	size := 4 + int(binary.BigEndian.Uint32(b))
	r := decoder{remaining: b[4:size]}
	m, err := r.messageHeader()
	field = 99
	if err == nil && m.kind == messageReply {
		err = r.structFields(func(typ byte, id uint16) bool { field = id; return false })
	}
	if err != nil {
		t.Fatalf("wrote %x: %v", b, err)
	}
	transport.Written.Next(size)
	return m.sequence, field
}

// The model of a connection: complete requests reach the core however they are split, each open one gets its one
// response, and an interrupted one gets none.
func TestConnectionAnswersEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client, core, transport := newTestConnection()
		seq, open := uint32(0), map[uint32]int{}
		feed := func(b []byte) {
			for len(b) > 0 {
				n := rapid.IntRange(1, len(b)).Draw(t, "n")
				client.Data(bytes.Clone(b[:n]))
				b = b[n:]
			}
		}
		draw := func() (uint32, bool) {
			if len(open) == 0 {
				return 0, false
			}
			for s := rapid.Uint32Range(1, seq).Draw(t, "seq"); ; s = s%seq + 1 {
				if _, ok := open[s]; ok {
					return s, true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				if len(open) == maxOpenRequests {
					return
				}
				seq++
				feed(executeFrame(seq, "body", validFields...))
				open[seq] = len(core.accepted) - 1
				r := core.accepted[len(core.accepted)-1]
				if r.Class != 1 || r.ID != "9b1f03aa5c7e2d41" || r.Function != 0x7f3a9c21e0b4d655 || string(r.Body) != "body" ||
					r.Lanes != 2 || r.MemoryMB != 512 || r.LoadTime != 640*time.Millisecond ||
					r.Deadline != time.Hour+1500*time.Millisecond-router.ResponseMargin {
					t.Fatalf("accepted %+v", r)
				}
			},
			"answer": func(t *rapid.T) {
				s, ok := draw()
				if !ok {
					return
				}
				a := router.Response{Status: router.ResponseStatus(rapid.IntRange(0, 2).Draw(t, "verdict")), Body: []byte("x"), RetryAfter: 1}
				core.accepted[open[s]].Responder.Respond(a)
				core.accepted[open[s]].Responder.Respond(a) // a second one goes nowhere
				delete(open, s)
				if got, field := readReply(t, transport); got != s || field != uint16(a.Status) {
					t.Fatalf("answer to %d has field %d, want %d of %d", got, field, a.Status, s)
				}
			},
			"interrupt": func(t *rapid.T) {
				s, ok := draw()
				if !ok {
					return
				}
				b := appendMessageHeader(nil, messageOneway, "interrupt", 0)
				b = binary.BigEndian.AppendUint32(appendField(b, wireI32, 1), s)
				feed(finishFrame(append(b, wireStop), 0))
				if len(core.canceled) == 0 || int(core.canceled[len(core.canceled)-1]) != open[s]+1 {
					t.Fatalf("canceled %v", core.canceled)
				}
				core.accepted[open[s]].Responder.Respond(router.Response{})
				delete(open, s)
			},
			"bad": func(t *rapid.T) { // wrong fields are answered, with a failure
				fields := append([]string(nil), validFields...)
				fields[rapid.SampledFrom([]int{1, 3, 5, 7, 9}).Draw(t, "field")] = "nonsense"
				seq++
				feed(executeFrame(seq, "", fields...))
				if got, field := readReply(t, transport); got != seq || field != 2 {
					t.Fatalf("answer to %d has field %d", got, field)
				}
			},
			"check": func(t *rapid.T) {
				feed(finishFrame(append(appendMessageHeader(nil, messageCall, "check", 7), wireBool, 0, 1, 1, wireStop), 0))
				if got, field := readReply(t, transport); got != 7 || field != 0 {
					t.Fatal("check was not answered")
				}
			},
			"": func(t *rapid.T) {
				if transport.Written.Len() > 0 || transport.Closed || client.Busy() != (len(open) > 0) {
					t.Fatalf("wrote %x, closed %v, busy %v", transport.Written.Bytes(), transport.Closed, client.Busy())
				}
			},
		})
	})
}

// Whatever is received ends its own connection at most.
func TestMalformedBytesOnlyCloseTheirConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client, core, transport := newTestConnection()
		b := executeFrame(1, "body", validFields...)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		client.Data(b)
		if len(core.accepted) > 1 || transport.Closed && client.partial.Len() > 0 {
			t.Fatalf("accepted %d, kept %d bytes", len(core.accepted), client.partial.Len())
		}
	})
	for name, b := range map[string][]byte{
		"a frame over the cap": {0, 0, 0x60, 0},
		"a depth over the cap": finishFrame(append(appendMessageHeader(nil, messageCall, "execute", 1), append(bytes.Repeat([]byte{wireStruct, 0, 9}, 20), make([]byte, 21)...)...), 0),
	} {
		if client, _, transport := newTestConnection(); true {
			if client.Data(b); !transport.Closed {
				t.Errorf("%s was accepted", name)
			}
		}
	}
}

// Fields that no worker could use, and numbers that are none, are answered with a failure and not forwarded.
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
				t.Errorf("%s %q: %d accepted, answer has field %d", validFields[at-1], v, len(core.accepted), field)
			}
		}
	}
}

// A sequence number that is used again closes the connection, whether its request is open or was answered: a reply
// could be taken for the other request's.
func TestSequenceNumbersMustIncrease(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for repeated := range uint32(3) {
			client, core, transport := newTestConnection()
			client.Data(executeFrame(2, "", validFields...))
			if answered {
				core.accepted[0].Responder.Respond(router.Response{})
			}
			client.Data(executeFrame(repeated, "", validFields...))
			client.Data(executeFrame(5, "", validFields...))
			if len(core.accepted) != 1 || !transport.Closed || client.Busy() {
				t.Errorf("number %d after 2: %d accepted, closed %v", repeated, len(core.accepted), transport.Closed)
			}
		}
	}
}

// Requests beyond the limit on one connection are rejected, each with a response, and those within it go on.
func TestRequestsBeyondOpenLimitAreRejected(t *testing.T) {
	client, core, transport := newTestConnection()
	for i := range uint32(200) {
		client.Data(executeFrame(i+1, "", validFields...))
	}
	if len(core.accepted) != maxOpenRequests || core.rejected != 200-maxOpenRequests || transport.Closed || len(client.open) != maxOpenRequests {
		t.Fatalf("%d accepted, %d rejected, closed %v", len(core.accepted), core.rejected, transport.Closed)
	}
	for i := range uint32(200 - maxOpenRequests) {
		if seq, field := readReply(t, transport); seq != maxOpenRequests+1+i || field != 1 {
			t.Fatalf("answer to %d has field %d", seq, field)
		}
	}
	core.accepted[0].Responder.Respond(router.Response{})
	if client.Data(executeFrame(201, "", validFields...)); len(core.accepted) != maxOpenRequests+1 {
		t.Error("no room after an answer")
	}
}

// The beginning of a frame is not copied anew for each byte, and one small body does not keep the whole read that it
// came in.
func TestReadBuffersAreNeitherRecopiedNorRetained(t *testing.T) {
	client, core, _ := newTestConnection()
	whole := executeFrame(1, string(make([]byte, maxBody)), validFields...)
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			client.Data(whole[i : i+1])
		}
		if n, begun := client.Messages(); n != 1 && begun {
			t.Errorf("%d complete messages, another begun: %v", n, begun)
		}
	})
	if allocs > 80 || len(core.accepted) != 1 || len(core.accepted[0].Body) != maxBody {
		t.Errorf("%v allocations, %d accepted", allocs, len(core.accepted))
	}
	client, core, _ = newTestConnection()
	read := append(executeFrame(1, "small", validFields...), make([]byte, 3)...)
	client.Data(read)
	clear(read)
	if string(core.accepted[0].Body) != "small" {
		t.Error("the body points into the read")
	}
}

// The idempotency key and the tenant of a request reach the core as they were received. What can't be forwarded
// unchanged is failed, never served as something else; what no class needs may be absent.
func TestIdempotencyKeysAndTenantsAreForwardedOrFailed(t *testing.T) {
	const once = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	for _, tt := range []struct {
		class, once, tenant string // "-": absent
		fails               string // by this field
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
				t.Errorf("%+v: %d accepted, answered %q", tt, len(core.accepted), text)
			} else if _, field := readReply(t, transport); field != 2 {
				t.Errorf("%+v: the answer has field %d", tt, field)
			}
			continue
		}
		if len(core.accepted) != 1 {
			t.Errorf("%+v: not accepted, answered %q", tt, transport.Written.String())
			continue
		}
		if r := core.accepted[0]; r.IdempotencyKey != strings.ReplaceAll(tt.once, "-", "") || r.Tenant != strings.ReplaceAll(tt.tenant, "-", "") {
			t.Errorf("%+v: accepted as %+v", tt, r)
		}
	}
}

// Without tenants in the settings a client that names one is served as any other.
func TestTenantsAreIgnoredWithoutTenantSettings(t *testing.T) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	front := New(core, Config{Classes: []Class{{Name: "repair-order"}}}, testutil.Clock(time.Hour), func() bool { return true })
	front.serve(transport, netip.AddrPort{}).Data(executeFrame(1, "", append([]string{"tenant", "anyone"}, validFields...)...))
	if len(core.accepted) != 1 || core.accepted[0].Tenant != "" {
		t.Errorf("accepted %+v, answered %q", core.accepted, transport.Written.String())
	}
}

// A field that can't be used is reported by name, with the beginning of its value.
func TestFieldErrorsCarryTheFieldAndTheBeginningOfItsValue(t *testing.T) {
	client, _, _ := newTestConnection()
	long := strings.Repeat("x", 2*maxLoggedValue)
	for _, test := range []struct{ field, value, wantValue string }{
		{"class", "unheard-of", "unheard-of"},
		{"id", long, long[:maxLoggedValue]},
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
