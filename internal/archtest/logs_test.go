package archtest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"crankhold/policy"
)

// logsPage lists the log events.
const logsPage = "docs/operate/logs.md"

var (
	// loggedEvent matches a call that logs an event: by a logger, by the default logger, or by one of the two helper
	// functions, which log at warn.
	loggedEvent = regexp.MustCompile(`(?:\b(?:slog|[a-z]*[lL]ogger)\.(Info|Warn|Error)\(|slog\.Level(Info|Warn|Error), |logFailure\(|logRejection\()"([a-z_]+)"`)
	// listedEvent matches the start of a row of logsPage: an event and its level.
	listedEvent = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (info|warn|error) \\|")
	// loggedKey matches a call that adds an attribute to a log line, and captures the key.
	loggedKey = regexp.MustCompile(`slog\.(?:String|Int|Int64|Uint64|Float64|Bool|Duration|Any)\("([a-z_]+)"`)
	// listedKey matches a key in a table of logsPage.
	listedKey = regexp.MustCompile("`([a-z_]+)`")
)

// The page lists each log event with its level, and no event that is never logged, so that an engineer on call finds
// all events on one page.
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
		t.Errorf("only %d events found; the check does not find them", len(logged))
	}
	for event, level := range logged {
		if listed[event] != level {
			t.Errorf("%s lists %s at level %q, the code logs it at %q", logsPage, event, listed[event], level)
		}
	}
	for event := range listed {
		if logged[event] == "" {
			t.Errorf("%s lists %s, which is never logged", logsPage, event)
		}
	}
}

// loggedEvents returns the events that the program's non-test files log, each with its level.
func loggedEvents(t *testing.T) map[string]string {
	t.Helper()
	events := map[string]string{}
	forEachSource(t, func(text string) {
		for _, m := range loggedEvent.FindAllStringSubmatch(text, -1) {
			level := strings.ToLower(m[1] + m[2])
			if level == "" {
				level = "warn"
			}
			events[m[3]] = level
		}
	})
	return events
}

// forEachSource calls visit with the text of each of the program's non-test files.
func forEachSource(t *testing.T, visit func(text string)) {
	t.Helper()
	root := filepath.Join("..", "..", "internal")
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		visit(string(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The page lists each key that is logged, and no other key, because alerts depend on the keys.
func TestLogsPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(logsPage)))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	_, tables, _ := strings.Cut(string(text), "## Attributes")
	attributes, counters, _ := strings.Cut(tables, "## Counters")
	addListedKeys(listed, attributes, 1)
	addListedKeys(listed, counters, 2)
	logged := loggedKeys(t)
	if len(logged) < 60 {
		t.Errorf("only %d keys found; the check does not find them", len(logged))
	}
	if diff := cmp.Diff(logged, listed); diff != "" {
		t.Errorf("%s and the keys that the code logs differ (-code +page):\n%s", logsPage, diff)
	}
}

// addListedKeys adds the keys in one column of a table to listed.
func addListedKeys(listed map[string]bool, table string, column int) {
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) <= column {
			continue
		}
		for _, m := range listedKey.FindAllStringSubmatch(cells[column], -1) {
			listed[m[1]] = true
		}
	}
}

// loggedKeys returns the keys of the attributes that the program's non-test files log. They include the names of
// outcomes, which are logged as keys.
func loggedKeys(t *testing.T) map[string]bool {
	t.Helper()
	keys := map[string]bool{}
	for outcome := range policy.Outcome(policy.OutcomeCount) {
		keys[outcome.String()] = true
	}
	forEachSource(t, func(text string) {
		for _, m := range loggedKey.FindAllStringSubmatch(text, -1) {
			keys[m[1]] = true
		}
	})
	return keys
}
