package workerclient

import (
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
		p, s, transports := newPool()
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		l := (*transports)[0]
		l.handler.DialCompleted(nil)
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := l.Written.String(); got != want {
			t.Fatalf("wrote %q", got)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			l.handler.Data([]byte(text[:n]))
			text = text[n:]
		}
		if len(s.outcomes[a]) != 1 || s.outcomes[a][0] != policy.Served || string(s.results[a].Body) != body || l.Closed {
			t.Fatalf("ended %v with %q, closed %v", s.outcomes[a], s.results[a].Body, l.Closed)
		}
	})
}

func TestAnyBytesCloseTheirConnectionAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _, transports := newPool()
		p.CheckHealth(1, 1)
		l := (*transports)[0]
		l.handler.DialCompleted(nil)
		bits := rapid.SampledFrom([]string{"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n"})
		l.handler.Data([]byte(strings.Join(rapid.SliceOfN(bits, 0, 30).Draw(t, "bits"), "")))
	})
	p, _, transports := newPool()
	p.CheckHealth(1, 1)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	if l.handler.Data([]byte("*4\r\n$16449\r\n")); !l.Closed {
		t.Error("a bulk string over the cap was waited for")
	}
}

// Guards against a response that stops short on an open connection: no more bytes, or a few now and then
// that never make it whole.
func TestTruncatedResponseIsNotWaitedFor(t *testing.T) {
	p, s, transports := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", 1000))
	for i := range int(partialResponseTimeout/MaintenanceInterval) + 2 {
		p.Maintain(time.Hour + time.Duration(i)*MaintenanceInterval)
		if !l.Closed {
			l.handler.Data(whole[i*3 : i*3+3])
		}
	}
	if !l.Closed {
		t.Fatal("the rest of an answer is still waited for")
	}
	l.handler.Data(whole[3*(int(partialResponseTimeout/MaintenanceInterval)+2):]) // too late: nothing that follows counts
	if len(s.outcomes[a]) != 0 {
		t.Errorf("ended %v by what came after the close", s.outcomes[a])
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("00000000000000b2"), time.Second)
	if len(*transports) != 2 {
		t.Error("a call went to a connection that we closed")
	}
}

// Guards against copying the beginning of a response anew for each of its bytes.
func TestBeginningOfAResponseIsNotOverwritten(t *testing.T) {
	p, s, transports := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", maxBulkString-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			(*transports)[0].handler.Data(whole[i : i+1])
		}
	})
	if len(s.outcomes[a]) != 1 || allocs > 60 {
		t.Errorf("ended %v after %v allocations for %d bytes", s.outcomes[a], allocs, len(whole))
	}
}

// Guards other requests against a response that has begun and does not go on: what comes then goes over another connection,
// while one that is only in parts for a moment is used on.
func TestStalledResponseFailsNoOtherRequest(t *testing.T) {
	for _, tt := range []struct {
		after      time.Duration
		transports int
	}{{minSilenceBeforePing, 1}, {minSilenceBeforePing + time.Millisecond, 2}} {
		p, _, transports := newPool()
		p.SetNow(time.Hour)
		p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Second)
		(*transports)[0].handler.DialCompleted(nil)
		(*transports)[0].handler.Data([]byte("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nH"))
		p.SetNow(time.Hour + tt.after)
		p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("fedcba9876543210"), time.Second)
		if len(*transports) != tt.transports {
			t.Errorf("%v after an answer halted: %d connections", tt.after, len(*transports))
		}
	}
}
