package webhook

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/internal/signature"
	"crankhold/internal/testutil"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration       { return c.now }
func (c *manualClock) ArrivedAt() time.Duration { return c.now }

// steppedReceiver is a receiver with a wall clock that the test can step.
type steppedReceiver struct {
	*Receiver
	disk  *faultyDisk // of the ledger
	t     *testing.T
	core  *fakeCore
	clock *manualClock
	wall  time.Time
	posts chan func()
}

const testRetention = 90 * time.Minute

// newSteppedReceiver returns a receiver whose wall clock starts at wall, and whose ledger retains orders for
// testRetention.
func newSteppedReceiver(t *testing.T, path string, wall time.Time) *steppedReceiver {
	t.Helper()
	s := &steppedReceiver{disk: &faultyDisk{}, t: t, core: &fakeCore{}, clock: &manualClock{time.Hour}, wall: wall, posts: make(chan func(), 100)}
	config := testConfig(path)
	config.Receiver.Ledger.Retention = testRetention
	receiver, err := newReceiver(testOptions(config, s.core, s.clock, func() time.Time { return s.wall }, func(f func()) { s.posts <- f }), s.disk)
	if err != nil {
		t.Fatal(err)
	}
	receiver.authenticator.keys = []signature.Key{{Secret: activeSecret}}
	s.Receiver = receiver
	return s
}

// advance advances both clocks, like real time does, and removes expired outcomes.
func (s *steppedReceiver) advance(span time.Duration) {
	s.clock.now += span
	s.wall = s.wall.Add(span)
	s.Sweep(s.clock.now)
}

// deliver delivers an order with the time of its event and the time of its signature. If the order reaches the core, it
// is served. deliver returns the status of the response.
func (s *steppedReceiver) deliver(id string, event, signed time.Time) int {
	s.t.Helper()
	transport := &testutil.Transport{}
	accepted := len(s.core.accepted)
	s.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, id, signed, requestPayload("repair-order", "x", event)))
	if transport.Written.Len() == 0 {
		(<-s.posts)()
	}
	for _, request := range s.core.accepted[accepted:] {
		request.Responder.Respond(router.Response{Status: router.Served, Body: []byte("done"), MayHaveRun: true})
	}
	got := statuses(s.t, transport)
	if len(got) != 1 {
		s.t.Fatalf("responses %v", got)
	}
	return got[0]
}

// After the wall clock was stepped, an order is still known within its retention, and a new delivery is accepted,
// whether or not the sender's clock was stepped too. The retention is measured in real time: when it has passed, the
// order is forgotten.
func TestWallClockStepDoesNotAffectDeduplication(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			s := newSteppedReceiver(t, filepath.Join(t.TempDir(), "ledger"), noon)
			defer s.Close()
			if got := s.deliver("first", noon, noon); got != 200 || len(s.core.accepted) != 1 {
				t.Fatalf("response %d, %d requests", got, len(s.core.accepted))
			}
			s.advance(40 * time.Minute)
			s.wall = s.wall.Add(step)
			s.Sweep(s.clock.now)
			steady := noon.Add(40 * time.Minute)
			for name, signed := range map[string]time.Time{"not stepped": steady, "stepped": s.wall} {
				if got := s.deliver("first", noon, signed); got != 200 || len(s.core.accepted) != 1 {
					t.Errorf("redelivery, sender's clock %s: response %d, %d requests", name, got, len(s.core.accepted))
				}
			}
			if got := s.deliver("not-stepped", steady, steady); got != 200 {
				t.Errorf("new order, sender's clock not stepped: response %d", got)
			}
			if got := s.deliver("stepped", s.wall, s.wall); got != 200 {
				t.Errorf("new order, sender's clock stepped: response %d", got)
			}
			s.advance(testRetention)
			if s.outcomes.find("first") != nil {
				t.Error("the order is still kept after its retention")
			}
			ran := len(s.core.accepted)
			if got := s.deliver("first", noon, steady.Add(testRetention)); got != 400 || len(s.core.accepted) != ran {
				t.Errorf("redelivery after the retention: response %d, %d more requests", got, len(s.core.accepted)-ran)
			}
		})
	}
}

// An order that was removed from the ledger after its retention must not run again, even if the wall clock is then
// stepped back into the retention and the program restarts.
func TestForgottenOrderDoesNotRunAfterWallClockStepsBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	s := newSteppedReceiver(t, path, noon)
	if got := s.deliver("first", noon, noon); got != 200 {
		t.Fatalf("response %d", got)
	}
	s.advance(testRetention + time.Minute)
	s.Close()
	newSteppedReceiver(t, path, s.wall).Close() // compacts the ledger, which removes the order
	stepped := newSteppedReceiver(t, path, s.wall.Add(-20*time.Minute))
	defer stepped.Close()
	if got := stepped.deliver("first", noon, stepped.wall); len(stepped.core.accepted) > 0 {
		t.Errorf("the order ran again: response %d", got)
	}
}

// After a failed write, the ledger records orders again once its disk works. Orders that were rejected in the meantime
// count as not run, and the outcome of an order that was served in the meantime is recorded.
func TestLedgerRecoversAfterAFailedWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	s := newSteppedReceiver(t, path, noon)
	served := &testutil.Transport{}
	s.serve(served, netip.AddrPort{}).Data(signedDelivery(activeSecret, "served", noon, requestPayload("repair-order", "x", noon)))
	(<-s.posts)()
	s.disk.failOpenFile()
	s.core.accepted[0].Responder.Respond(router.Response{Status: router.Served, Body: []byte("done"), MayHaveRun: true})
	rejected := 0
	for start := time.Now(); ; rejected++ {
		if status := s.deliver("order-"+strconv.Itoa(rejected), noon, noon); status == 200 {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal("the ledger still records no orders after ten seconds")
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.Close()
	restarted := newSteppedReceiver(t, path, noon)
	defer restarted.Close()
	if got := restarted.deliver("served", noon, noon); got != 200 || len(restarted.core.accepted) > 0 {
		t.Errorf("the order that was served while the disk failed: response %d, %d requests", got, len(restarted.core.accepted))
	}
	for i := range rejected {
		if got := restarted.deliver("order-"+strconv.Itoa(i), noon, noon); got != 200 {
			t.Errorf("order %d of %d that were rejected: response %d", i, rejected, got)
		}
	}
	if ran := len(restarted.core.accepted); ran != rejected {
		t.Errorf("%d of %d rejected orders ran", ran, rejected)
	}
}
