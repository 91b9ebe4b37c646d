package workerclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// The idempotency key is sent to the worker unchanged. Without a key there is no such field.
func TestIdempotencyKeysGoToTheWorker(t *testing.T) {
	for _, key := range []string{"", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"} {
		p := newTestPool()
		r := newRequest("0123456789abcdef")
		r.IdempotencyKey = key
		p.StartAttempt(1, router.Attempt{Request: 1}, r, time.Second)
		p.transports[0].handler.DialCompleted(nil)
		got := p.transports[0].Written.String()
		if strings.Contains(got, ",uniq="+key+"\r\n") != (key != "") || strings.Contains(got, "uniq") != (key != "") {
			t.Errorf("key %q: wrote %q", key, got)
		}
	}
}

// The field crowd is read from every response that has it. An invalid value is ignored: the response still completes
// its request, and the connection stays open.
func TestConcurrencyReportsAreReadOrIgnored(t *testing.T) {
	for fields, want := range map[string]int{
		"detail=hot,crowd=3": 3, "crowd=0": 0, "-": 0, "detail=hot": 0, "crowd=1048576": 1 << 20,
		"crowd=-1": 0, "crowd=": 0, "crowd=many": 0, "crowd=1.5": 0, "crowd=99999999999999999999": 0, "crowd=1048577": 0,
	} {
		for status, outcome := range map[string]policy.Outcome{"HIT": policy.Served, "SHED": policy.Overloaded} {
			p := newTestPool()
			a := router.Attempt{Request: 1}
			p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
			transport := p.transports[0]
			transport.handler.DialCompleted(nil)
			transport.handler.Data(fmt.Appendf(nil, "*4\r\n$16\r\n0123456789abcdef\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$0\r\n\r\n", len(status), status, len(fields), fields))
			if len(p.recorder.outcomes[a]) != 1 || p.recorder.outcomes[a][0] != outcome || p.recorder.results[a].Concurrency != want || transport.Closed {
				t.Errorf("%s %s: outcomes %v, result %+v, closed %v", status, fields, p.recorder.outcomes[a], p.recorder.results[a], transport.Closed)
			}
		}
	}
}
