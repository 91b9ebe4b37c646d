package stats

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func Example() {
	// Queueing delay in milliseconds, by the number of requests in flight.
	var delay Regression
	for _, inFlight := range []float64{1, 2, 4} {
		delay.Observe(inFlight, 10*inFlight, 0.9)
	}
	fmt.Printf("3 in flight: %.0f ms\n", delay.Predict(3, 1))

	// The share of requests that fail. Long after the last failure, the mean is near zero again.
	failures := DecayingMean{TimeConstant: 3 * time.Second, MinCount: 1}
	failures.Observe(0, 1)
	fmt.Printf("failing: %.2f, a minute later: %.2f\n", failures.Mean(0), failures.Mean(time.Minute))

	// Two requests per second, and at most three at once.
	quota := TokenBucket{Capacity: 3, Rate: 2}
	quota.Refill(time.Second)
	fmt.Println("tokens:", quota.Tokens)

	// Events of the last ten seconds.
	var events SlidingWindow
	for at := range 20 {
		events.Add(time.Duration(at)*time.Second, 10*time.Second)
	}
	fmt.Println("events:", events.CountSince(10*time.Second))
	// Output:
	// 3 in flight: 30 ms
	// failing: 0.50, a minute later: 0.00
	// tokens: 2
	// events: 10
}

// wantNear reports an error if got is not want, except for rounding.
func wantNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func TestDecayingMean(t *testing.T) {
	mean := DecayingMean{TimeConstant: time.Second, MinCount: 2}
	wantNear(t, "the mean of nothing", mean.Mean(time.Hour), 0)
	mean.Observe(0, 6)
	wantNear(t, "the mean of 6 and the zero", mean.Mean(0), 3)
	// One observation is half of MinCount, so it decays half as fast.
	retained := math.Exp(-0.5)
	wantNear(t, "the mean a second later", mean.Mean(time.Second), 6*retained/(retained+1))
	mean.Observe(0, 9)
	wantNear(t, "the mean of 6, 9 and the zero", mean.Mean(0), 5)
	retained = math.Exp(-1)
	wantNear(t, "the mean of two a second later", mean.Mean(time.Second), 15*retained/(2*retained+1))
	mean.Observe(time.Second, 0)
	wantNear(t, "the weight", mean.Weight(), 2*retained+1)
	if mean.Updated() != time.Second {
		t.Errorf("updated at %v", mean.Updated())
	}
}

func TestRunningMean(t *testing.T) {
	mean := RunningMean{Mean: 100} // initial value
	for _, step := range []struct{ value, want float64 }{{4, 4}, {8, 6}, {9, 7}, {13, 9}, {0, 6}} {
		mean.Observe(step.value, 3)
		wantNear(t, fmt.Sprint("the mean after ", step.value), mean.Mean, step.want)
	}
	wantNear(t, "the count", mean.Count, 3)
}

func TestAsymmetricMean(t *testing.T) {
	mean := AsymmetricMean{Mean: 100}
	mean.Observe(120, 20, 4)
	wantNear(t, "the mean after a higher value", mean.Mean, 101)
	mean.Observe(81, 20, 4)
	wantNear(t, "the mean after a lower value", mean.Mean, 96)
	mean.Observe(96, 20, 4)
	wantNear(t, "the mean after the same value", mean.Mean, 96)
}

func TestClamp(t *testing.T) {
	for _, step := range []struct{ v, want float64 }{
		{0.5, 0.5}, {-3, 0}, {7, 1}, {math.Inf(1), 1}, {math.Inf(-1), 0}, {math.NaN(), 0},
	} {
		wantNear(t, fmt.Sprint("clamped ", step.v), Clamp(step.v, 0, 1), step.want)
	}
}

func TestRegression(t *testing.T) {
	var line Regression
	wantNear(t, "a prediction from nothing", line.Predict(5, 1), 0)
	line.Observe(0.25, 1, 0.5)
	wantNear(t, "a prediction from less than the minimum", line.Predict(5, 1), 5)
	line.Observe(3.875, 7.5, 0.5)
	wantNear(t, "a prediction", line.Predict(5, 1), 10)
}

func TestTokenBucket(t *testing.T) {
	bucket := TokenBucket{Tokens: -1, Capacity: 4, Rate: 2}
	for _, step := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 1}, {1500 * time.Millisecond, 2}, {time.Minute, 4}, {time.Minute, 4}} {
		bucket.Refill(step.at)
		wantNear(t, fmt.Sprint("level at ", step.at), bucket.Tokens, step.want)
	}
	bucket.Tokens--
	bucket.Add(0.5)
	wantNear(t, "level after one was taken and half a one added", bucket.Tokens, 3.5)
}

func TestSlidingWindow(t *testing.T) {
	var window SlidingWindow
	const span = 10 * time.Second
	for at := time.Duration(0); at < 1000; at++ {
		window.Add(at*time.Second, span)
		want := min(int(at)+1, 11)
		if got := window.CountSince(at*time.Second - span); got != want {
			t.Fatalf("%d events at %v, want %d", got, at*time.Second, want)
		}
	}
	if len(window.entries) > 2*compactThreshold+11 {
		t.Errorf("%d times are stored, so dropped times were not released", len(window.entries))
	}
	window.Remove(995 * time.Second)
	window.Remove(995 * time.Second) // already removed
	window.Remove(time.Second)       // no longer in the window
	if got := window.CountSince(990 * time.Second); got != 9 {
		t.Errorf("%d events after a removal, want 9", got)
	}
}

// Guards against a window that grows with the rate of requests: clients choose the rate.
func TestSlidingWindowIsBoundedHoweverManyEventsItCounts(t *testing.T) {
	var window SlidingWindow
	const events = 4 * maxWindowEntries
	for at := time.Duration(0); at < events; at++ {
		window.Add(at, time.Hour)
		window.Add(at, time.Hour)
	}
	if got := window.CountSince(0); got != 2*events || !window.IsFull() || len(window.entries) > maxWindowEntries {
		t.Errorf("%d events counted in %d entries, want %d in at most %d", got, len(window.entries), 2*events, maxWindowEntries)
	}
	if got := window.CountSince(maxWindowEntries); got != 0 {
		t.Errorf("%d events are counted as later than they happened", got)
	}
}
