package archtest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// logsPage lists the log events.
const logsPage = "docs/operate/logs.md"

var (
	// loggedEvent is a call that logs an event at a level; the two helpers log at warn.
	loggedEvent = regexp.MustCompile(`(?:slog\.(Info|Warn|Error)\(|slog\.Level(Info|Warn|Error), |logFailure\(|logRejection\()"([a-z_]+)"`)
	// listedEvent is the beginning of a row of logsPage: an event and its level.
	listedEvent = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (info|warn|error) \\|")
)

// Whoever is on call finds each event of the log on one page, with its level, and no event that there is not.
func TestLogsPageListsEveryEvent(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(logsPage)))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{}
	events, _, _ := strings.Cut(string(text), "## Attributes")
	for _, m := range listedEvent.FindAllStringSubmatch(events, -1) {
		listed[m[1]] = m[2]
	}
	logged := loggedEvents(t)
	if len(logged) < 20 {
		t.Errorf("%d events found; the check does not see them", len(logged))
	}
	for event, level := range logged {
		if listed[event] != level {
			t.Errorf("%s lists %s at level %q, the code logs it at %q", logsPage, event, listed[event], level)
		}
	}
	for event := range listed {
		if logged[event] == "" {
			t.Errorf("%s lists %s, which nothing logs", logsPage, event)
		}
	}
}

// loggedEvents returns the events that the program's non-test files log, each with its level.
func loggedEvents(t *testing.T) map[string]string {
	t.Helper()
	events := map[string]string{}
	root := filepath.Join("..", "..", "internal")
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, m := range loggedEvent.FindAllStringSubmatch(string(text), -1) {
			level := strings.ToLower(m[1] + m[2])
			if level == "" {
				level = "warn"
			}
			events[m[3]] = level
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return events
}
