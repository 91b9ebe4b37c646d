package eventloop

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A turn that is too long is logged with the parts that took most of it, and others are not. Guards against an event
// loop that stands still without a line that says what held it.
func TestLongTurnIsLoggedWithWhatRan(t *testing.T) {
	var out bytes.Buffer
	now := time.Duration(0)
	p := turnProfile{clock: func() time.Duration { return now }, logger: slog.New(slog.NewTextHandler(&out, nil))}
	turn := func(parts ...turnPart) {
		began := now
		p.begin(now)
		for _, part := range parts {
			now += part.took
			p.end(part.name)
		}
		p.endTurn(began, now)
	}
	turn(turnPart{"data", longTurn - time.Microsecond})
	if out.Len() > 0 {
		t.Errorf("a turn within the limit is logged: %s", &out)
	}
	turn(turnPart{"data", 30 * time.Millisecond}, turnPart{"reload", 7 * time.Second}, turnPart{"data", 40 * time.Millisecond},
		turnPart{"posted", time.Second})
	if want := `event=turn_was_long turn_us=8070000 ran="reload 7s, posted 1s" count=1`; !strings.Contains(strings.ReplaceAll(out.String(), "msg=", "event="), want) {
		t.Errorf("log %s, want %s", &out, want)
	}
	out.Reset()
	turn(turnPart{"data", longTurn})
	if out.Len() > 0 {
		t.Errorf("a second line within a second: %s", &out)
	}
	now += longTurnLogInterval
	turn(turnPart{"data", longTurn})
	if !strings.Contains(out.String(), "count=2") {
		t.Errorf("log %s, want a count of both turns", &out)
	}
}

// A posted call has its name and its time in the profile. Guards against a long turn that names nothing.
func TestPostedCallIsNamedInTheProfile(t *testing.T) {
	l := New(Config{MaxAccepted: 1, MaxDescriptors: 64, MaxQueuedBytes: 1, MaxUnreadBytes: 1})
	defer l.Close()
	l.PostNamed("slow", func() { time.Sleep(longTurn) })
	l.Post(l.Stop)
	l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now })
	if len(l.profile.parts) < 2 || l.profile.parts[0].name != "slow" || l.profile.parts[0].took < longTurn {
		t.Errorf("parts %v, want slow first with at least %v", l.profile.parts, longTurn)
	}
}
