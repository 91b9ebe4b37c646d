package ledger

import (
	"io"
	"os"
)

// File is an open file of the ledger. An os.File implements it.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// Disk provides the file operations of the ledger. Its methods block and return the errors of the operating system.
// They are called on the goroutine that calls Open and, once Open has returned, on the writer's goroutine.
type Disk interface {
	// Open opens a file like os.OpenFile.
	Open(path string, flag int, mode os.FileMode) (File, error)
	// Rename renames a file like os.Rename.
	Rename(from, to string) error
	// SyncDir syncs a directory, which makes earlier renames in it durable.
	SyncDir(dir string) error
}

// SystemDisk implements Disk by the file operations of the operating system.
type SystemDisk struct{}

// Open implements Disk.
func (SystemDisk) Open(path string, flag int, mode os.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // a nil *os.File in a File does not equal nil
	}
	return file, nil
}

// Rename implements Disk.
func (SystemDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements Disk.
func (SystemDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
