package ledger

import (
	"errors"
	"io/fs"
	"path/filepath"
	"testing"

	"crankhold/internal/testutil"
)

// truncateTorn cuts off bytes that were written without being added to the size, and later lines follow the complete
// ones.
func TestLedgerFileTruncatesTornLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	file := newLedgerFile(Config{Path: path, MaxBytes: 8}, SystemDisk{})
	if err := file.truncateTorn(); !errors.Is(err, fs.ErrClosed) {
		t.Errorf("truncation of a file that is not open: %v", err)
	}
	for _, stepErr := range []error{
		file.replace([]byte("one\n")), file.write([]byte("tor")), file.truncateTorn(), file.append([]byte("two\n")), file.sync(),
	} {
		if stepErr != nil {
			t.Fatal(stepErr)
		}
	}
	if got := string(testutil.ReadFile(t, path)); got != "one\ntwo\n" || file.size != 8 {
		t.Errorf("the file is %q, its size %d", got, file.size)
	}
	if file.hasCapacity([]byte("x")) || !file.hasCapacity(nil) {
		t.Error("a full file has capacity for a byte, or none for zero bytes")
	}
	if err := file.close(); err != nil {
		t.Fatal(err)
	}
	var failed *FileError
	if err := file.sync(); !errors.As(err, &failed) || failed.Path != path || failed.Line != 0 {
		t.Errorf("a sync of a closed file: %v", err)
	}
}
