package thrift

import (
	"bytes"
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"crankhold/internal/golden"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// The requests in testdata were written by hand from the definition of the protocol, so that the decoder is not tested
// with messages of this package's encoder.
const (
	goldenRequests = "testdata/requests.txt"
	goldenReplies  = "testdata/replies.txt"
	goldenErrors   = "testdata/error_replies.txt"

	allFieldsLabel = "call with every optional field"
)

var goldenPeer = netip.MustParseAddrPort("192.0.2.7:4711")

func newGoldenConnection() (*connection, *fakeCore, *testutil.Transport) {
	client, core, transport := newTestConnection()
	client.peer = goldenPeer
	return client, core, transport
}

// Each form of an execute is decoded to the expected request, of which all fields are compared.
func TestGoldenCallsAreDecoded(t *testing.T) {
	minimal := router.Request{
		Front:    router.Thrift,
		ID:       "9b1f03aa5c7e2d41",
		Class:    1,
		Function: router.Function{Key: "7f3a9c21e0b4d655", ID: policy.FunctionID(0x7f3a9c21e0b4d655)},
		Body:     []byte("body"),
		Deadline: time.Hour + 1460*time.Millisecond,
		Client:   router.Client{Address: goldenPeer},
	}
	withProps := minimal
	withProps.Function.MemoryMB = 512
	withProps.Function.Lanes = 2
	withProps.Function.LoadTime = 640 * time.Millisecond
	withOnce := minimal
	withOnce.Class = 2
	withOnce.IdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	withTenant := minimal
	withTenant.Tenant = "west"
	complete := withProps
	complete.Class = 2
	complete.IdempotencyKey = withOnce.IdempotencyKey
	complete.Tenant = "east"
	fractions := minimal
	fractions.Class = 0
	fractions.Deadline = time.Hour + 210500*time.Microsecond
	fractions.Function.MemoryMB = 0.5
	fractions.Function.Lanes = 0.25
	fractions.Function.LoadTime = 1500 * time.Microsecond
	withoutBody := minimal
	withoutBody.Body = nil
	emptyBody := minimal
	emptyBody.Body = []byte{}
	binaryBody := minimal
	binaryBody.Body = []byte("\x00\r\n\xff\x80")

	for _, test := range []struct {
		label string
		want  router.Request
	}{
		{"call with the required fields only", minimal},
		{"call with props", withProps},
		{"call with once", withOnce},
		{"call with tenant", withTenant},
		{allFieldsLabel, complete},
		{"call with fractions in wait and props", fractions},
		{"call without a body", withoutBody},
		{"call with an empty body", emptyBody},
		{"call with a binary body", binaryBody},
		{"call with unknown map keys", minimal},
		{"call with unknown fields of every type", minimal},
		{"call with the fields in reverse order", minimal},
	} {
		t.Run(test.label, func(t *testing.T) {
			client, core, transport := newGoldenConnection()
			client.Data(golden.FindMessage(t, goldenRequests, test.label))
			if len(core.accepted) != 1 || transport.Closed || transport.Written.Len() > 0 {
				t.Fatalf("%d requests, closed %v, wrote %q", len(core.accepted), transport.Closed, transport.Written.String())
			}
			got := core.accepted[0]
			if got.Responder == nil {
				t.Error("the request has no responder")
			}
			if got.Responder = nil; !reflect.DeepEqual(got, test.want) {
				t.Errorf("decoded\n%+v, want\n%+v", got, test.want)
			}
		})
	}
}

// An interrupt cancels the open request, whether its message is a call or oneway, and gets no reply.
func TestGoldenInterruptsCancelTheRequest(t *testing.T) {
	for _, label := range []string{"interrupt as a oneway message", "interrupt as a call"} {
		client, core, transport := newGoldenConnection()
		client.Data(golden.FindMessage(t, goldenRequests, allFieldsLabel))
		client.Data(golden.FindMessage(t, goldenRequests, label))
		if len(core.canceled) != 1 || core.canceled[0] != 1 || client.Busy() || transport.Closed || transport.Written.Len() > 0 {
			t.Errorf("%s: canceled %v, busy %v, closed %v, wrote %q", label, core.canceled, client.Busy(), transport.Closed, transport.Written.String())
		}
	}
}

// The replies to requests that the core accepts, and to a request over the limit, which it rejects, equal the golden
// file.
func TestGoldenReplies(t *testing.T) {
	var replies []golden.Message
	for _, test := range []struct {
		label    string
		response router.Response
	}{
		{"served", router.Response{Status: router.Served, Body: []byte("result")}},
		{"served with an empty body", router.Response{Status: router.Served}},
		{"served with a binary body", router.Response{Status: router.Served, Body: []byte("\x00\r\n\xff\x80")}},
		{"refused without a time to retry after", router.Response{Status: router.Rejected}},
		{"refused with a time to retry after", router.Response{Status: router.Rejected, RetryAfter: 1500 * time.Millisecond}},
		{"refused with a fraction of a millisecond", router.Response{Status: router.Rejected, RetryAfter: 2*time.Millisecond + 1}},
		{"failed", router.Response{Status: router.Failed}},
		{"failed and may have run", router.Response{Status: router.Failed, MayHaveRun: true}},
		{"failed when the time was over", router.Response{Status: router.Failed, DeadlineExceeded: true}},
	} {
		client, core, transport := newGoldenConnection()
		client.Data(golden.FindMessage(t, goldenRequests, allFieldsLabel))
		if len(core.accepted) != 1 {
			t.Fatalf("%s: %d requests", test.label, len(core.accepted))
		}
		core.accepted[0].Responder.Respond(test.response)
		replies = append(replies, golden.Message{Label: test.label, Bytes: transport.Written.Bytes()})
	}
	client, _, transport := newGoldenConnection()
	for seq := range uint32(64 + 1) { // a literal, so that a change of maxOpenRequests fails the test
		client.Data(executeFrame(seq+1, "", validFields...))
	}
	replies = append(replies, golden.Message{Label: "turned away beyond the limit of open calls", Bytes: transport.Written.Bytes()})
	golden.CompareMessages(t, goldenReplies, replies)
}

// The replies that the front sends without the core equal the golden file. A malformed message gets no reply, and its
// connection closes.
func TestGoldenErrorReplies(t *testing.T) {
	var replies []golden.Message
	for _, test := range []struct {
		label  string
		closes bool
	}{
		{"unknown class", false},
		{"malformed id", false},
		{"malformed key", false},
		{"malformed once", false},
		{"missing once of a keyed class", false},
		{"unknown tenant", false},
		{"malformed wait", false},
		{"malformed props", false},
		{"call without its map of fields", false},
		{"unknown method as a call", false},
		{"unknown method as a oneway message", false},
		{"check", false},
		{"check with an argument", false},
		{"interrupt of a call that is not open", false},
		{"sequence number zero", true},
		{"sequence number above the positive range", true},
		{"wrong version", true},
		{"method name over 64 bytes", true},
		{"method name longer than the frame", true},
		{"unknown type of a field", true},
		{"body longer than the frame", true},
		{"map of fields with a value that is no string", true},
		{"structs nested too deep", true},
		{"empty frame", true},
		{"execute as a oneway message", false},
		{"execute as a reply", true},
		{"execute as an exception", true},
		{"length of a frame over the limit", true},
	} {
		client, core, transport := newGoldenConnection()
		client.Data(golden.FindMessage(t, goldenRequests, test.label))
		if len(core.accepted) != 0 || transport.Closed != test.closes {
			t.Errorf("%s: %d requests, closed %v", test.label, len(core.accepted), transport.Closed)
		}
		replies = append(replies, golden.Message{Label: test.label, Bytes: bytes.Clone(transport.Written.Bytes())})
	}
	client, _, transport := newGoldenConnection()
	client.front.ready = func() bool { return false }
	client.Data(golden.FindMessage(t, goldenRequests, "check"))
	replies = append(replies, golden.Message{Label: "check when not ready", Bytes: transport.Written.Bytes()})
	golden.CompareMessages(t, goldenErrors, replies)
}

// A message exactly at a limit is accepted, and a message one over the limit closes the connection. The limits are
// literals, so that a changed constant fails the test.
func TestGoldenLimits(t *testing.T) {
	var pairs []string
	for range 64 - len(validFields)/2 {
		pairs = append(pairs, "name", "value")
	}
	for _, test := range []struct {
		label  string
		within []byte
		over   []byte
	}{
		{"body", executeFrame(1, strings.Repeat("x", 16<<10), validFields...), executeFrame(1, strings.Repeat("x", 16<<10+1), validFields...)},
		{"map of fields", executeFrame(1, "", append(pairs, validFields...)...), executeFrame(1, "", append(pairs, append([]string{"one", "more"}, validFields...)...)...)},
		{"sequence number", executeFrame(math.MaxInt32, "", validFields...), executeFrame(math.MaxInt32+1, "", validFields...)},
	} {
		for _, closes := range []bool{false, true} {
			client, core, transport := newGoldenConnection()
			message := test.within
			if closes {
				message = test.over
			}
			if client.Data(message); transport.Closed != closes || (len(core.accepted) == 1) == closes || transport.Written.Len() > 0 {
				t.Errorf("%s, over its limit %v: %d requests, closed %v, wrote %q", test.label, closes, len(core.accepted), transport.Closed, transport.Written.String())
			}
		}
	}
}
