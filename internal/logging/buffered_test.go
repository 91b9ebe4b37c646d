package logging

import (
	"bytes"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
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
	arrived, dropped := readLines(t, reader.read.String())
	for i, line := range arrived {
		if line.number != i+line.droppedBefore {
			t.Fatalf("line %d follows %d lines and a report of %d dropped ones", line.number, i, line.droppedBefore)
		}
	}
	if len(arrived)+dropped != lines || len(arrived) == 0 || dropped == 0 {
		t.Errorf("%d lines arrived and %d were dropped, of %d", len(arrived), dropped, lines)
	}
}

// arrivedLine is a line that arrived in a log, and how many lines were reported as dropped before it.
type arrivedLine struct{ number, droppedBefore int }

// readLines returns the lines that arrived in a log, which must be whole, and how many it says were dropped.
func readLines(t *testing.T, log string) (arrived []arrivedLine, dropped int) {
	t.Helper()
	number := regexp.MustCompile(`event=counted number=(\d+) padding=x{100}$`)
	count := regexp.MustCompile(`level=WARN event=log_lines_dropped count=(\d+)$`)
	for line := range strings.Lines(log) {
		line = strings.TrimSuffix(line, "\n")
		if match := count.FindStringSubmatch(line); match != nil {
			n, _ := strconv.Atoi(match[1])
			dropped += n
			continue
		}
		match := number.FindStringSubmatch(line)
		if match == nil {
			t.Fatalf("line %q is not whole", line)
		}
		n, _ := strconv.Atoi(match[1])
		arrived = append(arrived, arrivedLine{n, dropped})
	}
	return arrived, dropped
}

// fullDisk is a log file whose disk is full for a while: writes fail, after they have written one line of several.
type fullDisk struct {
	written bytes.Buffer
	fails   int // writes that still fail
}

func (f *fullDisk) Write(lines []byte) (int, error) {
	if f.fails == 0 {
		return f.written.Write(lines)
	}
	f.fails--
	first := bytes.IndexByte(lines, '\n') + 1
	if first == len(lines) {
		return 0, syscall.ENOSPC
	}
	f.written.Write(lines[:first])
	return first, syscall.ENOSPC
}

// Lines that can't be written are counted as dropped once lines can be written again. Guards against a log that lacks
// lines and doesn't say so.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	disk := &fullDisk{fails: 3}
	w := NewBufferedWriter(disk)
	logger := New(w, slog.LevelInfo)
	const lines = 1000
	padding := strings.Repeat("x", 100)
	for i := range lines {
		logger.Info("counted", slog.Int("number", i), slog.String("padding", padding))
		if i%100 == 99 {
			for waiting := true; waiting; { // until the lines are being written
				w.mu.Lock()
				waiting = w.pending.Len() > 0
				w.mu.Unlock()
			}
		}
	}
	w.Close(time.Minute)
	arrived, dropped := readLines(t, disk.written.String())
	for i, line := range arrived {
		if i > 0 && line.number <= arrived[i-1].number {
			t.Errorf("line %d follows line %d", line.number, arrived[i-1].number)
		}
	}
	if len(arrived)+dropped != lines || disk.fails > 0 || dropped == 0 {
		t.Errorf("%d lines arrived and %d were dropped, of %d; %d writes did not fail", len(arrived), dropped, lines, disk.fails)
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
