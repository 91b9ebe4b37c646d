package testutil

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxStacksSize is the maximum total size of the stacks in bytes. Longer output is truncated.
const maxStacksSize = 1 << 20

// GoroutineStacks returns the stacks of the goroutines for which matches returns true.
func GoroutineStacks(matches func(stack string) bool) (stacks []string) {
	buffer := make([]byte, maxStacksSize)
	buffer = buffer[:runtime.Stack(buffer, true)]
	for stack := range strings.SplitSeq(string(buffer), "\n\n") {
		if matches(stack) {
			stacks = append(stacks, stack)
		}
	}
	return stacks
}

// RequireGoroutines fails the test unless the number of matching goroutines equals want within the time limit. It
// polls, because a goroutine that has executed its last statement may still be listed for a short time.
func RequireGoroutines(t testing.TB, want int, limit time.Duration, matches func(stack string) bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	stacks := GoroutineStacks(matches)
	for len(stacks) != want && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		stacks = GoroutineStacks(matches)
	}
	if len(stacks) != want {
		t.Fatalf("%d goroutines, want %d:\n%s", len(stacks), want, strings.Join(stacks, "\n\n"))
	}
}
