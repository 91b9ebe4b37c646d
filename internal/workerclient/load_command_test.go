package workerclient

import (
	"slices"
	"strings"
	"testing"
	"time"

	"crankhold/policy"
)

// Guards the drain rule for load commands: one queued behind a dial is not sent once its worker drains.
func TestQueuedLoadIsNotSentToADrainingWorker(t *testing.T) {
	p := newTestPool()
	p.Load(1, 5, 1, 9)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
	p.transports[0].handler.DialCompleted(nil)
	if got := p.transports[0].Written.String(); got != "" || len(p.recorder.commandOutcomes[9]) != 1 || p.recorder.commandOutcomes[9][0] != policy.Overloaded {
		t.Errorf("wrote %q, ended %v", got, p.recorder.commandOutcomes[9])
	}
}

// Guards the budget of load commands: one that waited for a dial is not sent where the requests that paid for it have left
// the budget's window meanwhile. One that is sent at once has just been decided on.
func TestQueuedLoadOverBudgetIsNotSent(t *testing.T) {
	for _, overBudget := range []bool{true, false} {
		p := newTestPool()
		p.recorder.overLoadBudget = overBudget
		p.Load(1, 5, 1, 9)
		p.Load(1, 5, 0, 10) // only asks
		p.SetNow(time.Second)
		transport := p.transports[0]
		transport.handler.DialCompleted(nil)
		if sent := strings.Contains(transport.Written.String(), "count=1"); sent == overBudget {
			t.Errorf("beyond its budget %v, sent %v", overBudget, sent)
		}
		if overBudget != slices.Equal(p.recorder.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
			t.Errorf("beyond its budget %v, ended %v", overBudget, p.recorder.commandOutcomes[9])
		}
		if !strings.Contains(transport.Written.String(), "count=0") {
			t.Error("the command that only asks was not sent")
		}
		if p.Load(1, 6, 1, 11); !strings.Contains(transport.Written.String(), "h11") {
			t.Error("a load that did not wait was not sent")
		}
	}
}
