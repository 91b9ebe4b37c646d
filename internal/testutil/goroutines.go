package testutil

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxStacksSize is how many bytes of stacks are read.
const maxStacksSize = 1 << 20

// GoroutineStacks returns the stack of each goroutine that matches.
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

// RequireGoroutines fails the test unless so many goroutines match, at once or within a limit: one that is between its
// last statement and its end is still listed.
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
