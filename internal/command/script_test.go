package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestScripts runs the scripts of testdata, after the model of cmd/go's: lines of commands, then files.
//
//	crankhold ARGS      runs the command line in a folder with the files
//	status N            the exit status must be N
//	stdout TEXT         the line must be within standard output; stderr likewise
//	! stdout TEXT       it must not
//	empty stdout        nothing was printed there
//	cmp NAME WANT       two files must hold the same
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

func runScript(t *testing.T, text string) {
	parts := strings.Split("\n"+text, "\n-- ")
	dir := t.TempDir()
	for _, p := range parts[1:] {
		name, body, _ := strings.Cut(p, " --\n")
		name = filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(strings.TrimRight(body, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	var out, log bytes.Buffer
	code, last := 0, ""
	for i, line := range strings.Split(parts[0], "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		fail := func(why string) {
			t.Errorf("line %d: %s: %s\nof %s: status %d\n%s%s", i, line, why, last, code, &out, &log)
		}
		no := words[0] == "!"
		rest := strings.TrimSpace(strings.TrimPrefix(line, "!"))
		kind, want, _ := strings.Cut(rest, " ")
		buf := map[string]*bytes.Buffer{"stdout": &out, "stderr": &log}
		switch kind {
		case "crankhold":
			out.Reset()
			log.Reset()
			last = line
			code = Run(strings.Fields(want), Env{Out: &out, Err: &log, Getenv: func(string) string { return "" }})
		case "status":
			if want != string(rune('0'+code)) {
				fail("another status")
			}
		case "stdout", "stderr":
			if strings.Contains(buf[kind].String(), want) == no {
				fail("not so")
			}
		case "empty":
			if buf[want].Len() > 0 {
				fail("something is printed")
			}
		case "cmp":
			a, err := os.ReadFile(words[1])
			b, err2 := os.ReadFile(words[2])
			if err != nil || err2 != nil || !bytes.Equal(a, b) {
				fail("they differ:\n" + string(a))
			}
		default:
			t.Fatalf("line %d: no such command: %s", i, line)
		}
	}
}
