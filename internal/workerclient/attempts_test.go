package workerclient

import (
	"errors"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
)

// Guards clients that leave while their request waits for a connection: what is withdrawn is not written when the dial
// comes up, nor moved to the next connection, and nobody is told of its end. What was written can't be withdrawn.
func TestRequestQueuedBehindADialIsWithdrawn(t *testing.T) {
	for _, end := range []string{"comes up", "fails", "ends under it"} {
		p := newTestPool()
		gone, stays := router.Attempt{Request: 1}, router.Attempt{Request: 2}
		p.StartAttempt(1, gone, newRequest("0123456789abcdef"), time.Second)
		p.StartAttempt(1, stays, newRequest("fedcba9876543210"), time.Second)
		if !p.WithdrawUnsent(1, gone) || p.WithdrawUnsent(1, gone) {
			t.Fatalf("%s: not taken back once", end)
		}
		transport := p.transports[0]
		switch end {
		case "comes up":
			transport.handler.DialCompleted(nil)
			if p.WithdrawUnsent(1, stays) {
				t.Error("a call that was written was taken back")
			}
		case "fails":
			transport.handler.DialCompleted(errors.New("refused"))
		case "ends under it":
			transport.handler.DialCompleted(nil)
			transport.Unsent = transport.Written.Len() // none of it left
			transport.handler.Closed(errors.New("reset"))
			p.transports[1].handler.DialCompleted(nil)
		}
		for _, transport := range p.transports {
			if strings.Contains(transport.Written.String(), "0123456789abcdef") {
				t.Errorf("%s: written all the same: %q", end, transport.Written.String())
			}
		}
		if len(p.recorder.outcomes[gone]) != 0 {
			t.Errorf("%s: ended as %v", end, p.recorder.outcomes[gone])
		}
		if sent := strings.Contains(p.transports[len(p.transports)-1].Written.String(), "fedcba9876543210"); sent == (end == "fails") {
			t.Errorf("%s: the other call was sent: %v", end, sent)
		}
	}
}

// Guards workers that may not be told of requests that are cancelled: they are not, and the id is not used again there.
func TestNoCancelIsSentWhereTheSettingsForbidIt(t *testing.T) {
	for _, may := range []bool{true, false} {
		p := newTestPool(func(cfg *Config) { cfg.CancelSupported = may })
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		transport := p.transports[0]
		transport.handler.DialCompleted(nil)
		p.CancelAttempt(1, a)
		if told := strings.Contains(transport.Written.String(), "STOP\r\n"); told != may {
			t.Errorf("may %v, told %v", may, told)
		}
		p.StartAttempt(1, router.Attempt{Request: 1, Number: 1}, newRequest("0123456789abcdef"), time.Second)
		if n := strings.Count(transport.Written.String(), "RUN\r\n"); n != 1 || len(p.transports) != 2 {
			t.Errorf("the id went %d times over one connection of %d", n, len(p.transports))
		}
	}
}
