package golden

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false,
	"write the golden files instead of comparing with them; review the difference before committing it")

// Compare fails the test unless the file at path contains exactly the bytes of got. A missing file is a failure, so
// that the loss of a golden file is noticed. With -update it writes the file instead.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	if *update {
		writeFile(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	first := firstDifference(string(got), string(want))
	t.Errorf("%s: line %d differs\n got: %q\nwant: %q", path, first.line, first.got, first.want)
}

// Quote formats a message for a golden text file: a label, then each line of the message as a quoted Go string, in
// which line ends and control characters are visible.
func Quote(label string, message []byte) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:\n", label)
	if len(message) == 0 {
		text.WriteString("\t(no bytes)\n")
	}
	for line := range bytes.SplitAfterSeq(message, []byte("\n")) {
		if len(line) > 0 {
			fmt.Fprintf(&text, "\t%s\n", strconv.Quote(string(line)))
		}
	}
	return text.String()
}

// writeFile replaces a golden file and creates its folder if it does not exist.
func writeFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// difference is a line that differs between two texts.
type difference struct {
	line int // line number, starting at 1
	got  string
	want string
}

// firstDifference returns the first line that differs between two texts. A text that ends with a line break differs
// from the same text without one.
func firstDifference(got, want string) difference {
	for line := 1; ; line++ {
		gotLine, gotRest, gotMore := strings.Cut(got, "\n")
		wantLine, wantRest, wantMore := strings.Cut(want, "\n")
		if gotLine != wantLine || gotMore != wantMore || !gotMore {
			return difference{line: line, got: gotLine, want: wantLine}
		}
		got = gotRest
		want = wantRest
	}
}
