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
// goroutines that log. While the reader does not keep up, it drops further lines. Lines that can't be written are lost.
// It logs log_lines_dropped with the number of both behind the next lines that it writes. It is safe for concurrent
// use.
type BufferedWriter struct {
	out    io.Writer
	lines  bytes.Buffer  // being written; the writing goroutine owns it
	logger *slog.Logger  // appends to lines
	idle   chan struct{} // closed when the writing goroutine has ended

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	pending bytes.Buffer // whole lines
	dropped int          // or lost lines since the last line of log_lines_dropped
	closed  bool
}

// NewBufferedWriter returns a writer to out. The caller must close it with Close.
func NewBufferedWriter(out io.Writer) *BufferedWriter {
	w := &BufferedWriter{out: out, idle: make(chan struct{})}
	w.logger = New(&w.lines, slog.LevelInfo)
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
	for {
		dropped, ok := w.take()
		if !ok {
			return
		}
		if dropped > 0 {
			w.logger.Warn("log_lines_dropped", slog.Int("count", dropped))
		}
		written, err := w.out.Write(w.lines.Bytes())
		if err != nil {
			w.countLost(w.lines.Bytes()[written:], dropped)
		}
	}
}

// take waits for lines and moves them to w.lines. It returns how many further lines were dropped or lost since they
// were last reported. ok is false if the writer is closed and no line is left.
func (w *BufferedWriter) take() (dropped int, ok bool) {
	w.lines.Reset()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending.Len() == 0 && !w.closed {
		w.changed.Wait()
	}
	if w.pending.Len() == 0 {
		return 0, false
	}
	w.lines, w.pending = w.pending, w.lines
	dropped = w.dropped
	w.dropped = 0
	return dropped, true
}

// countLost counts lines that could not be written. If the last of them reports dropped lines, these are counted again.
func (w *BufferedWriter) countLost(lines []byte, dropped int) {
	lost := bytes.Count(lines, []byte("\n"))
	if dropped > 0 && lost > 0 {
		lost += dropped - 1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += lost
}
