package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestScripts runs the scripts in testdata. Like the scripts of cmd/go's tests, each has lines of commands, and then
// the files that they use.
//
//	crankhold ARGS      run the command line in a folder that holds the files
//	status N            the exit status must be N
//	stdout TEXT         standard output must contain TEXT; stderr TEXT: standard error likewise
//	! stdout TEXT       standard output must not contain TEXT
//	empty stdout        standard output must be empty
//	cmp NAME WANT       two files must have the same content
func TestScripts(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatal(scripts, err)
	}
	for _, path := range scripts {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Base(path), func(t *testing.T) { runScript(t, string(text)) })
	}
}

// emptyEnvironment looks up variables in an environment that has none.
func emptyEnvironment(string) string { return "" }

// runScript runs a script in a temporary folder of its own.
func runScript(t *testing.T, text string) {
	t.Helper()
	commands, files, _ := strings.Cut("\n"+text, "\n-- ")
	t.Chdir(writeScriptFiles(t, files))
	s := &scriptRun{}
	for i, line := range strings.Split(commands, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if problem := s.runLine(line, words); problem != "" {
			t.Errorf("line %d: %s: %s\nafter %s: status %d\n%s%s", i, line, problem, s.command, s.status, &s.stdout, &s.stderr)
		}
	}
}

// writeScriptFiles writes the files of a script into a temporary folder and returns its path. In the text, each file
// follows a line "-- NAME --". The first of these lines lacks its leading dashes, because runScript cuts the script
// there.
func writeScriptFiles(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if text == "" {
		return dir
	}
	for _, file := range strings.Split(text, "\n-- ") {
		name, body, _ := strings.Cut(file, " --\n")
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.TrimRight(body, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// scriptRun holds the result of the last command line of a script.
type scriptRun struct {
	command        string
	status         int
	stdout, stderr bytes.Buffer
}

// runLine runs one line of a script. It returns "", or a description of the failure.
func (s *scriptRun) runLine(line string, words []string) string {
	negated := words[0] == "!"
	verb, argument, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(line, "!")), " ")
	switch verb {
	case "crankhold":
		s.run(line, strings.Fields(argument))
	case "status":
		if argument != strconv.Itoa(s.status) {
			return "the exit status differs"
		}
	case "stdout", "stderr":
		if strings.Contains(s.output(verb).String(), argument) == negated {
			return "the output does not match"
		}
	case "empty":
		if s.output(argument).Len() > 0 {
			return "the output is not empty"
		}
	case "cmp":
		got, err := os.ReadFile(words[1])
		want, wantErr := os.ReadFile(words[2])
		if err != nil || wantErr != nil || !bytes.Equal(got, want) {
			return "the files differ:\n" + string(got)
		}
	default:
		return "unknown script command"
	}
	return ""
}

// run runs a command line with an empty environment.
func (s *scriptRun) run(command string, args []string) {
	s.stdout.Reset()
	s.stderr.Reset()
	s.command = command
	s.status = Run(args, Env{Out: &s.stdout, Err: &s.stderr, Getenv: emptyEnvironment})
}

// output returns what was written to standard output or standard error.
func (s *scriptRun) output(name string) *bytes.Buffer {
	if name == "stderr" {
		return &s.stderr
	}
	return &s.stdout
}
