package workerclient

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// writtenBudgets returns the budgets of all RUN commands that were written to a connection.
func writtenBudgets(t *testing.T, transport *fakeTransport) (budgets []time.Duration) {
	t.Helper()
	for _, match := range regexp.MustCompile(`budget=(\d+)`).FindAllStringSubmatch(transport.Written.String(), -1) {
		ms, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		budgets = append(budgets, time.Duration(ms)*time.Millisecond)
	}
	return budgets
}

// The budget in a RUN is what is left when the command is written: without the time spent waiting for a dial, and
// without the time spent on a connection that ended before the command was sent. If nothing is left, the command is not
// sent.
func TestBudgetIsWhatIsLeftWhenTheCommandIsWritten(t *testing.T) {
	const budget = time.Second
	for _, dialTime := range []time.Duration{0, 160 * time.Millisecond, 600 * time.Millisecond, budget} {
		t.Run(fmt.Sprint("dial of ", dialTime), func(t *testing.T) {
			p := newTestPool()
			a := router.Attempt{Request: 1}
			p.StartAttempt(1, a, newRequest("0123456789abcdef"), budget)
			p.SetNow(dialTime)
			transport := p.transports[0]
			transport.handler.DialCompleted(nil)
			if dialTime == budget {
				if got := writtenBudgets(t, transport); len(got) > 0 || len(p.recorder.outcomes[a]) != 1 || !p.recorder.outcomes[a][0].NeverRan() {
					t.Errorf("with nothing left: wrote budgets %v, outcomes %v", got, p.recorder.outcomes[a])
				}
				return
			}
			if got := writtenBudgets(t, transport); len(got) != 1 || got[0] != (budget-dialTime).Truncate(time.Millisecond) {
				t.Fatalf("wrote budgets %v after %v of %v", got, dialTime, budget)
			}
			transport.Unsent = transport.Written.Len()
			p.SetNow(dialTime + 200*time.Millisecond)
			transport.handler.Closed(errors.New("reset"))
			second := p.transports[1]
			second.handler.DialCompleted(nil)
			if got := writtenBudgets(t, second); len(got) != 1 || got[0] != (budget-dialTime-200*time.Millisecond).Truncate(time.Millisecond) {
				t.Errorf("wrote budgets %v when the command was sent again %v later", got, 200*time.Millisecond)
			}
		})
	}
}

// A canceled request is not sent again if its connection ends before it was sent. Without STOP, the request stays in
// flight until then.
func TestCanceledRequestIsNotResent(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.CancelSupported = false })
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
	transport := p.transports[0]
	transport.handler.DialCompleted(nil)
	if p.WithdrawUnsent(1, a) {
		t.Fatal("a request that was written was withdrawn")
	}
	transport.Unsent = transport.Written.Len()
	transport.handler.Closed(errors.New("reset"))
	if len(p.transports) > 1 || len(p.recorder.outcomes[a]) != 1 || p.recorder.outcomes[a][0] != policy.Unreachable {
		t.Errorf("%d connections, outcomes %v", len(p.transports), p.recorder.outcomes[a])
	}
}
