package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random schedules keep the rules of a race: at most MaxDialsPerRace dials are in progress, each address is dialed at
// most once, a dial is due at once if none is in progress, there is one winner, and the race is reported as lost at most
// once, only when no address and no dial in progress is left.
func TestDialRaceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Addr
		for i := range rapid.IntRange(1, MaxAddresses).Draw(t, "addresses") {
			list = append(list, Addr{TCP4, fmt.Sprint(i)})
		}
		dialTimeout, budget := 250*ms, time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*ms
		r, now := NewDialRace(list, dialTimeout, budget), time.Duration(0)
		var dialed []Addr
		inProgress, succeeded, lost, lastDialAt := 0, 0, false, time.Duration(0)
		for range 200 {
			mayOverlap := rapid.Bool().Draw(t, "mayOverlap")
			if a, ok := r.Next(now, mayOverlap); ok {
				if lost || succeeded > 0 || slices.Contains(dialed, a) || inProgress > 0 && (!mayOverlap || now-lastDialAt < ms) {
					t.Fatalf("dials %v: lost %v, %d succeeded, dialed %v, %d in progress, may overlap %v", a, lost, succeeded, dialed, inProgress, mayOverlap)
				}
				dialed = append(dialed, a)
				inProgress++
				lastDialAt = now
			} else if inProgress == 0 && succeeded == 0 && len(dialed) < len(list) {
				t.Fatal("no dial is in progress, addresses are left, and none is dialed")
			}
			if inProgress > MaxDialsPerRace || r.InProgress() != inProgress {
				t.Fatalf("%d dials in progress, %d counted", inProgress, r.InProgress())
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if inProgress > 0 {
					inProgress--
					if r.DialFailed() {
						if lost || succeeded > 0 || len(dialed) < len(list) || inProgress > 0 {
							t.Fatal("the race is reported as lost while it is not")
						}
						lost = true
					}
				}
			case 1:
				if inProgress > 0 {
					inProgress--
					if r.DialSucceeded() != (succeeded == 0) {
						t.Fatal("two winners")
					}
					succeeded++
				}
			default:
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "passes")) * ms
			}
		}
		if budget > 0 && len(list) > 1 && r.delay > max(budget/time.Duration(2*len(list)), ms) {
			t.Fatalf("%v between dials, with %v left for %d addresses", r.delay, budget, len(list))
		}
	})
}
