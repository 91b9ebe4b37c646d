package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// knownFailuresFile lists the tests and bench runs that fail because of a known fault.
const knownFailuresFile = "KNOWN-RED.txt"

// benchEntry replaces the test's name in an entry for a failing run of the bench.
const benchEntry = "bench"

// issueField matches the field of an entry that names the open issue of the fault.
var issueField = regexp.MustCompile(`^issue \d+$`)

// checkKnownFailure returns what is wrong with an entry, or an empty string if it is valid.
func checkKnownFailure(entry string, tests map[string]bool) string {
	fields := strings.Split(entry, " | ")
	if len(fields) != 4 {
		return "it does not have four fields"
	}
	name, command, failure, issue := fields[0], fields[1], fields[2], fields[3]
	switch {
	case name != benchEntry && !tests[name]:
		return "it names no test that exists"
	case !strings.Contains(command, "seed"):
		return "its command has no seed"
	case strings.TrimSpace(failure) == "":
		return "it does not describe the failure"
	case !issueField.MatchString(issue):
		return "it names no issue number"
	}
	return ""
}

// Each known failure has a command that reproduces it, a description and an issue, and names a test that exists.
func TestKnownFailuresAreComplete(t *testing.T) {
	root := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(root, knownFailuresFile))
	if err != nil {
		t.Fatal(err)
	}
	tests := testFunctions(t, root)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if problem := checkKnownFailure(line, tests); problem != "" {
			t.Errorf("%s: %s", line, problem)
		}
	}
}

// Entries that lack a field or name a test that does not exist are reported.
func TestIncompleteKnownFailuresAreFound(t *testing.T) {
	tests := map[string]bool{"TestSoak": true}
	for entry, complete := range map[string]bool{
		"TestSoak | go test -run TestSoak ./internal/server, seed 7 | no response | issue 46": true,
		"bench | lbreal S --rough roll+mass --seed 109 | lost | issue 42":                     true,
		"TestGone | go test -run TestGone, seed 7 | no response | issue 46":                   false,
		"TestSoak | go test -run TestSoak | no response | issue 46":                           false,
		"TestSoak | go test -run TestSoak, seed 7 |  | issue 46":                              false,
		"TestSoak | go test -run TestSoak, seed 7 | no response":                              false,
		"TestSoak | go test -run TestSoak, seed 7 | no response | later":                      false,
		"TestSoak: no response (46)":                                                          false,
	} {
		if problem := checkKnownFailure(entry, tests); (problem == "") != complete {
			t.Errorf("%s: %q", entry, problem)
		}
	}
}
