package workerclient

import (
	"slices"
	"strings"
	"testing"
	"time"

	"crankhold/policy"
)

// A load command that is queued behind a dial is not sent after its worker has started to drain.
func TestQueuedLoadIsNotSentToADrainingWorker(t *testing.T) {
	p := newTestPool()
	p.Load(1, 5, 1, 9)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
	p.transports[0].handler.DialCompleted(nil)
	if got := p.transports[0].Written.String(); got != "" || len(p.recorder.commandOutcomes[9]) != 1 || p.recorder.commandOutcomes[9][0] != policy.Overloaded {
		t.Errorf("wrote %q, outcomes %v", got, p.recorder.commandOutcomes[9])
	}
}

// A load that waited for a dial is not sent if the requests that it was budgeted for have left the window of the load
// budget in the meantime. A load that is sent at once has just been decided on and is not checked again.
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
			t.Errorf("over budget %v, sent %v", overBudget, sent)
		}
		if overBudget != slices.Equal(p.recorder.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
			t.Errorf("over budget %v, outcomes %v", overBudget, p.recorder.commandOutcomes[9])
		}
		if !strings.Contains(transport.Written.String(), "count=0") {
			t.Error("the command that only asks was not sent")
		}
		if p.Load(1, 6, 1, 11); !strings.Contains(transport.Written.String(), "h11") {
			t.Error("a load that did not wait was not sent")
		}
	}
}
