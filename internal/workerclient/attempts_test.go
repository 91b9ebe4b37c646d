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
		p, s, transports := newPool()
		gone, stays := router.Attempt{Request: 1}, router.Attempt{Request: 2}
		p.StartAttempt(1, gone, newRequest("0123456789abcdef"), time.Second)
		p.StartAttempt(1, stays, newRequest("fedcba9876543210"), time.Second)
		if !p.WithdrawUnsent(1, gone) || p.WithdrawUnsent(1, gone) {
			t.Fatalf("%s: not taken back once", end)
		}
		l := (*transports)[0]
		switch end {
		case "comes up":
			l.handler.DialCompleted(nil)
			if p.WithdrawUnsent(1, stays) {
				t.Error("a call that was written was taken back")
			}
		case "fails":
			l.handler.DialCompleted(errors.New("refused"))
		case "ends under it":
			l.handler.DialCompleted(nil)
			l.Unsent = l.Written.Len() // none of it left
			l.handler.Closed(errors.New("reset"))
			(*transports)[1].handler.DialCompleted(nil)
		}
		for _, l := range *transports {
			if strings.Contains(l.Written.String(), "0123456789abcdef") {
				t.Errorf("%s: written all the same: %q", end, l.Written.String())
			}
		}
		if len(s.outcomes[gone]) != 0 {
			t.Errorf("%s: ended as %v", end, s.outcomes[gone])
		}
		if sent := strings.Contains((*transports)[len(*transports)-1].Written.String(), "fedcba9876543210"); sent == (end == "fails") {
			t.Errorf("%s: the other call was sent: %v", end, sent)
		}
	}
}

// Guards workers that may not be told of requests that are cancelled: they are not, and the id is not used again there.
func TestNoCancelIsSentWhereTheSettingsForbidIt(t *testing.T) {
	for _, may := range []bool{true, false} {
		p, _, transports := newPool()
		p.cfg.CancelSupported = may
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		l := (*transports)[0]
		l.handler.DialCompleted(nil)
		p.CancelAttempt(1, a)
		if told := strings.Contains(l.Written.String(), "STOP\r\n"); told != may {
			t.Errorf("may %v, told %v", may, told)
		}
		p.StartAttempt(1, router.Attempt{Request: 1, Number: 1}, newRequest("0123456789abcdef"), time.Second)
		if n := strings.Count(l.Written.String(), "RUN\r\n"); n != 1 || len(*transports) != 2 {
			t.Errorf("the id went %d times over one connection of %d", n, len(*transports))
		}
	}
}
