package benchmark

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// validLoad returns a load that is within all bounds.
func validLoad() Load {
	return Load{
		Target:  TargetFlags{Addr: "127.0.0.1:80"},
		Pace:    PaceFlags{Rate: 1, Length: time.Second},
		Traffic: TrafficFlags{Connections: 1, Functions: 1},
	}
}

func TestCheckLoopbackAcceptsLoopbackAddressesAlone(t *testing.T) {
	for addr, ok := range map[string]bool{
		"127.0.0.1:80":         true,
		"127.9.9.9:80":         true,
		"[::1]:80":             true,
		"10.0.0.1:80":          false,
		"192.168.0.1:80":       false,
		"0.0.0.0:80":           false,
		"example.org:80":       false,
		"localhost:80":         false,
		"127.0.0.1":            false,
		"[::ffff:10.0.0.1]:80": false,
	} {
		if err := checkLoopback(addr); (err == nil) != ok {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

// Guards the world from the load tool: it sends to loopback addresses alone, and within bounds.
func TestLoadIsRejectedOutOfBounds(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Load)
		want   error
	}{
		{"another machine", func(l *Load) { l.Target.Addr = "10.1.2.3:80" }, errNotLoopback},
		{"a webhook without a port", func(l *Load) { l.Target = TargetFlags{HookURL: "http://127.0.0.1/hooks"} }, errNoAddress},
		{"a rate too high", func(l *Load) { l.Pace.Rate = maxRate + 1 }, errOutOfBounds},
		{"two hours", func(l *Load) { l.Pace = PaceFlags{Rate: 1, Length: time.Hour, Steps: 2} }, errOutOfBounds},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := validLoad()
			tt.change(&l)
			if err := l.Run(io.Discard); !errors.Is(err, tt.want) {
				t.Errorf("%v, want %v", err, tt.want)
			}
		})
	}
}

func TestConnectionsAreClosedAtTheEndOfALoad(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	target, err := Load{
		Target:  TargetFlags{Addr: listener.Addr().String()},
		Traffic: TrafficFlags{Connections: 3},
	}.connect()
	if err != nil {
		t.Fatal(err)
	}
	target.close()
	for range 3 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection stays: %v", err)
		}
	}
}

func TestRampRates(t *testing.T) {
	for _, tt := range []struct {
		name string
		pace PaceFlags
		want []int
	}{
		{"one rate", PaceFlags{Rate: 500, Steps: 5}, []int{500}},
		{"a ramp", PaceFlags{Rate: 500, FinalRate: 1000, Steps: 3}, []int{500, 750, 1000}},
		{"a ramp of one step", PaceFlags{Rate: 500, FinalRate: 1000, Steps: 1}, []int{500}},
	} {
		t.Run(tt.name, func(t *testing.T) { expectEqual(t, tt.pace.rates(), tt.want) })
	}
}

// cappedSender serves some of each hundred requests at once, and rejects the others.
type cappedSender struct {
	serve int // of each hundred requests
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
		t.Errorf("sent %d, served %d, rejected %d, lost %d, keeps up %v", m.sent, m.served, m.rejected, m.lost, m.keepsUp())
	}
}

func TestBracketNarrowsToTheKnee(t *testing.T) {
	measured := func(rate int) *measurement {
		m := newMeasurement(rate)
		m.sent = 100
		if rate <= 700 {
			m.served = 100
		}
		return m
	}
	var b bracket
	for _, rate := range []int{250, 500} {
		b.narrow(measured(rate))
	}
	if _, ok := b.middle(); ok {
		t.Error("a knee without a rate that the router does not keep up with")
	}
	b.narrow(measured(1000))
	for range kneeHalvings {
		rate, ok := b.middle()
		if !ok {
			t.Fatal("it can't be narrowed")
		}
		b.narrow(measured(rate))
	}
	if b.sustained != 687 || b.unsustained != 750 {
		t.Errorf("between %d and %d", b.sustained, b.unsustained)
	}
}
