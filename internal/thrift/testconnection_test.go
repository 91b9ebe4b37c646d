package thrift

import (
	"encoding/binary"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// fakeCore records the requests that it receives.
type fakeCore struct {
	accepted []router.Request
	canceled []policy.RequestID
	rejected int
}

func (c *fakeCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	c.accepted = append(c.accepted, r)
	return policy.RequestID(len(c.accepted))
}
func (c *fakeCore) RejectAtCapacity(_ time.Duration, r router.Request) {
	c.rejected++
	r.Responder.Respond(router.Response{Status: router.Rejected})
}
func (c *fakeCore) CancelRequest(_ time.Duration, id policy.RequestID) {
	c.canceled = append(c.canceled, id)
}

// newTestConnection returns a connection of a front that has two tenants, and classes with and without a required
// idempotency key.
func newTestConnection() (*connection, *fakeCore, *testutil.Transport) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	front := New(core, Config{Classes: []Class{{Name: "dim-level"}, {Name: "repair-order"}, {Name: "extend", RequiresIdempotencyKey: true}}, Tenants: []string{"east", "west"}}, testutil.Clock(time.Hour), func() bool { return true })
	return front.serve(transport, netip.AddrPort{}), core, transport
}

// executeFrame returns the frame of an execute. fields holds keys and values in turn.
func executeFrame(seq uint32, body string, fields ...string) []byte {
	b := appendMessageHeader(nil, messageCall, "execute", seq)
	b = appendStringMap(appendField(b, wireMap, 1), fields...)
	b = appendString(appendField(b, wireString, 2), body)
	return writeFrameLength(append(b, wireStop), 0)
}

var validFields = []string{"class", "repair-order", "id", "9b1f03aa5c7e2d41", "wait", "1500", "key", "7f3a9c21e0b4d655",
	"props", "memory_mb:512;lanes:2;load_ms:640"}

// readReply removes the first frame from the written bytes. It returns the sequence number of the reply and the id of
// the field in its result.
func readReply(t rapid.TB, transport *testutil.Transport) (seq uint32, field uint16) {
	t.Helper()
	b := transport.Written.Bytes()
	if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
		t.Fatalf("wrote %x", b)
	}
	size := 4 + int(binary.BigEndian.Uint32(b))
	d := decoder{remaining: b[4:size]}
	header, err := d.messageHeader()
	field = 99
	if err == nil && header.kind == messageReply {
		err = d.arguments(func(typ byte, id uint16) bool { field = id; return false })
	}
	if err != nil {
		t.Fatalf("wrote %x: %v", b, err)
	}
	transport.Written.Next(size)
	return header.sequence, field
}
