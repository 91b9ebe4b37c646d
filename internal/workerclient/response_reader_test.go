package workerclient

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/policy"
)

func TestResponsesAreReadHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		transport := p.transports[0]
		transport.handler.DialCompleted(nil)
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := transport.Written.String(); got != want {
			t.Fatalf("wrote %q", got)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			transport.handler.Data([]byte(text[:n]))
			text = text[n:]
		}
		if len(p.recorder.outcomes[a]) != 1 || p.recorder.outcomes[a][0] != policy.Served || string(p.recorder.results[a].Body) != body || transport.Closed {
			t.Fatalf("outcomes %v, body %q, closed %v", p.recorder.outcomes[a], p.recorder.results[a].Body, transport.Closed)
		}
	})
}

func TestArbitraryInputAtMostClosesTheConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		p.CheckHealth(1, 1)
		transport := p.transports[0]
		transport.handler.DialCompleted(nil)
		tokens := rapid.SampledFrom([]string{"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n"})
		transport.handler.Data([]byte(strings.Join(rapid.SliceOfN(tokens, 0, 30).Draw(t, "bits"), "")))
	})
	p := newTestPool()
	p.CheckHealth(1, 1)
	transport := p.transports[0]
	transport.handler.DialCompleted(nil)
	if transport.handler.Data([]byte("*4\r\n$16449\r\n")); !transport.Closed {
		t.Error("a bulk string over the size limit is awaited")
	}
}

// A response may remain incomplete on an open connection, whether no more bytes arrive or only a few at a time. The
// connection is closed after partialResponseTimeout.
func TestTruncatedResponseIsNotWaitedFor(t *testing.T) {
	p := newTestPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	transport := p.transports[0]
	transport.handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", 1000))
	for i := range int(partialResponseTimeout/MaintenanceInterval) + 2 {
		p.Maintain(time.Hour + time.Duration(i)*MaintenanceInterval)
		if !transport.Closed {
			transport.handler.Data(whole[i*3 : i*3+3])
		}
	}
	if !transport.Closed {
		t.Fatal("the rest of a response is still awaited")
	}
	transport.handler.Data(whole[3*(int(partialResponseTimeout/MaintenanceInterval)+2):]) // after the close, data is ignored
	if len(p.recorder.outcomes[a]) != 0 {
		t.Errorf("outcomes %v from data that arrived after the close", p.recorder.outcomes[a])
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("00000000000000b2"), time.Second)
	if len(p.transports) != 2 {
		t.Error("a request was sent over a connection that the pool had closed")
	}
}

// A partial response must not be copied again for each byte that arrives.
func TestPartialResponseIsBufferedWithFewAllocations(t *testing.T) {
	p := newTestPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", maxBulkString-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			p.transports[0].handler.Data(whole[i : i+1])
		}
	})
	if len(p.recorder.outcomes[a]) != 1 || allocs > 60 {
		t.Errorf("outcomes %v, %v allocations for %d bytes", p.recorder.outcomes[a], allocs, len(whole))
	}
}

// A response that has started to arrive and stalls must not fail other requests: new ones go over another connection. A
// connection with a response that is incomplete only for a moment is still used.
func TestStalledResponseFailsNoOtherRequest(t *testing.T) {
	for _, test := range []struct {
		after      time.Duration
		transports int
	}{{minSilenceBeforePing, 1}, {minSilenceBeforePing + time.Millisecond, 2}} {
		p := newTestPool()
		p.SetNow(time.Hour)
		p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Second)
		p.transports[0].handler.DialCompleted(nil)
		p.transports[0].handler.Data([]byte("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nH"))
		p.SetNow(time.Hour + test.after)
		p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("fedcba9876543210"), time.Second)
		if len(p.transports) != test.transports {
			t.Errorf("%v after a response stalled: %d connections", test.after, len(p.transports))
		}
	}
}

func TestIncompleteResponseIsTimedFromItsFirstByte(t *testing.T) {
	var reader responseReader
	decode := func(unread []byte) (size int, err error) { return bytes.IndexByte(unread, '\n') + 1, nil }
	for _, test := range []struct {
		at            time.Duration
		data          string
		incompleteFor time.Duration // a second later
	}{
		{time.Second, "one\n", 0},
		{2 * time.Second, "tw", time.Second},
		{3 * time.Second, "o", 2 * time.Second},
		{4 * time.Second, "\nthr", time.Second}, // the start of another response
		{5 * time.Second, "ee\n", 0},
	} {
		if err := reader.feed(test.at, []byte(test.data), decode); err != nil {
			t.Fatal(err)
		}
		if got := reader.incompleteFor(test.at + time.Second); got != test.incompleteFor {
			t.Errorf("%q: incomplete for %v, want %v", test.data, got, test.incompleteFor)
		}
	}
}
