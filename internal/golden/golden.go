// Package golden compares what a test has produced with committed files, byte by byte. Only tests use it.
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

var update = flag.Bool("update", false, "write the golden files instead of comparing with them; read the difference before it is committed")

// Compare fails the test unless the file at path holds exactly the bytes of got. A missing file is a failure, so that
// a golden file can't be lost unnoticed.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	if *update {
		write(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLine, wantLine, number := firstDifference(string(got), string(want))
	t.Errorf("%s: line %d differs\n got: %q\nwant: %q", path, number, gotLine, wantLine)
}

// Quote formats a message for a golden text file: a label, then each line of the message as a quoted Go string, which
// shows its line ends and control characters.
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

func write(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// firstDifference returns the first line that is not the same in both texts, and its number.
func firstDifference(got, want string) (gotLine, wantLine string, number int) {
	for number = 1; ; number++ {
		var gotMore, wantMore bool
		gotLine, got, gotMore = strings.Cut(got, "\n")
		wantLine, want, wantMore = strings.Cut(want, "\n")
		if gotLine != wantLine || gotMore != wantMore || !gotMore {
			return gotLine, wantLine, number
		}
	}
}
