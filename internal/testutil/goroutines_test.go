package testutil

import (
	"strings"
	"testing"
	"time"
)

func blockUntil(release <-chan struct{}) { <-release }

func TestGoroutinesAreFoundUntilTheyEnd(t *testing.T) {
	blocked := func(stack string) bool { return strings.Contains(stack, "testutil.blockUntil(") }
	release := make(chan struct{})
	go blockUntil(release)
	go blockUntil(release)
	RequireGoroutines(t, 2, 10*time.Second, blocked)
	close(release)
	RequireGoroutines(t, 0, 10*time.Second, blocked)
}
