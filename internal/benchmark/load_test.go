package benchmark

import (
	"errors"
	"io"
	"testing"
	"time"
)

// validLoad returns a load that is within all bounds.
func validLoad() Load {
	return Load{
		Target:  TargetFlags{Addr: "127.0.0.1:80"},
		Pace:    PaceFlags{Rate: 1, Length: time.Second},
		Traffic: TrafficFlags{Connections: 1, Functions: 1},
	}
}

// The load tool must do no harm to other machines: it sends to loopback addresses only, and only within its bounds.
func TestLoadIsRejectedOutOfBounds(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Load)
		want   error
	}{
		{"another machine", func(l *Load) { l.Target.Addr = "10.1.2.3:80" }, errNotLoopback},
		{
			"a webhook without a port",
			func(l *Load) { l.Target = TargetFlags{HookURL: "http://127.0.0.1/hooks"} },
			errNoAddress,
		},
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
