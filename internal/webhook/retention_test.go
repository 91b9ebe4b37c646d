package webhook

import (
	"testing"
	"time"

	"crankhold/internal/testutil"
)

func TestRetentionWindow(t *testing.T) {
	window := retentionWindow{
		clock:     newDeliveryClock(testutil.Clock(time.Hour), wallAtNoon),
		retention: time.Hour,
		tolerance: time.Minute,
	}
	for _, test := range []struct {
		age, horizonAge time.Duration // before noon
		want            bool
	}{
		{0, 24 * time.Hour, true},
		{-time.Minute, 24 * time.Hour, true},
		{-time.Minute - 1, 24 * time.Hour, false}, // from the future
		{58 * time.Minute, 24 * time.Hour, true},
		{58*time.Minute + 1, 24 * time.Hour, false}, // two tolerances before the ledger removes it
		{time.Minute, time.Minute, false},           // it may have been removed from the ledger
		{time.Minute - 1, time.Minute, true},
	} {
		window.horizon = noon.Add(-test.horizonAge)
		if got := window.contains(noon.Add(-test.age)); got != test.want {
			t.Errorf("order of age %v, with a horizon %v before noon: %v", test.age, test.horizonAge, got)
		}
	}
}
