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

// watch closes stop once a call of each class was served.
type watch struct {
	mu   sync.Mutex
	text bytes.Buffer
	stop chan struct{}
	done bool
}

func (w *watch) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.text.Write(b)
	line := string(b)
	if !w.done && strings.Contains(line, "dim-level served=") && !strings.Contains(line, "served=0") {
		w.done = true
		close(w.stop)
	}
	return len(b), nil
}

// The demo serves calls of all classes and ends when it is told to.
func TestDemoServes(t *testing.T) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	w := &watch{stop: make(chan struct{})}
	if err := Run(w, w.stop); err != nil {
		t.Fatal(err)
	}
	if !w.done {
		t.Errorf("it ended by itself:\n%s", w.text.String())
	}
}

// The demo's routes are a good example: no fault, no hole, in the one form.
func TestDemoRoutesAreGood(t *testing.T) {
	r, err := lang.Check(fstest.MapFS{"routes.crank": {Data: Routes, Mode: 0o644}}, "routes.crank", "", nil)
	if err != nil || len(r.Faults)+len(r.Notes) > 0 {
		t.Errorf("%v, %v, %v", err, r.Faults, r.Notes)
	}
}
