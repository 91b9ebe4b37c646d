package benchmark

import "testing"

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
		t.Error("the bracket can be narrowed although no rate is known that the router does not keep up with")
	}
	b.narrow(measured(1000))
	for range kneeHalvings {
		rate, ok := b.middle()
		if !ok {
			t.Fatal("the bracket can't be narrowed")
		}
		b.narrow(measured(rate))
	}
	if b.sustained != 687 || b.unsustained != 750 {
		t.Errorf("the knee is between %d and %d, want 687 and 750", b.sustained, b.unsustained)
	}
}
