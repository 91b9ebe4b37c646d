package logging

import (
	"bytes"
	"fmt"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// stoppedReader is a log whose reader has stopped until it is resumed: writes block.
type stoppedReader struct {
	resumed chan struct{}
	mu      sync.Mutex
	read    bytes.Buffer
}

func (r *stoppedReader) Write(lines []byte) (int, error) {
	<-r.resumed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Write(lines)
}

// Logging goes on while the reader of the log has stopped: lines that don't fit are dropped and counted, and all others
// arrive whole and in order. Guards against an event loop that stands still because nobody reads its log.
func TestStoppedReaderDoesNotStopTheLogger(t *testing.T) {
	reader := &stoppedReader{resumed: make(chan struct{})}
	w := NewBufferedWriter(reader)
	logger := New(w, slog.LevelInfo)
	const lines = 10_000
	padding := strings.Repeat("x", 100)
	for i := range lines {
		logger.Info("counted", slog.Int("number", i), slog.String("padding", padding))
	}
	close(reader.resumed)
	w.Close(time.Minute)
	logger.Info("after the end")
	reader.mu.Lock()
	defer reader.mu.Unlock()
	arrived := 0
	dropped := 0
	number := regexp.MustCompile(`event=counted number=(\d+) padding=x{100}$`)
	count := regexp.MustCompile(`level=WARN event=log_lines_dropped count=(\d+)$`)
	for line := range strings.Lines(reader.read.String()) {
		line = strings.TrimSuffix(line, "\n")
		if match := count.FindStringSubmatch(line); match != nil {
			n, _ := strconv.Atoi(match[1])
			dropped += n
			continue
		}
		match := number.FindStringSubmatch(line)
		if match == nil || match[1] != fmt.Sprint(arrived) {
			t.Fatalf("line %q, want number %d", line, arrived)
		}
		arrived++
	}
	if arrived+dropped != lines || arrived == 0 || dropped == 0 {
		t.Errorf("%d lines arrived and %d were dropped, of %d", arrived, dropped, lines)
	}
}

// Close gives up on a reader that never goes on, so that the program ends.
func TestCloseGivesUpOnAStoppedReader(t *testing.T) {
	reader := &stoppedReader{resumed: make(chan struct{})}
	defer close(reader.resumed)
	w := NewBufferedWriter(reader)
	New(w, slog.LevelInfo).Info("unread")
	w.Close(time.Millisecond) // the test hangs if this does
}
