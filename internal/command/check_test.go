package command

import (
	"bytes"
	"os"
	"testing"
)

// Notes are printed like faults, with the prefix "note: ", and the exit status stays 0.
func TestCheckPrintsNotes(t *testing.T) {
	t.Chdir(t.TempDir())
	text := "pool \"all\" {}\nroute \"lamps\" {\n\tfunction = \"7f*\"\n\tpool = \"all\"\n}\n"
	if err := os.WriteFile("a.crank", []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	status := Run([]string{"check", "a.crank"}, Env{Out: &stdout, Err: &stderr, Getenv: emptyEnvironment})
	wantStderr := "a.crank:2:1: note: no route takes calls for function * (but not 7f*); they are refused " +
		"(--front=thrift --class=repair-order --function=0000000000000000)\n\troute \"lamps\" {\n\t^\n"
	wantStdout := "a.crank: no faults in 1 file; 1 route, 1 pool, 1 note\n"
	if status != 0 || stdout.String() != wantStdout || stderr.String() != wantStderr {
		t.Errorf("status %d\n%s%s", status, &stdout, &stderr)
	}
}
