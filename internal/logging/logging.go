// Package logging sets the format of the program's log lines: that of the text handler of log/slog, with the time of
// day to the microsecond, and the message under the key "event". A BufferedWriter keeps a slow reader of the log from
// holding up the goroutines that log. The package imports only the standard library. Other packages log through
// log/slog.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

const (
	eventKey   = "event"
	timeLayout = "15:04:05.000000"
)

// New returns a logger that writes log lines of the given level and above to w, with one write for each line. It is
// safe for concurrent use.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttribute}))
}

// replaceAttribute formats the time and changes the key of the message. It leaves attributes within groups unchanged.
func replaceAttribute(groups []string, attribute slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attribute
	}
	switch attribute.Key {
	case slog.TimeKey:
		return slog.String(slog.TimeKey, attribute.Value.Time().Format(timeLayout))
	case slog.MessageKey:
		attribute.Key = eventKey
	}
	return attribute
}

// LevelError reports a text that names no log level.
type LevelError struct {
	Level string // the invalid text
}

// Error returns a text that lists the valid levels.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is none of debug, info, warn and error", e.Level)
}

// ParseLevel returns the level that a text names: debug, info, warn or error, in upper or lower case, optionally with
// an offset, such as info+2. The error is a LevelError.
func ParseLevel(text string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, &LevelError{Level: text}
	}
	return level, nil
}
