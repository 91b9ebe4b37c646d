package demo

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"testing/fstest"

	"crankhold/internal/lang"
)

// stopWhenServed receives the demo's output. It closes stop at the first line in which each class has a served request.
type stopWhenServed struct {
	stop chan struct{}

	mu      sync.Mutex
	text    bytes.Buffer
	stopped bool
}

func (w *stopWhenServed) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.text.Write(b)
	line := string(b)
	if !w.stopped && strings.Contains(line, "dim-level served=") && !strings.Contains(line, "served=0") {
		w.stopped = true
		close(w.stop)
	}
	return len(b), nil
}

// The demo serves requests of all classes and returns when stop is closed.
func TestDemoServes(t *testing.T) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	out := &stopWhenServed{stop: make(chan struct{})}
	if err := Run(out, out.stop); err != nil {
		t.Fatal(err)
	}
	if !out.stopped {
		t.Errorf("Run returned before a request of each class was served:\n%s", out.text.String())
	}
}

// The demo's routes file serves as an example: it has no faults and no notes.
func TestDemoRoutesAreValid(t *testing.T) {
	files := fstest.MapFS{"routes.crank": {Data: Routes, Mode: 0o644}}
	result, err := lang.Check(files, "routes.crank", "", nil)
	if err != nil || len(result.Faults)+len(result.Notes) > 0 {
		t.Errorf("%v, %v, %v", err, result.Faults, result.Notes)
	}
}
