package workerclient

import (
	"errors"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
)

// A client may disconnect while its request waits for a connection. A withdrawn request is not written when the dial
// succeeds, is not resent over the next connection and has no result. A request that was written can no longer be
// withdrawn.
func TestQueuedRequestIsWithdrawn(t *testing.T) {
	for _, end := range []string{"dial succeeds", "fails", "connection ends"} {
		p := newTestPool()
		withdrawn := router.Attempt{Request: 1}
		other := router.Attempt{Request: 2}
		p.StartAttempt(1, withdrawn, newRequest("0123456789abcdef"), time.Second)
		p.StartAttempt(1, other, newRequest("fedcba9876543210"), time.Second)
		if !p.WithdrawUnsent(1, withdrawn) || p.WithdrawUnsent(1, withdrawn) {
			t.Fatalf("%s: the request was not withdrawn exactly once", end)
		}
		transport := p.transports[0]
		switch end {
		case "dial succeeds":
			transport.handler.DialCompleted(nil)
			if p.WithdrawUnsent(1, other) {
				t.Error("a request that was written was withdrawn")
			}
		case "fails":
			transport.handler.DialCompleted(errors.New("refused"))
		case "connection ends":
			transport.handler.DialCompleted(nil)
			transport.Unsent = transport.Written.Len() // none of it was sent
			transport.handler.Closed(errors.New("reset"))
			p.transports[1].handler.DialCompleted(nil)
		}
		for _, transport := range p.transports {
			if strings.Contains(transport.Written.String(), "0123456789abcdef") {
				t.Errorf("%s: the withdrawn request was written: %q", end, transport.Written.String())
			}
		}
		if len(p.recorder.outcomes[withdrawn]) != 0 {
			t.Errorf("%s: the withdrawn request has outcomes %v", end, p.recorder.outcomes[withdrawn])
		}
		if sent := strings.Contains(p.transports[len(p.transports)-1].Written.String(), "fedcba9876543210"); sent == (end == "fails") {
			t.Errorf("%s: the other request was sent: %v", end, sent)
		}
	}
}

// No STOP is sent if the settings do not allow it. In either case the id of a canceled request is not used again on its
// connection.
func TestNoStopIsSentIfCancelIsUnsupported(t *testing.T) {
	for _, supported := range []bool{true, false} {
		p := newTestPool(func(cfg *Config) { cfg.CancelSupported = supported })
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		transport := p.transports[0]
		transport.handler.DialCompleted(nil)
		p.CancelAttempt(1, a)
		if sent := strings.Contains(transport.Written.String(), "STOP\r\n"); sent != supported {
			t.Errorf("cancel supported %v, STOP sent %v", supported, sent)
		}
		p.StartAttempt(1, router.Attempt{Request: 1, Number: 1}, newRequest("0123456789abcdef"), time.Second)
		if count := strings.Count(transport.Written.String(), "RUN\r\n"); count != 1 || len(p.transports) != 2 {
			t.Errorf("the id was written %d times over the first of %d connections", count, len(p.transports))
		}
	}
}
