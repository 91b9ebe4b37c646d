package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"testing"
)

// Other programs parse the log, so its format is fixed: each line has the time, the level and the event, and then
// key=value pairs, with values quoted if necessary.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, slog.LevelInfo)
	logger.Debug("unseen")
	logger.Warn("worker_dial_failed", "addr", "127.0.0.1:1", "err", errors.New("connection refused"))
	want := `^time=\d\d:\d\d:\d\d\.\d{6} level=WARN event=worker_dial_failed addr=127\.0\.0\.1:1 err="connection refused"\n$`
	if !regexp.MustCompile(want).MatchString(out.String()) {
		t.Errorf("%q, want %s", out.String(), want)
	}
}

// The error for an unknown level contains the text that was given.
func TestParseLevel(t *testing.T) {
	var levelError *LevelError
	if _, err := ParseLevel("loud"); !errors.As(err, &levelError) || levelError.Level != "loud" {
		t.Errorf("error %v", err)
	} else if err.Error() != `log level "loud" is none of debug, info, warn and error` {
		t.Errorf("error text %q", err)
	}
	if level, err := ParseLevel("warn"); err != nil || level != slog.LevelWarn {
		t.Errorf("%v, %v", level, err)
	}
}
