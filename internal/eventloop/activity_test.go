package eventloop

import (
	"testing"
	"time"
)

// How long a client may stay silent depends on what is expected of it: a first message, the rest of a message, reading
// a response, or nothing.
func TestTimeoutDependsOnClientState(t *testing.T) {
	const start = epoch
	for name, c := range map[string]struct {
		activity  clientActivity
		hasUnread bool
		timeout   time.Duration
	}{
		"no message":         {clientActivity{activeAt: start}, false, messageTimeout},
		"part of a message":  {clientActivity{messages: 1, partialSince: start}, false, messageTimeout},
		"idle":               {clientActivity{messages: 1, activeAt: start}, false, idleTimeout},
		"reads its response": {clientActivity{messages: 1, activeAt: start, partialSince: start}, true, idleTimeout},
	} {
		if c.activity.timedOut(start+c.timeout, c.hasUnread) || !c.activity.timedOut(start+c.timeout+1, c.hasUnread) {
			t.Errorf("%s: does not time out after %v", name, c.timeout)
		}
	}
}
