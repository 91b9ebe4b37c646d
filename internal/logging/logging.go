// Package logging sets the form of the program's log lines: the text handler of log/slog, with the time of day to the
// microsecond and the message under the key event. It imports only the standard library. Other packages log
// through log/slog.
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

// New returns a logger that writes lines of at least a level to w, one write a line. It is safe for concurrent use.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttribute}))
}

// replaceAttribute formats the time and renames the key of the message. It leaves the attributes of groups alone.
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

// LevelError is returned for a text that names no level.
type LevelError struct {
	Level string // the text
}

// Error lists the levels that exist.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is none of debug, info, warn and error", e.Level)
}

// ParseLevel returns the level that a text names: debug, info, warn or error, in either case, with an offset such as
// info+2 if need be. Its error is a LevelError.
func ParseLevel(text string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, &LevelError{Level: text}
	}
	return level, nil
}
