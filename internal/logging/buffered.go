package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

// maxBufferedBytes is how many bytes of log lines may wait for the reader of the log.
const maxBufferedBytes = 256 << 10

// BufferedWriter writes log lines on a goroutine of its own, so that a log whose reader has stopped does not stop the
// goroutines that log. While the reader does not keep up, it drops further lines, and logs log_lines_dropped with their
// number once the reader goes on. It is safe for concurrent use.
type BufferedWriter struct {
	out    io.Writer
	logger *slog.Logger  // writes to out directly
	idle   chan struct{} // closed when the writing goroutine has ended

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	pending bytes.Buffer // whole lines
	dropped int          // lines since the last line of log_lines_dropped
	closed  bool
}

// NewBufferedWriter returns a writer to out. The caller must close it with Close.
func NewBufferedWriter(out io.Writer) *BufferedWriter {
	w := &BufferedWriter{out: out, logger: New(out, slog.LevelInfo), idle: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line, which it copies, or drops it if too many bytes are queued. It does not block, and its error is
// always nil.
func (w *BufferedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.pending.Len()+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending.Write(line)
	w.changed.Signal()
	return len(line), nil
}

// Close writes the queued lines, but gives up after timeout if the reader of the log has stopped. Later lines are
// dropped.
func (w *BufferedWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	select {
	case <-w.idle:
	case <-time.After(timeout):
	}
}

// run writes queued lines until the writer is closed and all of them are written.
func (w *BufferedWriter) run() {
	defer close(w.idle)
	var lines bytes.Buffer
	for {
		dropped, ok := w.take(&lines)
		if !ok {
			return
		}
		w.out.Write(lines.Bytes()) // there is nowhere to report an error to
		lines.Reset()
		if dropped > 0 {
			w.logger.Warn("log_lines_dropped", slog.Int("count", dropped))
		}
	}
}

// take waits for lines and moves them to an empty buffer. It returns how many lines were dropped after them. ok is
// false if the writer is closed and no line is left.
func (w *BufferedWriter) take(lines *bytes.Buffer) (dropped int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending.Len() == 0 && w.dropped == 0 && !w.closed {
		w.changed.Wait()
	}
	if w.pending.Len() == 0 && w.dropped == 0 {
		return 0, false
	}
	*lines, w.pending = w.pending, *lines
	dropped = w.dropped
	w.dropped = 0
	return dropped, true
}
