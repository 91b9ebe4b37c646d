package benchmark

import (
	"fmt"
	"io"
)

// kneeHalvings is how many times the gap is halved between a rate that the router keeps up with and one that it does
// not.
const kneeHalvings = 3

// bracket holds the two rates between which the knee is. A rate of 0 is not known yet.
type bracket struct {
	sustained   int // the highest measured rate that the router kept up with
	unsustained int // the lowest measured rate that it did not keep up with
}

// narrow moves one end of the bracket to the rate of a measurement.
func (b *bracket) narrow(m *measurement) {
	if m.keepsUp() {
		b.sustained = m.rate
	} else {
		b.unsustained = m.rate
	}
}

// middle returns the rate to measure next, or false if the bracket can't be narrowed.
func (b *bracket) middle() (rate int, ok bool) {
	rate = (b.sustained + b.unsustained) / 2
	return rate, b.unsustained != 0 && rate != b.sustained
}

// knee finds the highest rate that the router keeps up with, and then measures at 50 and 80% of it.
func (l *loadRun) knee() error {
	if err := l.warmUp(); err != nil {
		return err
	}
	knee, err := l.findKnee()
	if err != nil {
		return err
	}
	f := &figures{}
	f.require("knee", knee, knee > 0)
	if knee == 0 {
		return f.print(l.out)
	}
	for _, percent := range []int{50, 80} {
		m, err := l.measure(knee * percent / 100)
		if err != nil {
			return err
		}
		f.add(fmt.Sprintf("p999_ms_at_%d", percent), m.latencyPercentile(99.9))
		f.require(fmt.Sprintf("lost_at_%d", percent), m.lost, m.lost == 0)
		if m.cores > 0 {
			f.add(fmt.Sprintf("calls_per_core_at_%d", percent), float64(m.rate)/m.cores)
		}
	}
	return f.print(l.out)
}

// warmUp sends a load at the first rate, so that replicas are loaded and connections are open. It prints no row.
func (l *loadRun) warmUp() error {
	warm := *l
	warm.out = io.Discard
	warm.log = nil
	_, err := warm.measure(l.Pace.Rate)
	return err
}

// findKnee doubles the rate until the router no longer keeps up, and then halves the gap several times. It returns the
// highest rate that the router kept up with. It returns 0 if the router kept up with none.
func (l *loadRun) findKnee() (rate int, err error) {
	var b bracket
	for rate := l.Pace.Rate; b.unsustained == 0 && rate <= maxRate; rate *= 2 {
		m, err := l.measure(rate)
		if err != nil {
			return 0, err
		}
		b.narrow(m)
	}
	for range kneeHalvings {
		rate, ok := b.middle()
		if !ok {
			break
		}
		m, err := l.measure(rate)
		if err != nil {
			return 0, err
		}
		b.narrow(m)
	}
	return b.sustained, nil
}
