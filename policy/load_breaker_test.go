package policy

import (
	"testing"
	"time"
)

func TestLoadBreakerDoublesItsDelay(t *testing.T) {
	var breaker loadBreaker
	now := time.Hour
	breaker.recordStart(now)
	if breaker.isOpen(now) {
		t.Fatal("the breaker is open although no load failed")
	}
	for _, want := range []time.Duration{100, 200, 400, 800, 1600, 1600} {
		breaker.recordFailure(now)
		if got := breaker.openUntil - now; got != want*ms {
			t.Errorf("after %d failures the breaker is open for %v, want %v", breaker.failures, got, want*ms)
		}
		now = breaker.openUntil
	}
	breaker.recordStart(now)
	if !breaker.isOpen(now) {
		t.Error("a second load may start at once while loads fail")
	}
	if breaker.recordSuccess(); breaker.isOpen(now) {
		t.Error("the breaker stays open after a success")
	}
}
