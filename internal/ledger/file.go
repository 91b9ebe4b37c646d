package ledger

import (
	"errors"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
)

const (
	replacementSuffix = ".new" // of the file that replaces the ledger's
	fileMode          = 0o600
)

// wholeFile has logFile.read read a file to its end.
const noReadLimit = math.MaxInt64

// ledgerFile is the ledger's file on the disk. Its first size bytes are whole lines; what a failed write left behind them
// is torn and does not count. Its methods block on the disk, and their errors are FileErrors. It belongs to the
// writer's goroutine.
type ledgerFile struct {
	path     string
	maxBytes int64
	disk     Disk
	handle   File // open for appending; nil: none could be opened yet
	size     int64
}

func newLedgerFile(config Config, disk Disk) *ledgerFile {
	return &ledgerFile{path: config.Path, maxBytes: config.MaxBytes, disk: disk}
}

// fileError returns the FileError of a failure; nil for none.
func (f *ledgerFile) fileError(err error) error {
	if err == nil {
		return nil
	}
	return &FileError{Path: f.path, Err: err}
}

// read reads the whole lines up to a size. A file that does not exist yet is empty. It returns the size of these lines.
func (f *ledgerFile) read(limit int64) (content Content, size int64, err error) {
	file, err := f.disk.Open(f.path, os.O_RDONLY, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return content, 0, nil
	}
	if err != nil {
		return content, 0, f.fileError(err)
	}
	defer file.Close()
	return readContent(f.path, io.LimitReader(file, limit))
}

// hasCapacity reports whether lines may be appended within the configured size.
func (f *ledgerFile) hasCapacity(lines []byte) bool {
	return f.size+int64(len(lines)) <= f.maxBytes
}

// append writes a line behind the others, without a sync.
func (f *ledgerFile) append(line []byte) error {
	if err := f.write(line); err != nil {
		return err
	}
	f.size += int64(len(line))
	return nil
}

// write writes lines behind the others, without a sync. They do not count until size covers them.
func (f *ledgerFile) write(lines []byte) error {
	if len(lines) == 0 {
		return nil
	}
	_, err := f.handle.Write(lines)
	return f.fileError(err)
}

// sync returns when all that was written is on the disk.
func (f *ledgerFile) sync() error { return f.fileError(f.handle.Sync()) }

// truncateTorn cuts off what follows the whole lines.
func (f *ledgerFile) truncateTorn() error {
	if f.handle == nil {
		return f.fileError(fs.ErrClosed)
	}
	return f.fileError(f.handle.Truncate(f.size))
}

// replace writes lines to a new file, renames that to the ledger's path, and has further lines appended to it. Both the
// file and the rename are on the disk when it returns without an error. After an error the file is the old one or,
// where only the sync of the rename failed, the new one.
func (f *ledgerFile) replace(lines []byte) error {
	path := f.path + replacementSuffix
	replacement, err := f.disk.Open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return f.fileError(err)
	}
	if err := f.install(replacement, path, lines); err != nil {
		replacement.Close()
		return f.fileError(err)
	}
	if f.handle != nil {
		f.handle.Close()
	}
	f.handle = replacement
	f.size = int64(len(lines))
	return f.fileError(f.disk.SyncDir(filepath.Dir(f.path)))
}

// install writes lines to a new file, syncs it and renames it to the ledger's path.
func (f *ledgerFile) install(file File, path string, lines []byte) error {
	if _, err := file.Write(lines); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return f.disk.Rename(path, f.path)
}

// close syncs the file and closes it. Its errors are the system's.
func (f *ledgerFile) close() error {
	if f.handle == nil {
		return nil
	}
	return errors.Join(f.handle.Sync(), f.handle.Close())
}
