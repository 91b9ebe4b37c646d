// Package logging sets the form of the program's log lines: log/slog's text handler, key=value, the time to the
// microsecond and the message under the key event. It imports the standard library alone; whatever starts a
// service calls it.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes lines of a level or above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return a
		}
		switch a.Key {
		case slog.TimeKey:
			return slog.String("time", a.Value.Time().Format("15:04:05.000000"))
		case slog.MessageKey:
			a.Key = "event"
		}
		return a
	}}))
}

// ParseLevel reads a level: debug, info, warn or error.
func ParseLevel(s string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return l, fmt.Errorf("log level %q is none of debug, info, warn and error", s)
	}
	return l, nil
}
