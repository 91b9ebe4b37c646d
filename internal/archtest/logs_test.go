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
	// loggedEvent is a call that logs an event at a level, by a logger or the default one; the two helpers log at warn.
	loggedEvent = regexp.MustCompile(`(?:\b(?:slog|[a-z]*[lL]ogger)\.(Info|Warn|Error)\(|slog\.Level(Info|Warn|Error), |logFailure\(|logRejection\()"([a-z_]+)"`)
	// listedEvent is the beginning of a row of logsPage: an event and its level.
	listedEvent = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (info|warn|error) \\|")
	// loggedKey is the key of an attribute that is logged.
	loggedKey = regexp.MustCompile(`slog\.(?:String|Int|Int64|Uint64|Float64|Bool|Duration|Any)\("([a-z_]+)"`)
	// listedKey is a key in a table of logsPage.
	listedKey = regexp.MustCompile("`([a-z_]+)`")
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

// Alerts rest on keys: the page lists each key that is logged, and none that is not.
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
		t.Errorf("%d keys found; the check does not see them", len(logged))
	}
	if diff := cmp.Diff(logged, listed); diff != "" {
		t.Errorf("%s and the keys that the code logs differ (-code +page):\n%s", logsPage, diff)
	}
}

// addListedKeys adds the keys that a column of a table lists.
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

// loggedKeys returns the keys of attributes that the program's non-test files log, the names of outcomes included.
func loggedKeys(t *testing.T) map[string]bool {
	t.Helper()
	keys := map[string]bool{}
	for outcome := range policy.NotLoaded + 1 {
		keys[outcome.String()] = true
	}
	forEachSource(t, func(text string) {
		for _, m := range loggedKey.FindAllStringSubmatch(text, -1) {
			keys[m[1]] = true
		}
	})
	return keys
}
