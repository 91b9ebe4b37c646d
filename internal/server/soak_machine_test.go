package server

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crankhold/internal/fake"
)

const (
	delaySampleInterval = 5 * time.Millisecond  // between two measurements of this process's delay
	clockTick           = 10 * time.Millisecond // the unit of processor times in /proc
)

// schedulingDelays records how late goroutines of this process ran. It distinguishes a busy machine from a slow
// response.
type schedulingDelays struct {
	mu    sync.Mutex
	spans []delaySpan
}

// delaySpan is a span of time in which this process should have run and did not.
type delaySpan struct {
	from, to time.Time
}

// measure records delays until done is closed.
func (l *schedulingDelays) measure(done <-chan struct{}) {
	for {
		asked := time.Now().Add(delaySampleInterval)
		time.Sleep(delaySampleInterval)
		if now := time.Now(); now.Sub(asked) > delaySampleInterval {
			l.mu.Lock()
			l.spans = append(l.spans, delaySpan{from: asked, to: now})
			l.mu.Unlock()
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// within returns the total of all delays that overlap the span between two times.
func (l *schedulingDelays) within(from, to time.Time) (sum time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range l.spans {
		if span.from.Before(to) && span.to.After(from) {
			sum += span.to.Sub(span.from)
		}
	}
	return sum
}

// longest returns the longest delay.
func (l *schedulingDelays) longest() (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range l.spans {
		longest = max(longest, span.to.Sub(span.from))
	}
	return longest
}

// processorTime returns the processor time that a program has used. It also works after the program has exited.
func (p *program) processorTime() time.Duration {
	if state := p.cmd.ProcessState; state != nil {
		return state.UserTime() + state.SystemTime()
	}
	fields := p.stat()
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	if userErr != nil || systemErr != nil {
		p.t.Fatalf("malformed processor times in %q", fields)
	}
	return time.Duration(user+system) * clockTick
}

// stat returns the fields of /proc/PID/stat of a running program, from its state on.
func (p *program) stat() []string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // skips the name, which may contain spaces
	return strings.Fields(rest)
}

// firstProcessor returns a processor that this process may run on.
func firstProcessor(t *testing.T) int {
	t.Helper()
	var processors unix.CPUSet
	if err := unix.SchedGetaffinity(0, &processors); err != nil {
		t.Fatal(err)
	}
	for number := range len(processors) * 64 {
		if processors.IsSet(number) {
			return number
		}
	}
	t.Fatal("this process may run on no processor")
	return 0
}

// freeAddr returns an address that no process listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
