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
	r.Asker.Respond(router.Response{Status: router.Rejected})
}
func (c *fakeCore) CancelRequest(_ time.Duration, id policy.RequestID) {
	c.canceled = append(c.canceled, id)
}

func newTestConnection() (*connection, *fakeCore, *testutil.Transport) {
	c, l := &fakeCore{}, &testutil.Transport{}
	f := New(c, Config{Classes: []Class{{Name: "dim-level"}, {Name: "repair-order"}, {Name: "extend", RequiresIdempotencyKey: true}}, Tenants: []string{"east", "west"}}, func() time.Duration { return time.Hour }, func() bool { return true })
	return f.serve(l, netip.AddrPort{}), c, l
}

func executeFrame(seq uint32, body string, fields ...string) []byte {
	b := appendMessageHeader(nil, messageCall, "execute", seq)
	b = appendStringMap(appendField(b, wireMap, 1), fields...)
	b = appendString(appendField(b, wireString, 2), body)
	return finishFrame(append(b, wireStop), 0)
}

var validFields = []string{"class", "repair-order", "id", "9b1f03aa5c7e2d41", "wait", "1500", "key", "7f3a9c21e0b4d655",
	"props", "memory_mb:512;lanes:2;load_ms:640"}

// readReply reads the first frame of what was written: its sequence number and the result's field.
func readReply(t rapid.TB, l *testutil.Transport) (seq uint32, field uint16) {
	b := l.Wrote.Bytes()
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
	l.Wrote.Next(size)
	return m.sequence, field
}

// The model of a connection: whole calls reach the core however they are split, each open one gets
// its one answer, an interrupted one gets none.
func TestConnectionAnswersEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, k, l := newTestConnection()
		seq, open := uint32(0), map[uint32]int{}
		feed := func(b []byte) {
			for len(b) > 0 {
				n := rapid.IntRange(1, len(b)).Draw(t, "n")
				c.Data(bytes.Clone(b[:n]))
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
				open[seq] = len(k.accepted) - 1
				r := k.accepted[len(k.accepted)-1]
				if r.Class != 1 || r.ID != "9b1f03aa5c7e2d41" || r.Function != 0x7f3a9c21e0b4d655 || string(r.Body) != "body" ||
					r.Lanes != 2 || r.MemoryMB != 512 || r.LoadTime != 640*time.Millisecond ||
					r.Deadline != time.Hour+1500*time.Millisecond-router.ResponseMargin {
					t.Fatalf("took %+v", r)
				}
			},
			"answer": func(t *rapid.T) {
				s, ok := draw()
				if !ok {
					return
				}
				a := router.Response{Status: router.ResponseStatus(rapid.IntRange(0, 2).Draw(t, "verdict")), Body: []byte("x"), RetryAfter: 1}
				k.accepted[open[s]].Asker.Respond(a)
				k.accepted[open[s]].Asker.Respond(a) // a second one goes nowhere
				delete(open, s)
				if got, field := readReply(t, l); got != s || field != uint16(a.Status) {
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
				if len(k.canceled) == 0 || int(k.canceled[len(k.canceled)-1]) != open[s]+1 {
					t.Fatalf("left %v", k.canceled)
				}
				k.accepted[open[s]].Asker.Respond(router.Response{})
				delete(open, s)
			},
			"bad": func(t *rapid.T) { // wrong fields are answered, with a failure
				fields := append([]string(nil), validFields...)
				fields[rapid.SampledFrom([]int{1, 3, 5, 7, 9}).Draw(t, "field")] = "nonsense"
				seq++
				feed(executeFrame(seq, "", fields...))
				if got, field := readReply(t, l); got != seq || field != 2 {
					t.Fatalf("answer to %d has field %d", got, field)
				}
			},
			"check": func(t *rapid.T) {
				feed(finishFrame(append(appendMessageHeader(nil, messageCall, "check", 7), wireBool, 0, 1, 1, wireStop), 0))
				if got, field := readReply(t, l); got != 7 || field != 0 {
					t.Fatal("check was not answered")
				}
			},
			"": func(t *rapid.T) {
				if l.Wrote.Len() > 0 || l.HasClosed || c.Busy() != (len(open) > 0) {
					t.Fatalf("wrote %x, closed %v, busy %v", l.Wrote.Bytes(), l.HasClosed, c.Busy())
				}
			},
		})
	})
}

func TestMalformedBytesOnlyCloseTheirConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, k, l := newTestConnection()
		b := executeFrame(1, "body", validFields...)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		c.Data(b)
		if len(k.accepted) > 1 || l.HasClosed && c.partial != nil {
			t.Fatalf("took %d, kept %d bytes", len(k.accepted), len(c.partial))
		}
	})
	for name, b := range map[string][]byte{
		"a frame over the cap": {0, 0, 0x60, 0},
		"a depth over the cap": finishFrame(append(appendMessageHeader(nil, messageCall, "execute", 1), append(bytes.Repeat([]byte{wireStruct, 0, 9}, 20), make([]byte, 21)...)...), 0),
	} {
		if c, _, l := newTestConnection(); true {
			if c.Data(b); !l.HasClosed {
				t.Errorf("%s was let in", name)
			}
		}
	}
}

// Guards the figures: what no worker could use, and what is no number, is answered with a failure and
// passed on to nobody.
func TestOutOfRangeFieldsAreNotForwarded(t *testing.T) {
	for at, values := range map[int][]string{
		1: {"", "nonsense", "repair-order\r\n"},
		3: {"", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4\n"},
		5: {"", "-1", "NaN", "Inf", "1e300", "600001", "0x10p400"},
		7: {"", "7F3A9C21E0B4D655", "7f3a9c21e0b4d65g"},
		9: {"memory_mb:-1", "memory_mb:NaN", "memory_mb:1e9", "lanes:1e8", "lanes:-0.1", "load_ms:1e7", "load_ms:", "lanes", "other:x"},
	} {
		for _, v := range values {
			c, k, l := newTestConnection()
			fields := append([]string(nil), validFields...)
			fields[at] = v
			c.Data(executeFrame(1, "", fields...))
			if _, field := readReply(t, l); len(k.accepted) != 0 || field != 2 {
				t.Errorf("%s %q: %d taken, answer has field %d", validFields[at-1], v, len(k.accepted), field)
			}
		}
	}
}

// Guards against a sequence number that is used again, whether its call is open or has been answered: an
// answer could be taken for the other call's.
func TestSequenceNumbersMustIncrease(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for again := range uint32(3) {
			c, k, l := newTestConnection()
			c.Data(executeFrame(2, "", validFields...))
			if answered {
				k.accepted[0].Asker.Respond(router.Response{})
			}
			c.Data(executeFrame(again, "", validFields...))
			c.Data(executeFrame(5, "", validFields...))
			if len(k.accepted) != 1 || !l.HasClosed || c.Busy() {
				t.Errorf("number %d behind 2: %d taken, closed %v", again, len(k.accepted), l.HasClosed)
			}
		}
	}
}

// Guards the others' room: calls beyond the limit on one connection are refused, each with an answer, and
// those within it go on.
func TestRequestsBeyondOpenLimitAreRejected(t *testing.T) {
	c, k, l := newTestConnection()
	for i := range uint32(200) {
		c.Data(executeFrame(i+1, "", validFields...))
	}
	if len(k.accepted) != maxOpenRequests || k.rejected != 200-maxOpenRequests || l.HasClosed || len(c.open) != maxOpenRequests {
		t.Fatalf("%d taken, %d turned away, closed %v", len(k.accepted), k.rejected, l.HasClosed)
	}
	for i := range uint32(200 - maxOpenRequests) {
		if seq, field := readReply(t, l); seq != maxOpenRequests+1+i || field != 1 {
			t.Fatalf("answer to %d has field %d", seq, field)
		}
	}
	k.accepted[0].Asker.Respond(router.Response{})
	if c.Data(executeFrame(201, "", validFields...)); len(k.accepted) != maxOpenRequests+1 {
		t.Error("no room after an answer")
	}
}

// Guards memory and time: the beginning of a frame is not copied anew for each byte, and one small body
// does not keep the whole read that it came in.
func TestReadBuffersAreNeitherRecopiedNorRetained(t *testing.T) {
	c, k, _ := newTestConnection()
	whole := executeFrame(1, string(make([]byte, maxBody)), validFields...)
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			c.Data(whole[i : i+1])
		}
		if n, begun := c.Messages(); n != 1 && begun {
			t.Errorf("%d whole messages, another begun: %v", n, begun)
		}
	})
	if allocs > 80 || len(k.accepted) != 1 || len(k.accepted[0].Body) != maxBody {
		t.Errorf("%v allocations, %d taken", allocs, len(k.accepted))
	}
	c, k, _ = newTestConnection()
	read := append(executeFrame(1, "small", validFields...), make([]byte, 3)...)
	c.Data(read)
	clear(read)
	if string(k.accepted[0].Body) != "small" {
		t.Error("the body points into the read")
	}
}

// A keyed call's idempotency key and tenant reach the core as they came. What can't be passed on unchanged is failed,
// never served as something else; what no class needs may be absent.
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
		c, k, l := newTestConnection()
		fields := append([]string{"later", "is ignored"}, validFields...)
		fields[3] = tt.class
		if tt.once != "-" {
			fields = append(fields, "once", tt.once)
		}
		if tt.tenant != "-" {
			fields = append(fields, "tenant", tt.tenant)
		}
		c.Data(executeFrame(1, "body", fields...))
		if tt.fails != "" {
			if text := l.Wrote.String(); len(k.accepted) != 0 || !strings.Contains(text, tt.fails) {
				t.Errorf("%+v: %d taken, answered %q", tt, len(k.accepted), text)
			} else if _, field := readReply(t, l); field != 2 {
				t.Errorf("%+v: the answer has field %d", tt, field)
			}
			continue
		}
		if len(k.accepted) != 1 {
			t.Errorf("%+v: not taken, answered %q", tt, l.Wrote.String())
			continue
		}
		if r := k.accepted[0]; r.IdempotencyKey != strings.ReplaceAll(tt.once, "-", "") || r.Tenant != strings.ReplaceAll(tt.tenant, "-", "") {
			t.Errorf("%+v: taken as %+v", tt, r)
		}
	}
}

// Where the settings know no tenants, a client that names one is served as before.
func TestTenantsAreIgnoredWithoutTenantSettings(t *testing.T) {
	k, l := &fakeCore{}, &testutil.Transport{}
	f := New(k, Config{Classes: []Class{{Name: "repair-order"}}}, func() time.Duration { return time.Hour }, func() bool { return true })
	f.serve(l, netip.AddrPort{}).Data(executeFrame(1, "", append([]string{"tenant", "anyone"}, validFields...)...))
	if len(k.accepted) != 1 || k.accepted[0].Tenant != "" {
		t.Errorf("taken %+v, answered %q", k.accepted, l.Wrote.String())
	}
}
