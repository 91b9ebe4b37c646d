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

// core keeps what it is handed.
type core struct {
	taken []router.Request
	left  []policy.RequestID
	away  int
}

func (c *core) Accept(_ time.Duration, r router.Request) policy.RequestID {
	c.taken = append(c.taken, r)
	return policy.RequestID(len(c.taken))
}
func (c *core) RejectUnaccepted(_ time.Duration, r router.Request) {
	c.away++
	r.Asker.Respond(router.Response{Status: router.Rejected})
}
func (c *core) CancelRequest(_ time.Duration, id policy.RequestID) { c.left = append(c.left, id) }

func newClient() (*client, *core, *testutil.Transport) {
	c, l := &core{}, &testutil.Transport{}
	f := New(c, Config{Classes: []Class{{Name: "dim-level"}, {Name: "repair-order"}, {Name: "extend", RequiresIdempotencyKey: true}}, Tenants: []string{"east", "west"}}, func() time.Duration { return time.Hour }, func() bool { return true })
	return f.serve(l, netip.AddrPort{}), c, l
}

func execute(seq uint32, body string, fields ...string) []byte {
	b := appendMessage(nil, kindCall, "execute", seq)
	b = appendStrings(appendField(b, typeMap, 1), fields...)
	b = appendString(appendField(b, typeString, 2), body)
	return seal(append(b, typeStop), 0)
}

var good = []string{"class", "repair-order", "id", "9b1f03aa5c7e2d41", "wait", "1500", "key", "7f3a9c21e0b4d655",
	"props", "memory_mb:512;lanes:2;load_ms:640"}

// outcome reads the first frame of what was written: its sequence number and the result's field.
func outcome(t rapid.TB, l *testutil.Transport) (seq uint32, field uint16) {
	b := l.Wrote.Bytes()
	if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
		t.Fatalf("wrote %x", b)
	}
	size := 4 + int(binary.BigEndian.Uint32(b))
	r := reader{b: b[4:size]}
	m, err := r.message()
	field = 99
	if err == nil && m.kind == kindReply {
		err = r.fields(func(typ byte, id uint16) bool { field = id; return false })
	}
	if err != nil {
		t.Fatalf("wrote %x: %v", b, err)
	}
	l.Wrote.Next(size)
	return m.seq, field
}

// The model of a connection: whole calls reach the core however they are split, each open one gets
// its one answer, an interrupted one gets none.
func TestConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, k, l := newClient()
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
				if len(open) == maxOpen {
					return
				}
				seq++
				feed(execute(seq, "body", good...))
				open[seq] = len(k.taken) - 1
				r := k.taken[len(k.taken)-1]
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
				k.taken[open[s]].Asker.Respond(a)
				k.taken[open[s]].Asker.Respond(a) // a second one goes nowhere
				delete(open, s)
				if got, field := outcome(t, l); got != s || field != uint16(a.Status) {
					t.Fatalf("answer to %d has field %d, want %d of %d", got, field, a.Status, s)
				}
			},
			"interrupt": func(t *rapid.T) {
				s, ok := draw()
				if !ok {
					return
				}
				b := appendMessage(nil, kindOneway, "interrupt", 0)
				b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 1), s)
				feed(seal(append(b, typeStop), 0))
				if len(k.left) == 0 || int(k.left[len(k.left)-1]) != open[s]+1 {
					t.Fatalf("left %v", k.left)
				}
				k.taken[open[s]].Asker.Respond(router.Response{})
				delete(open, s)
			},
			"bad": func(t *rapid.T) { // wrong fields are answered, with a failure
				fields := append([]string(nil), good...)
				fields[rapid.SampledFrom([]int{1, 3, 5, 7, 9}).Draw(t, "field")] = "nonsense"
				seq++
				feed(execute(seq, "", fields...))
				if got, field := outcome(t, l); got != seq || field != 2 {
					t.Fatalf("answer to %d has field %d", got, field)
				}
			},
			"check": func(t *rapid.T) {
				feed(seal(append(appendMessage(nil, kindCall, "check", 7), typeBool, 0, 1, 1, typeStop), 0))
				if got, field := outcome(t, l); got != 7 || field != 0 {
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

func TestAnyBytesCloseTheirConnectionAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, k, l := newClient()
		b := execute(1, "body", good...)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		c.Data(b)
		if len(k.taken) > 1 || l.HasClosed && c.part != nil {
			t.Fatalf("took %d, kept %d bytes", len(k.taken), len(c.part))
		}
	})
	for name, b := range map[string][]byte{
		"a frame over the cap": {0, 0, 0x60, 0},
		"a depth over the cap": seal(append(appendMessage(nil, kindCall, "execute", 1), append(bytes.Repeat([]byte{typeStruct, 0, 9}, 20), make([]byte, 21)...)...), 0),
	} {
		if c, _, l := newClient(); true {
			if c.Data(b); !l.HasClosed {
				t.Errorf("%s was let in", name)
			}
		}
	}
}

// Guards the figures: what no worker could use, and what is no number, is answered with a failure and
// passed on to nobody.
func TestFiguresOutOfRangeAreNotPassedOn(t *testing.T) {
	for at, values := range map[int][]string{
		1: {"", "nonsense", "repair-order\r\n"},
		3: {"", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4\n"},
		5: {"", "-1", "NaN", "Inf", "1e300", "600001", "0x10p400"},
		7: {"", "7F3A9C21E0B4D655", "7f3a9c21e0b4d65g"},
		9: {"memory_mb:-1", "memory_mb:NaN", "memory_mb:1e9", "lanes:1e8", "lanes:-0.1", "load_ms:1e7", "load_ms:", "lanes", "other:x"},
	} {
		for _, v := range values {
			c, k, l := newClient()
			fields := append([]string(nil), good...)
			fields[at] = v
			c.Data(execute(1, "", fields...))
			if _, field := outcome(t, l); len(k.taken) != 0 || field != 2 {
				t.Errorf("%s %q: %d taken, answer has field %d", good[at-1], v, len(k.taken), field)
			}
		}
	}
}

// Guards against a sequence number that is used again, whether its call is open or has been answered: an
// answer could be taken for the other call's.
func TestSequenceNumbersClimb(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for again := range uint32(3) {
			c, k, l := newClient()
			c.Data(execute(2, "", good...))
			if answered {
				k.taken[0].Asker.Respond(router.Response{})
			}
			c.Data(execute(again, "", good...))
			c.Data(execute(5, "", good...))
			if len(k.taken) != 1 || !l.HasClosed || c.Busy() {
				t.Errorf("number %d behind 2: %d taken, closed %v", again, len(k.taken), l.HasClosed)
			}
		}
	}
}

// Guards the others' room: calls beyond the limit on one connection are refused, each with an answer, and
// those within it go on.
func TestCallsBeyondTheLimitAreRefused(t *testing.T) {
	c, k, l := newClient()
	for i := range uint32(200) {
		c.Data(execute(i+1, "", good...))
	}
	if len(k.taken) != maxOpen || k.away != 200-maxOpen || l.HasClosed || len(c.open) != maxOpen {
		t.Fatalf("%d taken, %d turned away, closed %v", len(k.taken), k.away, l.HasClosed)
	}
	for i := range uint32(200 - maxOpen) {
		if seq, field := outcome(t, l); seq != maxOpen+1+i || field != 1 {
			t.Fatalf("answer to %d has field %d", seq, field)
		}
	}
	k.taken[0].Asker.Respond(router.Response{})
	if c.Data(execute(201, "", good...)); len(k.taken) != maxOpen+1 {
		t.Error("no room after an answer")
	}
}

// Guards memory and time: the beginning of a frame is not copied anew for each byte, and one small body
// does not keep the whole read that it came in.
func TestReadsAreNeitherCopiedOverNorKept(t *testing.T) {
	c, k, _ := newClient()
	whole := execute(1, string(make([]byte, maxBody)), good...)
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			c.Data(whole[i : i+1])
		}
		if n, begun := c.Messages(); n != 1 && begun {
			t.Errorf("%d whole messages, another begun: %v", n, begun)
		}
	})
	if allocs > 80 || len(k.taken) != 1 || len(k.taken[0].Body) != maxBody {
		t.Errorf("%v allocations, %d taken", allocs, len(k.taken))
	}
	c, k, _ = newClient()
	read := append(execute(1, "small", good...), make([]byte, 3)...)
	c.Data(read)
	clear(read)
	if string(k.taken[0].Body) != "small" {
		t.Error("the body points into the read")
	}
}

// A keyed call's idempotency key and tenant reach the core as they came. What can't be passed on unchanged is failed,
// never served as something else; what no class needs may be absent.
func TestKeysAndTenantsAreTakenOrFailed(t *testing.T) {
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
		c, k, l := newClient()
		fields := append([]string{"later", "is ignored"}, good...)
		fields[3] = tt.class
		if tt.once != "-" {
			fields = append(fields, "once", tt.once)
		}
		if tt.tenant != "-" {
			fields = append(fields, "tenant", tt.tenant)
		}
		c.Data(execute(1, "body", fields...))
		if tt.fails != "" {
			if text := l.Wrote.String(); len(k.taken) != 0 || !strings.Contains(text, tt.fails) {
				t.Errorf("%+v: %d taken, answered %q", tt, len(k.taken), text)
			} else if _, field := outcome(t, l); field != 2 {
				t.Errorf("%+v: the answer has field %d", tt, field)
			}
			continue
		}
		if len(k.taken) != 1 {
			t.Errorf("%+v: not taken, answered %q", tt, l.Wrote.String())
			continue
		}
		if r := k.taken[0]; r.IdempotencyKey != strings.ReplaceAll(tt.once, "-", "") || r.Tenant != strings.ReplaceAll(tt.tenant, "-", "") {
			t.Errorf("%+v: taken as %+v", tt, r)
		}
	}
}

// Where the settings know no tenants, a client that names one is served as before.
func TestTenantsThatNoSettingsKnowAreIgnored(t *testing.T) {
	k, l := &core{}, &testutil.Transport{}
	f := New(k, Config{Classes: []Class{{Name: "repair-order"}}}, func() time.Duration { return time.Hour }, func() bool { return true })
	f.serve(l, netip.AddrPort{}).Data(execute(1, "", append([]string{"tenant", "anyone"}, good...)...))
	if len(k.taken) != 1 || k.taken[0].Tenant != "" {
		t.Errorf("taken %+v, answered %q", k.taken, l.Wrote.String())
	}
}
