package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"testing"
)

// Guards those who read the log by program: time, level, event, then key=value, with quotes where they are needed.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.LevelInfo)
	l.Debug("unseen")
	l.Warn("worker_dial_failed", "addr", "127.0.0.1:1", "err", errors.New("connection refused"))
	want := `^time=\d\d:\d\d:\d\d\.\d{6} level=WARN event=worker_dial_failed addr=127\.0\.0\.1:1 err="connection refused"\n$`
	if !regexp.MustCompile(want).MatchString(out.String()) {
		t.Errorf("%q, want %s", out.String(), want)
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("no such level, no error")
	}
	if v, err := ParseLevel("warn"); err != nil || v != slog.LevelWarn {
		t.Errorf("%v, %v", v, err)
	}
}
