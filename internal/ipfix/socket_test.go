package ipfix

import (
	"errors"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/testutil"
)

// A socket that was closed, or whose dial has failed, is opened again after the redial delay, and only once.
func TestSocketIsOpenedAgainAfterTheRedialDelay(t *testing.T) {
	dials := 0
	exporter := New(ExporterConfig{
		WallClock: func() time.Time { return noon },
		Dial: func(eventloop.DialHandler) Transport {
			dials++
			return &testutil.Transport{}
		},
	})
	tick := func(now time.Duration, wantDials int, wantNext time.Duration) {
		t.Helper()
		if next := exporter.Tick(now); dials != wantDials || next != wantNext {
			t.Errorf("at %v: %d dials, next tick at %v, want %d and %v", now, dials, next, wantDials, wantNext)
		}
	}
	now := time.Hour
	tick(now, 1, now+redialDelay)
	tick(now+redialDelay, 1, now+redialDelay) // the dial has not completed
	exporter.DialCompleted(errors.New("refused"))
	now += redialDelay
	tick(now, 1, now+redialDelay)
	now += redialDelay
	tick(now, 2, now+redialDelay)
	exporter.DialCompleted(nil)
	tick(now, 2, now+flushInterval)
	exporter.Closed(nil)
	tick(now, 2, now+redialDelay)
}
