package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// statuses are the response statuses that a line shows for each class.
var statuses = []fake.ResponseStatus{fake.Served, fake.Rejected, fake.Failed}

// countedResponse is the key under which responses are counted.
type countedResponse struct {
	class  string
	status fake.ResponseStatus
}

// workerCounts counts the events at a worker.
type workerCounts struct {
	runs  int // requests started
	loads int // load commands
}

// counts holds the events and responses since the last line. The client and the fakes add to it from their own
// goroutines.
type counts struct {
	mu        sync.Mutex
	responses map[countedResponse]int
	workers   map[*fake.Worker]workerCounts
}

func newCounts() *counts {
	return &counts{responses: map[countedResponse]int{}, workers: map[*fake.Worker]workerCounts{}}
}

// event counts an event at a worker.
func (c *counts) event(e fake.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.workers[e.Worker]
	switch e.Kind {
	case fake.EventStarted:
		worker.runs++
	case fake.EventLoadCommand:
		worker.loads++
	}
	c.workers[e.Worker] = worker
}

// response counts a response that the client received.
func (c *counts) response(class string, status fake.ResponseStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[countedResponse{class, status}]++
}

// takeLine formats the counts as one line and resets them. It leaves out statuses with a count of 0, except served.
func (c *counts) takeLine(elapsed time.Duration, workers []*fake.Worker) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%4.0fs", elapsed.Seconds())
	for _, class := range fake.Classes {
		fmt.Fprintf(&b, "  %s", class.Name)
		for _, status := range statuses {
			n := c.responses[countedResponse{class.Name, status}]
			if n > 0 || status == fake.Served {
				fmt.Fprintf(&b, " %s=%d", status, n)
			}
		}
	}
	for _, w := range workers {
		fmt.Fprintf(&b, "  %s runs=%d loads=%d", w.Name, c.workers[w].runs, c.workers[w].loads)
	}
	clear(c.responses)
	clear(c.workers)
	return b.String()
}
