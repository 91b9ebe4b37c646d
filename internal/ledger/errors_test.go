package ledger

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLedgerErrorsCarryThePathAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	valid := string(encodeEntry(Entry{ID: "a", EventTime: noon, State: Begun}))
	for _, test := range []struct{ content, message string }{
		{valid + "short\n", "ledger: line 2: damaged"},
		{valid + "00000000 {}\n", "ledger: line 2: damaged"},
		{valid + "0000000x {}\n", "ledger: line 2: encoding/hex: invalid byte: U+0078 'x'"},
		{valid + strings.Repeat("x", maxLineBytes) + "\n", "ledger: line 2: bufio: buffer full"},
	} {
		if err := os.WriteFile(path, []byte(test.content), fileMode); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(Options{Config: testConfig(path), Now: noon})
		var damaged *FileError
		if !errors.As(err, &damaged) || damaged.Path != path || damaged.Line != 2 || err.Error() != test.message {
			t.Errorf("%v, want %s", err, test.message)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	opened, _, err := Open(Options{Config: testConfig(path), Now: noon})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	_, _, err = Open(Options{Config: testConfig(path), Now: noon})
	var inUse *InUseError
	if want := "ledger " + path + " is in use: resource temporarily unavailable"; !errors.As(err, &inUse) || inUse.Path != path || err.Error() != want {
		t.Errorf("a ledger in use: %v, want %s", err, want)
	}
}
