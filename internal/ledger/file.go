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
	replacementSuffix = ".new" // of the file that is written to replace the ledger file
	fileMode          = 0o600
)

// noReadLimit makes ledgerFile.read read a file to its end.
const noReadLimit = math.MaxInt64

// ledgerFile is the ledger's file on the disk. Its first size bytes are complete lines. Bytes after them were left by a
// failed write and are ignored. Its methods block on the disk, and their errors are FileErrors. It belongs to the
// writer's goroutine.
type ledgerFile struct {
	path     string
	maxBytes int64
	disk     Disk
	handle   File // open for appending; nil until a file could be opened
	size     int64
}

func newLedgerFile(config Config, disk Disk) *ledgerFile {
	return &ledgerFile{path: config.Path, maxBytes: config.MaxBytes, disk: disk}
}

// fileError wraps an error in a FileError. It returns nil for nil.
func (f *ledgerFile) fileError(err error) error {
	if err == nil {
		return nil
	}
	return &FileError{Path: f.path, Err: err}
}

// read reads the complete lines in the first limit bytes of the file, and also returns their size in bytes. A file that
// does not exist yet counts as empty.
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

// hasCapacity reports whether lines can be appended without exceeding maxBytes.
func (f *ledgerFile) hasCapacity(lines []byte) bool {
	return f.size+int64(len(lines)) <= f.maxBytes
}

// append writes a line to the end of the file and adds it to size. It does not sync the file.
func (f *ledgerFile) append(line []byte) error {
	if err := f.write(line); err != nil {
		return err
	}
	f.size += int64(len(line))
	return nil
}

// write writes lines to the end of the file without a sync. It leaves size unchanged, so the lines do not count until
// the caller adds their length to size.
func (f *ledgerFile) write(lines []byte) error {
	if len(lines) == 0 {
		return nil
	}
	_, err := f.handle.Write(lines)
	return f.fileError(err)
}

// sync returns when everything that was written is on the disk.
func (f *ledgerFile) sync() error { return f.fileError(f.handle.Sync()) }

// truncateTorn cuts off everything after the complete lines.
func (f *ledgerFile) truncateTorn() error {
	if f.handle == nil {
		return f.fileError(fs.ErrClosed)
	}
	return f.fileError(f.handle.Truncate(f.size))
}

// replace writes lines to a new file, renames that file to the ledger's path, and keeps it open for appending. When it
// returns without an error, both the file and the rename are on the disk. After an error the ledger is still the old
// file, except if only the sync of the rename failed: then it is the new file.
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

// install writes lines to the new file at path, syncs it and renames it to the ledger's path.
func (f *ledgerFile) install(file File, path string, lines []byte) error {
	if _, err := file.Write(lines); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return f.disk.Rename(path, f.path)
}

// close syncs the file and closes it. Its errors are those of the operating system, not FileErrors.
func (f *ledgerFile) close() error {
	if f.handle == nil {
		return nil
	}
	return errors.Join(f.handle.Sync(), f.handle.Close())
}
