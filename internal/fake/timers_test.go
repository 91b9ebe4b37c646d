package fake

import (
	"testing"
	"time"
)

func TestTimersMakeNoCallOnceClosed(t *testing.T) {
	timers := newTimers()
	called := make(chan string, 3)
	timers.after(0, func() { called <- "due" })
	timers.after(time.Hour, func() { called <- "pending" })
	if got := <-called; got != "due" {
		t.Errorf("called %s", got)
	}
	timers.close()
	timers.after(0, func() { called <- "after the close" })
	timers.close()
	if len(called) > 0 {
		t.Errorf("called %s", <-called)
	}
}
