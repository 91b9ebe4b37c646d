package benchmark

import (
	"io"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// cappedSender serves some of each hundred requests immediately, and rejects the others.
type cappedSender struct {
	serve int // how many of each hundred requests are served
	sent  int
}

func (s *cappedSender) send(_, _ string, done func(fake.ResponseStatus)) {
	s.sent++
	if s.sent%100 < s.serve {
		done(fake.Served)
	} else {
		done(fake.Rejected)
	}
}

func (s *cappedSender) close() {}

func TestMeasurementCountsResponses(t *testing.T) {
	l := validLoad()
	l.Pace.Length = 100 * time.Millisecond
	run := &loadRun{Load: l, target: &loadTarget{sender: &cappedSender{serve: 90}}, out: io.Discard}
	m, err := run.measure(5000)
	if err != nil {
		t.Fatal(err)
	}
	if m.sent != 500 || m.served != 450 || m.rejected != 50 || m.lost != 0 || m.keepsUp() {
		t.Errorf("sent %d, served %d, rejected %d, lost %d, keeps up %v",
			m.sent, m.served, m.rejected, m.lost, m.keepsUp())
	}
}
